//! Accepts connections up to a limit and serves each in its own task.

use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use futures::FutureExt as _;
use futures::future::{AbortHandle, Abortable};
use monoio::net::{TcpListener, TcpStream};
use monoio::time::sleep;
use sailtrack_log::{catalogue, emit};

use crate::connections::{Registration, Registry};
use crate::task;

/// The delay after a failed accept. Without free file descriptors the next one fails at once, so a
/// retry without delay would keep the node from doing anything else.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts and serves the connections of a listener until the task is dropped, each in a task with
/// this name. Those for which `registry` has no room are closed.
pub async fn accept<F>(
    listener: TcpListener,
    task: &'static str,
    registry: Rc<Registry>,
    serve: impl Fn(TcpStream, Registration) -> F,
) where
    F: Future<Output = ()> + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => start(stream, task, &registry, &serve),
            Err(error) => {
                emit(
                    &catalogue::INPUT_REFUSED,
                    &[("port", &registry.port()), ("reason", &error)],
                );
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Serves a connection in a task of its own, which ends if the registry closes the connection.
pub(crate) fn start<F>(
    stream: TcpStream,
    task: &'static str,
    registry: &Rc<Registry>,
    serve: impl Fn(TcpStream, Registration) -> F,
) where
    F: Future<Output = ()> + 'static,
{
    let (abort, aborted) = AbortHandle::new_pair();
    let Some(registration) = registry.add(abort) else {
        return;
    };
    // Combinators, since an async block would store the future of the connection twice.
    let served = registration.served();
    let serving = Abortable::new(serve(stream, registration), aborted);
    task::spawn(task, serving.map(move |_| drop(served)));
}
