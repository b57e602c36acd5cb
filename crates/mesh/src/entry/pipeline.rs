//! The pipelined requests of a connection, in order.
//!
//! The task of the connection polls reading, the requests and writing in turn until none of them
//! changes the pipeline any more. So futures that wait for a change of the pipeline need no waker
//! of their own.

#[cfg(test)]
mod tests;

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use futures::future::LocalBoxFuture;
use sailtrack_net::connections::{Held, Registration};
use sailtrack_net::task::Guard;

use crate::entry::Entry;
use crate::entry::connection::Disposition;
use crate::entry::exchange::Reply;
use crate::quota::Token;

/// The most requests of one connection that are in flight or wait for earlier responses.
const MAX_PIPELINED: usize = 16;
/// No further request is started while this many bytes of completed responses wait on a connection.
/// The responses to requests already started come on top, each at most 128 KiB.
const MAX_PENDING_RESPONSE_BYTES: usize = 256 * 1024;

/// What counts for a request in flight beside its head: about as much as is needed to run it.
const REQUEST_BYTES: usize = 8 * 1024;

/// A pipelined request, or its reply once it has completed.
enum Slot {
    Pending(LocalBoxFuture<'static, Reply>),
    Ready(Reply),
}

/// The requests of a connection that have been started and not been answered.
pub(super) struct Pipeline {
    entry: Rc<Entry>,
    registration: Registration,
    /// The requests whose replies have not been taken yet. All of them are polled on every wake-up:
    /// they are few, and a waker for each costs more than it saves on a connection with one request
    /// at a time.
    slots: RefCell<VecDeque<Slot>>,
    /// The length of `slots`, plus one while a response is being written.
    count: Cell<usize>,
    /// None may start behind the newest request.
    is_exclusive: Cell<bool>,
    /// Input behind the newest request has been read.
    has_more: Cell<bool>,
    has_changed: Cell<bool>,
    closed: Rc<Cell<bool>>,
}

/// The state that decides whether a connection may start another request.
#[derive(Debug, Clone, Copy, Default)]
struct State {
    /// Requests that have been started and not been answered.
    count: usize,
    /// None may start behind the newest one, since it is not idempotent or its answer may break off.
    is_exclusive: bool,
    lifecycle: Lifecycle,
    /// Bytes of completed responses on this connection.
    pending_response_bytes: usize,
    /// The limit for completed responses on all connections is reached.
    is_node_full: bool,
}

/// Whether the connection still accepts requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum Lifecycle {
    #[default]
    Open,
    /// It closes after the requests in the pipeline.
    Draining,
    /// It closes with the response being written.
    Closed,
}

impl State {
    /// Returns true if another request may be started.
    ///
    /// A request that is not idempotent starts only when all earlier ones have been answered, and
    /// none starts behind it. A draining connection starts none while the pipeline is not empty, so
    /// that its last response can say `Connection: close`.
    fn can_start(self, is_idempotent: bool) -> bool {
        if self.count == 0 {
            return self.lifecycle != Lifecycle::Closed;
        }
        let is_open = self.lifecycle == Lifecycle::Open;
        let has_room = self.count < MAX_PIPELINED
            && self.pending_response_bytes < MAX_PENDING_RESPONSE_BYTES
            && !self.is_node_full;
        is_open && has_room && is_idempotent && !self.is_exclusive
    }
}

/// Held by a request from its start until it has been answered.
pub(super) struct Permit {
    in_flight: Guard,
    closed: Rc<Cell<bool>>,
    _request: Held,
    registration: Registration,
}

/// Counts the bytes of a completed response until it has been written.
pub(super) struct Charge {
    _response: Held,
    _in_flight: Guard,
}

/// The quota token of a request; refunded if the connection closed before the request was answered.
pub(super) struct Reservation {
    token: Option<Token>,
    closed: Rc<Cell<bool>>,
}

impl Pipeline {
    pub(super) fn new(entry: &Rc<Entry>, registration: &Registration) -> Self {
        Self {
            entry: Rc::clone(entry),
            registration: registration.clone(),
            slots: RefCell::default(),
            count: Cell::new(0),
            is_exclusive: Cell::new(false),
            has_more: Cell::new(false),
            has_changed: Cell::new(false),
            closed: Rc::default(),
        }
    }

    /// Returns how many requests have been started and not been answered.
    pub(super) fn len(&self) -> usize {
        self.count.get()
    }

    /// Records whether input behind the newest request has been read. Its answer then does not close
    /// the connection: what has been read is answered.
    pub(super) fn set_has_more(&self, has_more: bool) {
        self.has_more.set(has_more);
    }

    /// Returns true if no request that was read is left behind the one that is being answered.
    pub(super) fn is_last(&self) -> bool {
        self.len() == 1 && !self.has_more.get()
    }

