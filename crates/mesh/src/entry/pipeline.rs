//! The requests of a connection that have been begun, in their order.
//!
//! Reading, the work on each request and answering are polled in turn by the task of the
//! connection, for as long as one of them changes the pipeline. So whoever waits for it needs no
//! waker of its own.

#[cfg(test)]
mod tests;

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use futures::future::LocalBoxFuture;
use sailtrack_net::task::Guard;

use crate::entry::Entry;
use crate::entry::connection::Next;
use crate::entry::exchange::Answer;
use crate::quota::Token;

/// The most requests of one connection that are worked on or wait for their turn to be answered.
const MOST_BEGUN: usize = 16;
/// With this many bytes of finished answers on a connection no further request of it is begun. The
/// answers to those begun before come on top, each of which holds 128 KiB at the most.
const MOST_READY_BYTES: usize = 256 * 1024;

/// A request that has been begun.
enum Slot {
    Working(LocalBoxFuture<'static, Answer>),
    Ended(Answer),
}

/// The requests of a connection that have been begun and not been answered.
pub(super) struct Pipeline {
    entry: Rc<Entry>,
    /// Those whose answers have not been begun. All are polled whenever the task is woken: they are
    /// few, and a waker for each costs more where a connection has one request at a time.
    slots: RefCell<VecDeque<Slot>>,
    /// The bytes of finished answers.
    ready: Rc<Cell<usize>>,
    /// All of them, with the one whose answer is written.
    count: Cell<usize>,
    /// One of them must be the only one.
    is_exclusive: Cell<bool>,
    has_changed: Cell<bool>,
    was_pipelined: Cell<bool>,
    closed: Rc<Cell<bool>>,
}

/// What decides whether a connection begins one more request.
#[derive(Debug, Clone, Copy, Default)]
struct State {
    /// The requests that have been begun and not been answered.
    count: usize,
    /// One of them must not run twice.
    is_exclusive: bool,
    end: End,
    /// The bytes of finished answers on this connection.
    pending_response_bytes: usize,
    /// Those on all connections are too many.
    is_node_full: bool,
}

/// Whether the connection goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum End {
    #[default]
    Open,
    /// It is to end with its last answer.
    Soon,
    /// The answer that is written ends it.
    Now,
}

impl State {
    /// Returns true if one more request may be begun.
    ///
    /// One that must not run twice begins when everything before it has been answered, and nothing
    /// begins behind it. Where the connection is to end nothing more is begun, so that the last
    /// answer can say so.
    fn has_place(self, is_idempotent: bool) -> bool {
        if self.count == 0 {
            return self.end != End::Now;
        }
        let is_open = self.end == End::Open;
        let has_room = self.count < MOST_BEGUN
            && self.pending_response_bytes < MOST_READY_BYTES
            && !self.is_node_full;
        is_open && has_room && is_idempotent && !self.is_exclusive
    }
}

/// What a request holds from its beginning until it has been answered.
pub(super) struct Place {
    held: Guard,
    closed: Rc<Cell<bool>>,
    ready: [Rc<Cell<usize>>; 2],
}

/// The bytes of an answer that waits for its turn.
pub(super) struct Weight {
    counts: [Rc<Cell<usize>>; 2],
    bytes: usize,
    _held: Guard,
}

/// The token of a request; it goes back if the request counts as not read.
pub(super) struct Reservation {
    token: Option<Token>,
    closed: Rc<Cell<bool>>,
}

impl Pipeline {
    pub(super) fn new(entry: &Rc<Entry>) -> Self {
        Self {
            entry: Rc::clone(entry),
            slots: RefCell::default(),
            ready: Rc::default(),
            count: Cell::new(0),
            is_exclusive: Cell::new(false),
            has_changed: Cell::new(false),
            was_pipelined: Cell::new(false),
            closed: Rc::default(),
        }
    }

    /// Returns how many requests have been begun and not been answered.
    pub(super) fn len(&self) -> usize {
        self.count.get()
    }

    /// Returns true if one more request may be begun.
    pub(super) fn has_place(&self, is_idempotent: bool) -> bool {
        let entry = &self.entry;
        let end = if self.is_closed() {
            End::Now
        } else if self.len() > 0 && entry.is_ending() {
            End::Soon
        } else {
            End::Open
        };
        let state = State {
            count: self.len(),
            is_exclusive: self.is_exclusive.get(),
            end,
            pending_response_bytes: self.ready.get(),
            is_node_full: entry.pending_response_bytes.get()
                >= entry.max_pending_response_bytes.get(),
        };
        state.has_place(is_idempotent)
    }

