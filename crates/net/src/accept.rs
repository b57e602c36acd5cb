//! Accepts connections, a bounded number at once, each in a task of its own.

use std::cell::Cell;
use std::fmt::Display;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use futures::FutureExt as _;
use monoio::net::{TcpListener, TcpStream};
use monoio::time::sleep;
use sailtrack_log::{catalogue, emit};

use crate::task::{self, Guard};

/// The pause after a failed accept: without descriptors it fails again at once, and a node that
/// only tries again serves nothing else.
const FAILED_PAUSE: Duration = Duration::from_millis(50);

/// What is accepted on one port.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// The name of the port in log events.
    pub port: &'static str,
    /// The name of the tasks that serve its connections.
    pub task: &'static str,
    /// The most connections open at once; more are closed and logged.
    pub connections: usize,
}

/// Serves the connections of a listener for as long as the task lives; `open` counts them.
pub async fn accept<F>(
    listener: TcpListener,
    bounds: Bounds,
    open: Rc<Cell<usize>>,
    serve: impl Fn(TcpStream) -> F,
) where
    F: Future<Output = ()> + 'static,
{
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                refuse(bounds.port, &error);
                sleep(FAILED_PAUSE).await;
                continue;
            }
        };
        if open.get() >= bounds.connections {
            refuse(bounds.port, &"too many connections");
            continue;
        }
        let held = Guard::new(&open);
        // Combined, not awaited in a block: that would keep the state of the connection twice.
        task::spawn(bounds.task, serve(stream).map(move |()| drop(held)));
    }
}

fn refuse(port: &'static str, reason: &dyn Display) {
    emit(
        &catalogue::INPUT_REFUSED,
        &[("port", &port), ("reason", reason)],
    );
}
