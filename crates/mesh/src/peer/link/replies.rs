//! Reassembles replies that arrive in several messages.

use std::rc::Weak;

use bytes::Bytes;
use futures::channel::mpsc;
use sailtrack_net::connections::Registration;
use sailtrack_wire::{Chunk, Outcome, Reason, Reply, State};

use crate::body::{Body as AnswerBody, Stream};
use crate::peer::convert::response_from_wire;
use crate::peer::link::{Link, Pending};
use crate::peer::reassembly::Reassembly;
use crate::peer::source::LinkSource;
use crate::request::{Memory, Response};

/// A reply of which a part has arrived.
pub(super) struct Partial {
    reply: Reply,
    memory: Option<Memory>,
}

impl Link {
    /// Handles the first message of a reply. A reply that nobody waits for is dropped.
    pub(super) fn handle_reply(&self, mut reply: Reply) {
        let exchange = reply.exchange;
        let (overdue, client) = match self.pending.borrow().get(&exchange) {
            Some(Pending::Reply(waiting)) => (waiting.overdue.clone(), waiting.client.clone()),
            Some(Pending::Retired(_)) | None => return,
        };
        if reply.overdue {
            overdue.raise(response_from_wire(reply, AnswerBody::Whole(Bytes::new())));
            return;
        }
        if reply.streamed {
            self.start_stream(reply);
            return;
        }
        let memory = client.as_ref().map(|client| count(&reply, client));
        if client.is_some_and(|client| client.is_closed()) {
            // To make room; nobody waits for the reply any more.
            return;
        }
        let first = std::mem::take(&mut reply.body);
        let length = reply.body_length;
        if first.len() as u64 == length {
            let body = AnswerBody::Whole(first);
            let response = response_from_wire(reply, body).with_memory(memory);
            return self.deliver(exchange, response);
        }
        match Reassembly::new(Partial { reply, memory }, &first, length) {
            Some(reassembly) => {
                self.replies.borrow_mut().insert(exchange, reassembly);
            }
            None => self.deliver(exchange, Response::unknown(Reason::AnswerTooLarge)),
        }
    }

    fn start_stream(&self, reply: Reply) {
        let exchange = reply.exchange;
        let length = reply.length_known.then_some(reply.body_length);
        let (sender, chunks) = mpsc::unbounded();
        self.streams.borrow_mut().insert(exchange, sender);
        let source = LinkSource::new(Weak::clone(&self.this), exchange, chunks);
        let body = AnswerBody::Stream(Stream::new(length, Box::new(source)));
        self.deliver(exchange, response_from_wire(reply, body));
    }

    pub(super) fn handle_chunk(&self, chunk: Chunk) {
        let exchange = chunk.exchange;
        if let Some(stream) = self.streams.borrow().get(&exchange) {
            // The reader of the body may be gone.
            let _ = stream.unbounded_send(chunk);
            return;
        }
        let Some(mut reassembly) = self.replies.borrow_mut().remove(&exchange) else {
            return;
        };
        if !reassembly.add(&chunk.data) {
            self.deliver(exchange, Response::unknown(Reason::AnswerTooLarge));
        } else if reassembly.is_complete() {
            let (Partial { reply, memory }, body) = reassembly.finish();
            let response = response_from_wire(reply, AnswerBody::Whole(body));
            self.deliver(exchange, response.with_memory(memory));
        } else {
            self.replies.borrow_mut().insert(exchange, reassembly);
        }
    }

    fn deliver(&self, exchange: u64, response: Response) {
        let waiting = self.pending.borrow_mut().remove(&exchange);
        if let Some(Pending::Reply(waiting)) = waiting {
            let did_not_run = response.outcome == Outcome::NotRun;
            if did_not_run && response.reason == Reason::Draining {
                self.state.set(State::Leaving);
            }
            self.upstream.apply_response(&response);
            if let Some(upstream) = &response.leaving {
                self.delegate.handle_leaving(upstream);
            }
            // The caller may have stopped waiting.
            let _ = waiting.sender.send(response);
        }
    }
}

/// Counts the memory of a whole reply for the connection of its client before it has arrived.
fn count(reply: &Reply, client: &Registration) -> Memory {
    let length = usize::try_from(reply.body_length).unwrap_or(usize::MAX);
    Memory::new(client.hold(reply.head.len().saturating_add(length)))
}
