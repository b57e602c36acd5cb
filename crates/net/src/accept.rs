//! Accepts connections up to a limit and serves each in its own task.

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

/// The delay after a failed accept. Without free file descriptors the next one fails at once, so a
/// retry without delay would keep the node from doing anything else.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// The limit on connections of one port, and the names used for it.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// The name of the port in log events.
    pub port: &'static str,
    /// The name of the tasks that serve its connections.
    pub task: &'static str,
    /// The maximum number of open connections; more are closed and logged.
    pub connections: usize,
}

/// Accepts and serves the connections of a listener until the task is dropped; `open` counts those
/// that are open.
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
                log_rejected(bounds.port, &error);
                sleep(RETRY_DELAY).await;
                continue;
            }
        };
        if open.get() >= bounds.connections {
            log_rejected(bounds.port, &"too many connections");
            continue;
        }
        let guard = Guard::new(&open);
        // A combinator, since an async block would store the future of the connection twice.
        task::spawn(bounds.task, serve(stream).map(move |()| drop(guard)));
    }
}

fn log_rejected(port: &'static str, reason: &dyn Display) {
    emit(
        &catalogue::INPUT_REFUSED,
        &[("port", &port), ("reason", reason)],
    );
}
