//! Accepts connections, a bounded number at once, each in a task of its own.

use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;

use monoio::net::{TcpListener, TcpStream};
use sailtrack_log::{catalogue, emit};

use crate::task::{self, Held};

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

/// Serves the connections of a listener for as long as the task lives.
pub async fn accept<F>(listener: TcpListener, bounds: Bounds, serve: impl Fn(TcpStream) -> F)
where
    F: Future<Output = ()> + 'static,
{
    let open = Rc::new(Cell::new(0));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        if open.get() >= bounds.connections {
            let reason = "too many connections";
            emit(
                &catalogue::INPUT_REFUSED,
                &[("port", &bounds.port), ("reason", &reason)],
            );
            continue;
        }
        let held = Held::new(&open);
        let served = serve(stream);
        task::spawn(bounds.task, async move {
            served.await;
            drop(held);
        });
    }
}
