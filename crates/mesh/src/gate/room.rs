//! The room that requests take in the own upstream until it is done with them.
//!
//! A request that was dropped here may go on there. Its room is kept until
//! the upstream shows that it is free or has no reason to work on it any more.

#[cfg(test)]
mod tests;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::StreamExt as _;
use futures::channel::mpsc;
use monoio::time::sleep;
use sailtrack_admission::{Admission, Decision, Permit};
use sailtrack_log::{catalogue, emit};
use sailtrack_net::task;
use sailtrack_units::{Moment, Rank};

use crate::clock::{self, READ_GRACE};

/// What was sent this long before an answer came is taken to have been read by the upstream when it
/// wrote that: it is many times the way there.
const READ_TIME: Duration = Duration::from_millis(10);

/// Room whose request has no end yet that is known here.
struct Kept {
    /// The number of the request, by the order of sending.
    number: u64,
    /// Given back when it is dropped.
    #[allow(dead_code, reason = "it is held, not read")]
    permit: Permit,
}

/// The room of the own upstream.
pub(super) struct Room {
    /// The requests that were sent and wait for their answers, and when they were sent.
    open: RefCell<BTreeMap<u64, Moment>>,
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
            open: RefCell::default(),
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
                let _ = clock::timeout_at(until, std::future::pending::<()>()).await;
                if room.free(number) {
                    note_freed(1, "time", 0, room.open.borrow().len());
                }
            });
        }
    }

    /// Takes the place of a request that is about to be sent.
    pub(super) fn enter(self: &Rc<Self>, permit: Permit) -> Stay {
        Stay {
            room: Rc::clone(self),
            permit: RefCell::new(Some(permit)),
            number: Cell::default(),
            state: Cell::new(State::Unsent),
        }
    }

    /// Returns how many requests take room whose end is not known.
    #[cfg(test)]
    pub(super) fn kept(&self) -> usize {
        self.kept.borrow().len()
    }

    /// Takes in how many requests the upstream works on and holds in its queue, as an answer that
    /// has just come tells, once answers that were written before it are read as well.
    pub(super) fn settle_soon(self: &Rc<Self>, told: usize, answered: &Stay, came: Moment) {
        if self.kept.borrow().is_empty() {
            return;
        }
        let (room, number) = (Rc::clone(self), answered.number.get());
        task::spawn("told room", async move {
            sleep(READ_GRACE).await;
            room.settle(told, number, came);
        });
    }

    /// Frees what is neither there nor open here, as told by the answer to a request that came at
    /// a moment.
    ///
    /// It says nothing of what was sent after it was written. So it frees only what was sent before
    /// the request that it answers, and what is open here counts if the upstream had read it.
    fn settle(&self, told: usize, answered: u64, came: Moment) {
        let is_counted = |(number, sent): &(&u64, &Moment)| {
            **number < answered || came.since(**sent) >= READ_TIME
        };
        let counted = self.open.borrow().iter().filter(is_counted).count();
        let there = told.saturating_sub(counted);
        let ended = self.take_earlier(answered, there);
        note_freed(ended.len(), "load", told, counted);
        // Each lets the next waiting request in, which may come back here.
        drop(ended);
    }

    /// Takes out the oldest of what was sent before a request, and leaves so many of these.
    fn take_earlier(&self, answered: u64, left: usize) -> VecDeque<Kept> {
        let mut kept = self.kept.borrow_mut();
        let earlier = kept.iter().filter(|one| one.number < answered).count();
        let mut ending = earlier.saturating_sub(left);
        if ending == 0 {
            return VecDeque::new();
        }
        let (ended, others) = kept.drain(..).partition(|one| {
            let ends = ending > 0 && one.number < answered;
            ending -= usize::from(ends);
            ends
        });
        *kept = others;
        ended
    }

    /// Takes in that the upstream works on this many requests that an earlier process sent, until
    /// the last of them may be over. One place is left, by whose answer their end is heard of.
    pub(super) fn adopt(&self, admission: &Rc<Admission>, told: usize, until: Moment) {
        let most = admission.limit(Instant::now()).saturating_sub(1);
        for _ in 0..told.min(most) {
            let left = until.since(clock::now());
            let Decision::Admitted(permit) = admission.submit(Rank::LOWEST, false, left) else {
                return;
            };
            self.keep(self.number(), permit, until);
        }
    }

    /// Frees all that is kept, as another life of the upstream is there.
    pub(super) fn clear(&self) {
        let kept = self.kept.take();
        drop(kept);
    }

    /// Keeps room until a moment, unless it is known before that it is free.
    fn keep(&self, number: u64, permit: Permit, until: Moment) {
        self.kept.borrow_mut().push_back(Kept { number, permit });
        // The task is gone at the end of the process only.
        let _ = self.begun.unbounded_send((until, number));
    }

    /// Returns the number of the next request.
    fn number(&self) -> u64 {
        let number = self.next.get();
        self.next.set(number + 1);
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

fn note_freed(requests: usize, because: &str, told: usize, open: usize) {
    if requests > 0 {
        emit(
            &catalogue::ROOM_FREED,
            &[
                ("requests", &requests),
                ("because", &because),
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
    /// Its room is kept.
    Kept,
    Ended,
}

/// The place of one request, given back when it is dropped and the upstream is done with it.
pub(super) struct Stay {
    room: Rc<Room>,
    permit: RefCell<Option<Permit>>,
    /// Its number, once it is sent.
    number: Cell<u64>,
    state: Cell<State>,
}

impl Stay {
    /// Notes that it is sent now; if nobody waits for it any more, the upstream may work on it
    /// until then.
    pub(super) fn begin(&self, now: Moment, until: Moment) {
        self.number.set(self.room.number());
        let mut open = self.room.open.borrow_mut();
        open.insert(self.number.get(), now);
        self.state.set(State::Sent(until));
    }

    /// Notes that the upstream is done with it, or never had it.
    pub(super) fn end(&self) {
        match self.state.replace(State::Ended) {
            State::Sent(_) => self.close(),
            State::Kept => {
                self.room.free(self.number.get());
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
        self.state.set(State::Ended);
        if let Some(permit) = self.permit.take() {
            self.state.set(State::Kept);
            self.room.keep(self.number.get(), permit, until);
        }
    }

    fn close(&self) {
        self.room.open.borrow_mut().remove(&self.number.get());
    }
}

impl Drop for Stay {
    fn drop(&mut self) {
        if let State::Sent(until) = self.state.get() {
            self.give_up(until);
        }
    }
}
