//! Requests for the upstream of the other node.

use futures::SinkExt as _;
use sailtrack_quarantine::Execution;
use sailtrack_units::Incarnation;
use sailtrack_wire::{Body, Cancel, Chunk, Forward};

use crate::peer::convert::{MAX_CHUNK, request_to_wire};
use crate::peer::link::Link;
use crate::request::{Request, Response};

/// The result of sending a request over a link.
pub(crate) enum Delivery {
    /// The other node responded.
    Answered(Response),
    /// Nothing was sent.
    Unsent,
    /// The connection was lost before the response arrived; contains the incarnation of the node
    /// that the request was sent to.
    Lost(Incarnation),
}

impl Link {
    /// Sends a request and waits for the response. Dropping the future cancels the request.
    pub(crate) async fn forward(&self, request: &Request) -> Delivery {
        let incarnation = self.incarnation.get();
        let execution = Execution {
            identity: request.identity,
            known_crashes: request.known_crashes,
            succeeded_recently: false,
        };
        let (exchange, receiver) = self.begin_reply(Some(execution));
        let guard = CancelGuard {
            link: self,
            exchange,
        };
        if !self.send_request(exchange, request).await {
            guard.disarm();
            return Delivery::Unsent;
        }
        let delivery = match self.await_reply(receiver).await {
            Ok(response) => Delivery::Answered(response),
            Err(_) => Delivery::Lost(incarnation),
        };
        guard.disarm();
        delivery
    }

    async fn send_request(&self, exchange: u64, request: &Request) -> bool {
        let message = Forward {
            rate_limit: self.upstream.rate_limit_to_wire(),
            ..request_to_wire(exchange, request)
        };
        if !self.is_open() || !self.send(Body::Forward(message)) {
            return false;
        }
        let Some(mut outgoing) = self.outgoing.borrow().clone() else {
            return true;
        };
        let mut rest = request.body.slice(request.body.len().min(MAX_CHUNK)..);
        while !rest.is_empty() {
            let data = rest.split_to(rest.len().min(MAX_CHUNK));
            let chunk = Body::Chunk(Chunk {
                exchange,
                data,
                ..Chunk::default()
            });
            if outgoing.send(chunk).await.is_err() {
                break;
            }
        }
        true
    }
}

/// Cancels a request if its caller stops waiting before the response arrives.
struct CancelGuard<'a> {
    link: &'a Link,
    exchange: u64,
}

impl CancelGuard<'_> {
    /// Disarms the guard of a finished request.
    fn disarm(self) {
        self.link.pending.borrow_mut().remove(&self.exchange);
    }
}

impl Drop for CancelGuard<'_> {
    fn drop(&mut self) {
        let waited = self.link.pending.borrow_mut().remove(&self.exchange);
        self.link.replies.borrow_mut().remove(&self.exchange);
        if waited.is_some() {
            let exchange = self.exchange;
            self.link.send(Body::Cancel(Cancel { exchange }));
        }
    }
}
