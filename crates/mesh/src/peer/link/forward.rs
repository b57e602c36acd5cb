//! Requests for the upstream of the other node.

use futures::SinkExt as _;
use futures::channel::oneshot;
use futures::future::{Either, select};
use sailtrack_quarantine::Execution;
use sailtrack_units::Incarnation;
use sailtrack_wire::{Body, Cancel, Chunk, Forward};

use crate::memory::Buffer;
use crate::peer::convert::{MAX_CHUNK, request_to_wire};
use crate::peer::link::Link;
use crate::request::{Request, Response};

/// The result of sending a request over a link.
pub(crate) enum Delivery {
    /// The other node responded.
    Answered(Box<Response>),
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
        let (exchange, receiver) = self.begin_reply(
            Some(execution),
            request.overdue.clone(),
            request.client.clone(),
        );
        let guard = CancelGuard::new(self, exchange);
        if !self.send_head(exchange, request) {
            guard.disarm();
            return Delivery::Unsent;
        }
        let reply = std::pin::pin!(self.await_reply(receiver));
        let sending = std::pin::pin!(self.send_body(exchange, &request.body));
        let reply = match select(reply, sending).await {
            // The node may refuse a request without its body.
            Either::Left((reply, _)) => reply,
            Either::Right(((), reply)) => reply.await,
        };
        let delivery = match reply {
            Ok(response) => Delivery::Answered(Box::new(response)),
            Err(_) => Delivery::Lost(incarnation),
        };
        guard.disarm();
        delivery
    }

    /// Sends a request, without its body if that is long; returns false if it is certain not to be
    /// sent.
    fn send_head(&self, exchange: u64, request: &Request) -> bool {
        let message = Forward {
            rate_limit: self.upstream.rate_limit_to_wire(),
            ..request_to_wire(exchange, request)
        };
        self.is_open() && self.send(Body::Forward(message))
    }

    /// Sends a long body once the other node has reserved memory for it. Returns early if the
    /// connection is lost.
    async fn send_body(&self, exchange: u64, body: &Buffer) {
        if body.len() <= MAX_CHUNK {
            return;
        }
        let (sender, granted) = oneshot::channel();
        self.uploads.borrow_mut().insert(exchange, sender);
        let _guard = UploadGuard {
            link: self,
            exchange,
        };
        let Some(mut bulk) = self.bulk.borrow().clone() else {
            return;
        };
        if granted.await.is_err() {
            return;
        }
        for data in body.pieces(MAX_CHUNK) {
            let chunk = Body::Chunk(Chunk {
                exchange,
                data,
                ..Chunk::default()
            });
            if bulk.send(chunk).await.is_err() {
                return;
            }
        }
    }
}

/// Removes the entry of an upload that has ended.
struct UploadGuard<'a> {
    link: &'a Link,
    exchange: u64,
}

impl Drop for UploadGuard<'_> {
    fn drop(&mut self) {
        self.link.uploads.borrow_mut().remove(&self.exchange);
    }
}

/// Cancels a request if its caller stops waiting before the response arrives.
pub(super) struct CancelGuard<'a> {
    link: &'a Link,
    exchange: u64,
}

impl<'a> CancelGuard<'a> {
    pub(super) fn new(link: &'a Link, exchange: u64) -> Self {
        Self { link, exchange }
    }

    /// Disarms the guard of a finished request.
    pub(super) fn disarm(self) {
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
