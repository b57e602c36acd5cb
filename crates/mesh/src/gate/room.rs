//! The room that requests take in the own upstream until it is done with them.
//!
//! A request that was dropped here may go on there. Its room is kept until
//! the upstream shows that it is free or has no reason to work on it any more.

#[cfg(test)]
mod tests;

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::fmt::Display;
use std::rc::Rc;
use std::time::Instant;

use futures::StreamExt as _;
use futures::channel::mpsc;
use sailtrack_admission::{Admission, Arrival, Permit};
use sailtrack_log::{catalogue, emit};
use sailtrack_net::task;
use sailtrack_units::{Moment, Rank};

use crate::clock;

/// Room whose request has no end yet that is known here.
struct Kept {
    number: u64,
    /// Given back when it is dropped.
    #[allow(dead_code, reason = "it is held, not read")]
    permit: Permit,
}

/// The room of the own upstream.
pub(super) struct Room {
    /// The requests that were sent and wait for their answers.
    open: Cell<usize>,
    kept: RefCell<VecDeque<Kept>>,
    next: Cell<u64>,
    /// What is kept from now on, for the task that frees it in time.
    begun: mpsc::UnboundedSender<(Moment, u64)>,
}

impl Room {
    /// Returns the room of an upstream, and what [`Room::free_in_time`] takes.
    pub(super) fn new() -> (Rc<Self>, mpsc::UnboundedReceiver<(Moment, u64)>) {
        let (begun, receiver) = mpsc::unbounded();
        let room = Self {
            open: Cell::default(),
            kept: RefCell::default(),
            next: Cell::default(),
            begun,
        };
        (Rc::new(room), receiver)
    }

    /// Frees what is kept when its time is over.
    ///
    /// Room is kept where futures are dropped, also at the end of the process, when no task can
    /// be started any more.
    pub(super) async fn free_in_time(
        self: Rc<Self>,
        mut begun: mpsc::UnboundedReceiver<(Moment, u64)>,
    ) {
        while let Some((until, number)) = begun.next().await {
            let room = Rc::clone(&self);
            task::spawn("kept room", async move {
                // It is over with the time.
                let _ = clock::until(until, std::future::pending::<()>()).await;
                if room.free(number) {
                    note_freed(1, &format_args!("time"), 0, room.open.get());
                }
            });
        }
    }

    /// Takes the place of a request that is about to be sent.
    pub(super) fn enter(self: &Rc<Self>, permit: Permit) -> Stay {
        Stay {
            room: Rc::clone(self),
            permit: RefCell::new(Some(permit)),
            state: Cell::new(State::Unsent),
        }
    }

    /// Returns how many requests take room whose end is not known.
    #[cfg(test)]
    pub(super) fn kept(&self) -> usize {
        self.kept.borrow().len()
    }

    /// Takes in how many requests the upstream works on and holds in its queue: what is neither
    /// there nor open here has ended.
    pub(super) fn settle(&self, told: usize) {
        let there = told.saturating_sub(self.open.get());
        let ended = {
            let mut kept = self.kept.borrow_mut();
            let count = kept.len().saturating_sub(there);
            kept.drain(..count).collect::<Vec<_>>()
        };
        note_freed(ended.len(), &format_args!("load"), told, self.open.get());
        // Each lets the next waiting request in, which may come back here.
        drop(ended);
    }

    /// Takes in that the upstream works on this many requests that an earlier process sent, until
    /// the last of them may be over. One place is left, by whose answer their end is heard of.
    pub(super) fn adopt(&self, admission: &Rc<Admission>, told: usize, until: Moment) {
        let most = admission.limit(Instant::now()).saturating_sub(1);
        for _ in 0..told.min(most) {
            let left = until.since(clock::now());
            let Arrival::Admitted(permit) = admission.arrive(Rank::LOWEST, false, left) else {
                return;
            };
            self.keep(permit, until);
        }
    }

    /// Frees all that is kept, as another life of the upstream is there.
    pub(super) fn clear(&self) {
        let kept = self.kept.take();
        drop(kept);
    }

    /// Keeps room until a moment, unless it is known before that it is free.
    fn keep(&self, permit: Permit, until: Moment) -> u64 {
        let number = self.next.get();
        self.next.set(number + 1);
        self.kept.borrow_mut().push_back(Kept { number, permit });
        // The task is gone at the end of the process only.
        let _ = self.begun.unbounded_send((until, number));
        number
    }

    /// Returns true if it was kept until now.
    fn free(&self, number: u64) -> bool {
        let freed = {
            let mut kept = self.kept.borrow_mut();
            let place = kept.iter().position(|one| one.number == number);
            place.and_then(|place| kept.remove(place))
        };
        freed.is_some()
    }
}

fn note_freed(requests: usize, because: &dyn Display, told: usize, open: usize) {
    if requests > 0 {
        emit(
            &catalogue::ROOM_FREED,
            &[
                ("requests", &requests),
                ("because", because),
                ("told", &told),
                ("open", &open),
            ],
        );
    }
}

/// How far a request is.
#[derive(Debug, Clone, Copy)]
enum State {
    Unsent,
    /// Dropped now, its room is kept until this moment.
    Sent(Moment),
    /// Its room is kept under this number.
    Kept(u64),
    Ended,
}

/// The place of one request, given back when it is dropped and the upstream is done with it.
pub(super) struct Stay {
    room: Rc<Room>,
    permit: RefCell<Option<Permit>>,
    state: Cell<State>,
}

impl Stay {
    /// Notes that it is sent now; if nobody waits for it any more, the upstream may work on it
    /// until then.
    pub(super) fn begin(&self, until: Moment) {
        self.room.open.set(self.room.open.get() + 1);
        self.state.set(State::Sent(until));
    }

    /// Notes that the upstream is done with it, or never had it.
    pub(super) fn end(&self) {
        match self.state.replace(State::Ended) {
            State::Sent(_) => self.close(),
            State::Kept(number) => {
                self.room.free(number);
            }
            State::Unsent | State::Ended => {}
        }
    }

    /// Notes that nobody expects an answer any more; the upstream may work on it until then.
    pub(super) fn give_up(&self, until: Moment) {
        if !matches!(self.state.get(), State::Sent(_)) {
            return;
        }
        self.close();
        let kept = self
            .permit
            .take()
            .map(|permit| self.room.keep(permit, until));
        self.state.set(kept.map_or(State::Ended, State::Kept));
    }

    fn close(&self) {
        self.room.open.set(self.room.open.get().saturating_sub(1));
    }
}

impl Drop for Stay {
    fn drop(&mut self) {
        if let State::Sent(until) = self.state.get() {
            self.give_up(until);
        }
    }
}
