//! Sends the responses to requests that arrived on a connection of a peer.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use bytes::Bytes;
use futures::channel::mpsc;
use futures::future::{AbortHandle, Abortable};
use futures::{FutureExt as _, SinkExt as _, StreamExt as _};
use sailtrack_net::task;
use sailtrack_wire::{Body, Chunk};

use crate::body::{Body as AnswerBody, Stream};
use crate::peer::convert::{INITIAL_GRANT, MAX_CHUNK, response_to_wire};
use crate::peer::intake::Arrival;
use crate::request::Response;

/// A body of up to this many bytes comes with the reply; the queue of messages holds many of them.
const MAX_INLINE_BYTES: usize = 4 * 1024;

/// State of one connection, by exchange.
pub(super) struct Exchanges {
    /// Whether the peer waits on after a reply that is only overdue.
    pub(super) hears_overdue: bool,
    /// Requests in flight.
    pub(super) running: RefCell<HashMap<u64, AbortHandle>>,
    /// Request bodies that are incomplete.
    pub(super) arriving: RefCell<HashMap<u64, Arrival>>,
    /// Messages that are sent when there are no others: the bodies of responses.
    bulk: mpsc::Sender<Body>,
    /// Channels that pass flow-control grants to the tasks that stream responses.
    pub(super) granting: RefCell<HashMap<u64, mpsc::UnboundedSender<u32>>>,
}

impl Exchanges {
    /// Returns the state of a connection without requests.
    pub(super) fn new(hears_overdue: bool, bulk: mpsc::Sender<Body>) -> Self {
        Self {
            hears_overdue,
            running: RefCell::default(),
            arriving: RefCell::default(),
            bulk,
            granting: RefCell::default(),
        }
    }
}

/// Executes a request in its own task and sends the response, unless it is cancelled before.
pub(super) fn spawn_response(
    exchange: u64,
    response: impl Future<Output = Response> + 'static,
    outgoing: &mpsc::Sender<Body>,
    exchanges: &Rc<Exchanges>,
) {
    let (handle, registration) = AbortHandle::new_pair();
    exchanges.running.borrow_mut().insert(exchange, handle);
    let mut outgoing = outgoing.clone();
    let running = Rc::clone(exchanges);
    let finished = Rc::clone(exchanges);
    // Boxed, since each of the enclosing futures would otherwise reserve space for its state.
    let response = response.boxed_local();
    let request = async move {
        let response = response.await;
        send(&mut outgoing, exchange, response, &running).await;
    };
    // An aborted request was cancelled and needs no response.
    let request = Abortable::new(request, registration).map(move |_| {
        finished.running.borrow_mut().remove(&exchange);
        finished.granting.borrow_mut().remove(&exchange);
    });
    task::spawn("peer request", request);
}

/// Sends the response to a request. A body that is not short follows in chunks, so that it does not
/// delay other messages; its memory counts until the last of them is about to be written.
async fn send(
    outgoing: &mut mpsc::Sender<Body>,
    exchange: u64,
    mut response: Response,
    exchanges: &Exchanges,
) {
    let _memory = response.memory.take();
    let mut reply = response_to_wire(exchange, &response);
    let mut bulk = exchanges.bulk.clone();
    match response.body {
        AnswerBody::Whole(mut rest) => {
            if rest.len() <= MAX_INLINE_BYTES {
                reply.body = std::mem::take(&mut rest);
            }
            if outgoing.send(Body::Reply(reply)).await.is_ok() {
                send_rest(&mut bulk, exchange, rest).await;
            }
        }
        AnswerBody::Stream(stream) => {
            let (sender, grants) = mpsc::unbounded();
            exchanges.granting.borrow_mut().insert(exchange, sender);
            if outgoing.send(Body::Reply(reply)).await.is_ok() {
                send_stream(&mut bulk, exchange, stream, grants).await;
            }
        }
    }
}

async fn send_rest(bulk: &mut mpsc::Sender<Body>, exchange: u64, mut rest: Bytes) {
    while !rest.is_empty() {
        let data = rest.split_to(rest.len().min(MAX_CHUNK));
        let chunk = Chunk {
            exchange,
            data,
            ..Chunk::default()
        };
        if bulk.send(Body::Chunk(chunk)).await.is_err() {
            return;
        }
    }
}

/// Streams a body, never more than the peer has granted, so that a client that reads slowly delays
/// only its own response.
async fn send_stream(
    bulk: &mut mpsc::Sender<Body>,
    exchange: u64,
    mut stream: Stream,
    mut grants: mpsc::UnboundedReceiver<u32>,
) {
    let mut granted = INITIAL_GRANT;
    loop {
        let chunk = stream.next().await;
        let mut rest = match &chunk {
            Ok(Some(chunk)) => chunk.clone(),
            Ok(None) | Err(_) => Bytes::new(),
        };
        while !rest.is_empty() {
            while granted == 0 {
                let Some(more) = grants.next().await else {
                    return;
                };
                granted += more;
            }
            granted -= 1;
            let first = rest.split_to(rest.len().min(MAX_CHUNK));
            send_rest(bulk, exchange, first).await;
        }
        if matches!(chunk, Ok(Some(_))) {
            continue;
        }
        let end = Chunk {
            exchange,
            last: chunk.is_ok(),
            broken: chunk.is_err(),
            ..Chunk::default()
        };
        // Without an end marker the peer treats the body as truncated.
        let _ = bulk.send(Body::Chunk(end)).await;
        return;
    }
}