    /// Returns true if another request may be started.
    pub(super) fn can_start(&self, is_idempotent: bool) -> bool {
        let entry = &self.entry;
        let lifecycle = if self.is_closed() {
            Lifecycle::Closed
        } else if self.len() > 0 && entry.is_closing() {
            Lifecycle::Draining
        } else {
            Lifecycle::Open
        };
        let state = State {
            count: self.len(),
            is_exclusive: self.is_exclusive.get(),
            lifecycle,
            pending_response_bytes: self.registration.answers(),
            is_node_full: entry.connections.answers() >= entry.max_pending_response_bytes.get(),
        };
        state.can_start(is_idempotent)
    }

    /// Returns the permit for a request that starts now, whose head has this many bytes.
    pub(super) fn permit(&self, in_flight: Guard, head_bytes: usize) -> Permit {
        Permit {
            in_flight,
            closed: Rc::clone(&self.closed),
            // The head, and what is forwarded of it.
            _request: self.registration.hold(2 * head_bytes + REQUEST_BYTES),
            registration: self.registration.clone(),
        }
    }

    /// Appends a request; its reply is written after all earlier ones.
    pub(super) fn push(&self, reply: impl Future<Output = Reply> + 'static, exclusive: bool) {
        let slot = Slot::Pending(Box::pin(reply));
        self.slots.borrow_mut().push_back(slot);
        self.registration.work();
        self.count.set(self.len() + 1);
        self.is_exclusive.set(exclusive);
        self.has_changed.set(true);
    }

    /// Returns the next reply in order once its request has completed.
    pub(super) async fn next(&self) -> Reply {
        poll_fn(|_| {
            let mut slots = self.slots.borrow_mut();
            match slots.pop_front() {
                Some(Slot::Ready(reply)) => Poll::Ready(reply),
                Some(working) => {
                    slots.push_front(working);
                    Poll::Pending
                }
                None => Poll::Pending,
            }
        })
        .await
    }

    /// Records that the response to the oldest request has been written.
    pub(super) fn record_answered(&self) {
        self.count.set(self.len() - 1);
        self.has_changed.set(true);
        self.registration.record_served();
        if self.len() > 0 {
            self.registration.work();
        }
    }

    /// Records that the client has taken what was written so far, and has to take more.
    pub(super) fn wait_for_client(&self) {
        self.registration.wait_for_peer();
        self.registration.record_progress();
    }

    /// Marks the connection as closing: requests behind the current response count as not read.
    pub(super) fn close(&self) {
        self.closed.set(true);
    }

    pub(super) fn is_closed(&self) -> bool {
        self.closed.get()
    }

    /// Waits until `condition` holds.
    pub(super) async fn wait_until(&self, condition: impl Fn(&Self) -> bool) {
        poll_fn(|_| {
            if condition(self) {
                Poll::Ready(())
            } else {
                Poll::Pending
            }
        })
        .await;
    }

    /// Polls the requests, `sending` and `receiving` until one of the latter two ends.
    pub(super) async fn drive(
        &self,
        mut sending: Pin<&mut impl Future<Output = Disposition>>,
        mut receiving: Pin<&mut impl Future<Output = Disposition>>,
    ) -> Disposition {
        poll_fn(|context| {
            loop {
                self.has_changed.set(false);
                self.poll_slots(context);
                if let Poll::Ready(disposition) = sending.as_mut().poll(context) {
                    return Poll::Ready(disposition);
                }
                if let Poll::Ready(disposition) = receiving.as_mut().poll(context) {
                    return Poll::Ready(disposition);
                }
                if !self.has_changed.get() {
                    return Poll::Pending;
                }
            }
        })
        .await
    }

    fn poll_slots(&self, context: &mut Context<'_>) {
        for slot in self.slots.borrow_mut().iter_mut() {
            if let Slot::Pending(exchange) = slot
                && let Poll::Ready(reply) = exchange.as_mut().poll(context)
            {
                *slot = Slot::Ready(reply);
            }
        }
    }
}

impl Permit {
    /// Returns a guard for the token of the request.
    pub(super) fn reserve(&self, token: Option<Token>) -> Reservation {
        Reservation {
            token,
            closed: Rc::clone(&self.closed),
        }
    }

    /// Returns the connection of the request.
    pub(super) fn registration(&self) -> &Registration {
        &self.registration
    }

    /// Starts counting the bytes of the response, in place of those of the request.
    pub(super) fn charge(self, bytes: usize) -> Charge {
        Charge {
            _response: self.registration.hold(bytes),
            _in_flight: self.in_flight,
        }
    }
}

impl Reservation {
    /// Refunds the token, since its request did not run and never will.
    pub(super) fn refund(&mut self) {
        if let Some(token) = self.token.take() {
            token.refund();
        }
    }

    /// Keeps the token, since the request has completed.
    pub(super) fn consume(&mut self) {
        self.token = None;
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if self.closed.get() {
            self.refund();
        }
    }
}
