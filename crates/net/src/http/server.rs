//! Serves HTTP requests on a port, with one task for each connection.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use futures::FutureExt as _;
use futures::future::{Either, LocalBoxFuture, select};
use http::header::CONNECTION;
use http::{HeaderMap, HeaderValue};
use monoio::io::sink::Sink;
use monoio::io::{OwnedWriteHalf, Splitable as _};
use monoio::net::{TcpListener, TcpStream};
use monoio::time::{sleep, timeout};
use monoio_http::h1::codec::encoder::GenericEncoder;
use monoio_http::h1::payload::{FixedPayload, Payload};
use sailtrack_log::{catalogue, emit};

use crate::accept::{accept, start};
use crate::connections::{self, Registration, Registry};
use crate::http::limits::Limits;
use crate::http::message::{Request, Response};
use crate::http::reader::{InputError, RequestReader};
use crate::turn::Turn;

/// Handles the requests of a port.
pub trait Handler: 'static {
    /// Returns the response to one request.
    ///
    /// The future is dropped when the client closes the connection.
    fn handle(&self, request: Request) -> impl Future<Output = Response>;

    /// Returns true once connections should be closed after the current response.
    fn is_closing(&self) -> bool {
        false
    }
}

/// A bound port that is not served yet.
#[derive(Debug)]
pub struct Port {
    /// The name used in log events.
    pub name: &'static str,
    listener: TcpListener,
    limits: Limits,
}

impl Port {
    /// Binds a port to `address`.
    pub fn open(name: &'static str, address: SocketAddr, limits: Limits) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        Ok(Self {
            name,
            listener,
            limits,
        })
    }

    /// Returns the bound address; its port number is the one assigned by the system if zero was
    /// requested.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }
}

type Next = LocalBoxFuture<'static, (RequestReader, Result<Option<Request>, InputError>)>;
type Writer = GenericEncoder<OwnedWriteHalf<TcpStream>>;

/// Serves the port until the task is dropped.
pub async fn serve<H: Handler>(port: Port, handler: Rc<H>) {
    let limits = port.limits;
    let bounds = connections::Limits {
        connections: limits.connections,
        bytes: usize::MAX,
    };
    let registry = Registry::new(port.name, bounds);
    let serve = |stream, registration| {
        let handler = Rc::clone(&handler);
        connection(stream, handler, registration, limits)
    };
    if limits.accept_time.is_zero() {
        return accept(port.listener, "http connection", registry, serve).await;
    }
    loop {
        let Ok((stream, _)) = port.listener.accept().await else {
            continue;
        };
        sleep(limits.accept_time).await;
        start(stream, "http connection", &registry, serve);
    }
}

async fn connection<H: Handler>(
    stream: TcpStream,
    handler: Rc<H>,
    registration: Registration,
    limits: Limits,
) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let (read, write) = stream.into_split();
    let mut writer = GenericEncoder::new(write);
    let mut next: Next = RequestReader::new(read, limits).advance().boxed_local();
    let mut turn = Turn::default();
    loop {
        let Ok((reader, request)) = timeout(limits.read_time, next).await else {
            return;
        };
        let request = match request {
            Ok(Some(request)) => request,
            Ok(None) => return,
            Err(error) => {
                let port = registration.port();
                emit(
                    &catalogue::INPUT_REFUSED,
                    &[("port", &port), ("reason", &error)],
                );
                let rejection = Response::text(error.status(), error.to_string());
                respond(&mut writer, rejection, true, limits).await;
                return;
            }
        };
        let last = has_connection_close(&request.headers);
        next = reader.advance().boxed_local();
        registration.work();
        let Some((response, following)) = handle(&*handler, request, next).await else {
            return;
        };
        next = following;
        let close = last || handler.is_closing();
        registration.wait_for_peer();
        if !respond(&mut writer, response, close, limits).await || close {
            return;
        }
        registration.record_served();
        turn.record_read(false).await;
    }
}

/// Returns the response and the pending read of the next request, or `None` if the client closed
/// the connection.
async fn handle<H: Handler>(handler: &H, request: Request, next: Next) -> Option<(Response, Next)> {
    let handling = std::pin::pin!(handler.handle(request));
    match select(handling, next).await {
        Either::Left((response, next)) => Some((response, next)),
        Either::Right(((reader, Ok(Some(request))), handling)) => {
            let response = handling.await;
            let ready = std::future::ready((reader, Ok(Some(request))));
            Some((response, ready.boxed_local()))
        }
        Either::Right(((_, Ok(None) | Err(_)), _)) => None,
    }
}

fn has_connection_close(headers: &HeaderMap) -> bool {
    let value = headers.get(CONNECTION).map(HeaderValue::as_bytes);
    value.is_some_and(|value| value.eq_ignore_ascii_case(b"close"))
}

async fn respond(writer: &mut Writer, response: Response, close: bool, limits: Limits) -> bool {
    let sent = timeout(limits.write_time, send(writer, response, close)).await;
    matches!(sent, Ok(true))
}

async fn send(writer: &mut Writer, response: Response, close: bool) -> bool {
    let payload: Payload = Payload::Fixed(FixedPayload::new(response.body));
    let mut message = http::Response::new(payload);
    *message.status_mut() = response.status;
    *message.headers_mut() = response.headers;
    if close {
        let value = HeaderValue::from_static("close");
        message.headers_mut().insert(CONNECTION, value);
    }
    if writer.send(message).await.is_err() {
        return false;
    }
    Sink::<http::Response<Payload>>::flush(writer).await.is_ok()
}
