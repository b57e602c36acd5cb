//! Puts answers together that come in parts.

use std::rc::Weak;

use futures::channel::mpsc;
use sailtrack_wire::{Chunk, Outcome, Reason, Reply, State};

use crate::body::{Body as AnswerBody, Stream};
use crate::peer::convert::returned_from_wire;
use crate::peer::link::{Link, Pending};
use crate::peer::reassembly::Reassembly;
use crate::peer::source::LinkSource;
use crate::request::Response;

impl Link {
    /// Takes the first part of a reply; one that nobody waits for is dropped.
    pub(super) fn take_reply(&self, mut reply: Reply) {
        let exchange = reply.exchange;
        if !self.pending.borrow().contains_key(&exchange) {
            return;
        }
        if reply.streamed {
            self.take_stream(reply);
            return;
        }
        let first = std::mem::take(&mut reply.body);
        let length = reply.body_length;
        if first.len() as u64 == length {
            self.give(
                exchange,
                returned_from_wire(reply, AnswerBody::Whole(first)),
            );
            return;
        }
        match Reassembly::new(reply, &first, length) {
            Some(parts) => {
                self.replies.borrow_mut().insert(exchange, parts);
            }
            None => self.give(exchange, Response::unknown(Reason::AnswerTooLarge)),
        }
    }

    fn take_stream(&self, reply: Reply) {
        let exchange = reply.exchange;
        let length = reply.length_known.then_some(reply.body_length);
        let (sender, chunks) = mpsc::unbounded();
        self.streams.borrow_mut().insert(exchange, sender);
        let source = LinkSource::new(Weak::clone(&self.own), exchange, chunks);
        let body = AnswerBody::Stream(Stream::new(length, Box::new(source)));
        self.give(exchange, returned_from_wire(reply, body));
    }

    pub(super) fn take_chunk(&self, chunk: Chunk) {
        let exchange = chunk.exchange;
        if let Some(stream) = self.streams.borrow().get(&exchange) {
            // Who reads the body may have stopped.
            let _ = stream.unbounded_send(chunk);
            return;
        }
        let Some(mut parts) = self.replies.borrow_mut().remove(&exchange) else {
            return;
        };
        if !parts.add(&chunk.data) {
            self.give(exchange, Response::unknown(Reason::AnswerTooLarge));
        } else if parts.is_whole() {
            let (reply, body) = parts.finish();
            self.give(exchange, returned_from_wire(reply, AnswerBody::Whole(body)));
        } else {
            self.replies.borrow_mut().insert(exchange, parts);
        }
    }

    fn give(&self, exchange: u64, returned: Response) {
        let waiting = self.pending.borrow_mut().remove(&exchange);
        if let Some(Pending::Reply(sender, _)) = waiting {
            let did_not_run = returned.outcome == Outcome::NotRun;
            if did_not_run && returned.reason == Reason::Draining {
                self.state.set(State::Leaving);
            }
            // The caller may have left.
            let _ = sender.send(returned);
        }
    }
}