    /// Returns what a request needs that is begun now.
    pub(super) fn place(&self, held: Guard) -> Place {
        Place {
            held,
            closed: Rc::clone(&self.closed),
            ready: [
                Rc::clone(&self.ready),
                Rc::clone(&self.entry.pending_response_bytes),
            ],
        }
    }

    /// Adds what will be answered after everything that is there.
    pub(super) fn push(&self, answer: impl Future<Output = Answer> + 'static, exclusive: bool) {
        let slot = Slot::Working(Box::pin(answer));
        self.slots.borrow_mut().push_back(slot);
        self.count.set(self.len() + 1);
        if self.len() > 1 {
            self.was_pipelined.set(true);
        }
        self.is_exclusive.set(exclusive);
        self.has_changed.set(true);
    }

    /// Returns the next answer once it is there.
    pub(super) async fn next(&self) -> Answer {
        poll_fn(|_| {
            let mut slots = self.slots.borrow_mut();
            match slots.pop_front() {
                Some(Slot::Ended(answer)) => Poll::Ready(answer),
                Some(working) => {
                    slots.push_front(working);
                    Poll::Pending
                }
                None => Poll::Pending,
            }
        })
        .await
    }

    /// Notes that the answer that came last has been written.
    pub(super) fn note_answered(&self) {
        self.count.set(self.len() - 1);
        self.has_changed.set(true);
    }

    /// What is behind the answer that is written now counts as not read.
    pub(super) fn close(&self) {
        self.closed.set(true);
    }

    pub(super) fn is_closed(&self) -> bool {
        self.closed.get()
    }

    /// Returns true if a request was begun before the one ahead of it had been answered.
    pub(super) fn was_pipelined(&self) -> bool {
        self.was_pipelined.get()
    }

    /// Waits until `condition` holds.
    pub(super) async fn until(&self, condition: impl Fn(&Self) -> bool) {
        poll_fn(|_| {
            if condition(self) {
                Poll::Ready(())
            } else {
                Poll::Pending
            }
        })
        .await;
    }

    /// Works on the requests while `answering` and `reading` go on, until one of these ends.
    pub(super) async fn drive(
        &self,
        mut answering: Pin<&mut impl Future<Output = Next>>,
        mut reading: Pin<&mut impl Future<Output = Next>>,
    ) -> Next {
        poll_fn(|context| {
            loop {
                self.has_changed.set(false);
                self.work(context);
                if let Poll::Ready(next) = answering.as_mut().poll(context) {
                    return Poll::Ready(next);
                }
                if let Poll::Ready(next) = reading.as_mut().poll(context) {
                    return Poll::Ready(next);
                }
                if !self.has_changed.get() {
                    return Poll::Pending;
                }
            }
        })
        .await
    }

    fn work(&self, context: &mut Context<'_>) {
        for slot in self.slots.borrow_mut().iter_mut() {
            if let Slot::Working(work) = slot
                && let Poll::Ready(answer) = work.as_mut().poll(context)
            {
                *slot = Slot::Ended(answer);
            }
        }
    }
}

impl Place {
    /// Returns a guard for the token of the request.
    pub(super) fn keep(&self, token: Option<Token>) -> Reservation {
        Reservation {
            token,
            closed: Rc::clone(&self.closed),
        }
    }

    /// Counts the bytes of the answer from now on.
    pub(super) fn weigh(self, bytes: usize) -> Weight {
        for count in &self.ready {
            count.set(count.get() + bytes);
        }
        Weight {
            counts: self.ready,
            bytes,
            _held: self.held,
        }
    }
}

impl Drop for Weight {
    fn drop(&mut self) {
        for count in &self.counts {
            count.set(count.get() - self.bytes);
        }
    }
}

impl Reservation {
    /// Gives the token back, since its request did not run and never will.
    pub(super) fn give_back(&mut self) {
        if let Some(token) = self.token.take() {
            token.give_back();
        }
    }

    /// The request has run.
    pub(super) fn spend(&mut self) {
        self.token = None;
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if self.closed.get() {
            self.give_back();
        }
    }
}
