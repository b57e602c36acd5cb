//! Receives the bodies of requests from peers.
//!
//! A short body comes with its request. A long one is sent only after this node has reserved memory
//! for it and said so with a [`Grant`], so that a node without memory refuses it before it is sent.

use std::rc::Rc;

use bytes::Bytes;
use futures::SinkExt as _;
use futures::channel::{mpsc, oneshot};
use sailtrack_wire::{Body, Chunk, Grant, Reason};

use crate::clock;
use crate::memory::{Assembly, Buffer, Caller};
use crate::peer::accept::{Acceptor, reject};
use crate::peer::convert::MAX_CHUNK;
use crate::peer::response::Exchanges;
use crate::request::{Request, Response};

/// The longest body.
const MAX_BODY_BYTES: u64 = 64 * 1024 * 1024;

/// A body of which a part has arrived.
pub(super) struct Arrival {
    assembly: Assembly,
    length: usize,
    /// Notified with the complete body.
    complete: oneshot::Sender<Buffer>,
}

/// A body that a peer has announced, and the connection on which the rest of it arrives.
pub(super) struct Upload {
    pub(super) exchange: u64,
    pub(super) length: u64,
    pub(super) first: Bytes,
    pub(super) peer: Caller,
    pub(super) outgoing: mpsc::Sender<Body>,
    pub(super) exchanges: Rc<Exchanges>,
}

impl Acceptor {
    /// Receives the body of a request, or returns the refusal of the request.
    pub(super) async fn receive_body(
        &self,
        request: &Request,
        body: Upload,
    ) -> Result<Buffer, Response> {
        if body.length > MAX_BODY_BYTES || body.first.len() as u64 > body.length {
            reject(&"body exceeds the maximum length");
            return Err(Response::refused(Reason::Undeclared));
        }
        let length = usize::try_from(body.length).unwrap_or(usize::MAX);
        if length == 0 {
            return Ok(Buffer::default());
        }
        let patience = request.memory_patience();
        let acquired = self.memory.peers.acquire(body.peer, length, patience).await;
        let Ok(charge) = acquired else {
            return Err(self.gate.refuse_without_memory(request));
        };
        let mut assembly = Assembly::new(charge);
        assembly.push(&body.first);
        drop(body.first);
        if assembly.len() == length {
            return Ok(assembly.finish());
        }
        let (complete, completed) = oneshot::channel();
        let arrival = Arrival {
            assembly,
            length,
            complete,
        };
        let _guard = body.exchanges.add_arrival(body.exchange, arrival);
        grant(body.outgoing, body.exchange, length).await;
        match clock::timeout_at(request.deadline, completed).await {
            Ok(Ok(buffer)) => Ok(buffer),
            // The peer sent more than it had announced.
            Ok(Err(_)) => Err(Response::refused(Reason::Undeclared)),
            Err(_) => Err(Response::refused(Reason::Deadline)),
        }
    }
}

/// Lets the peer send the rest of a body.
async fn grant(mut outgoing: mpsc::Sender<Body>, exchange: u64, length: usize) {
    let chunks = u32::try_from(length.div_ceil(MAX_CHUNK)).unwrap_or(u32::MAX);
    // If the connection is gone, so is the request.
    let _ = outgoing.send(Body::Grant(Grant { exchange, chunks })).await;
}

impl Exchanges {
    /// Registers a body of which more is expected, until the guard is dropped.
    fn add_arrival(self: &Rc<Self>, exchange: u64, arrival: Arrival) -> ArrivalGuard {
        self.arriving.borrow_mut().insert(exchange, arrival);
        ArrivalGuard {
            exchanges: Rc::clone(self),
            exchange,
        }
    }

    /// Handles a further part of a body. A part of a request that is gone is dropped.
    pub(super) fn receive_chunk(&self, chunk: &Chunk) {
        let Some(mut arrival) = self.arriving.borrow_mut().remove(&chunk.exchange) else {
            return;
        };
        if arrival.assembly.len() + chunk.data.len() > arrival.length {
            reject(&"body exceeds the announced length");
            return;
        }
        arrival.assembly.push(&chunk.data);
        if arrival.assembly.len() < arrival.length {
            let mut arriving = self.arriving.borrow_mut();
            arriving.insert(chunk.exchange, arrival);
            return;
        }
        // The request may have ended at its deadline.
        let _ = arrival.complete.send(arrival.assembly.finish());
    }
}

/// Removes an arrival that is not complete when its request ends.
struct ArrivalGuard {
    exchanges: Rc<Exchanges>,
    exchange: u64,
}

impl Drop for ArrivalGuard {
    fn drop(&mut self) {
        let arrival = self.exchanges.arriving.borrow_mut().remove(&self.exchange);
        drop(arrival);
    }
}
