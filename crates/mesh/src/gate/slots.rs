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
use sailtrack_admission::{Admission, Arrival, Permit};
use sailtrack_log::{catalogue, emit};
use sailtrack_net::task;
use sailtrack_units::{Moment, Rank};

use crate::clock::{self, LAST_LOOK};

/// What was sent this long before an answer came is taken to have been read by the upstream when it
/// wrote that: it is many times the way there.
const READ_DELAY: Duration = Duration::from_millis(10);

/// Room whose request has no end yet that is known here.
struct Retained {
    /// The number of the request, by the order of sending.
    sequence: u64,
    /// Given back when it is dropped.
    #[allow(dead_code, reason = "it is held, not read")]
    permit: Permit,
}

/// The room of the own upstream.
pub(super) struct Slots {
    /// The requests that were sent and wait for their answers, and when they were sent.
    in_flight: RefCell<BTreeMap<u64, Moment>>,
    retained: RefCell<VecDeque<Retained>>,
    next_sequence: Cell<u64>,
    /// What is kept from now on, for the task that frees it in time.
    retentions: mpsc::UnboundedSender<(Moment, u64)>,
}

impl Slots {
    /// Returns the room of an upstream, and what [`Room::free_in_time`] takes.
    pub(super) fn new() -> (Rc<Self>, mpsc::UnboundedReceiver<(Moment, u64)>) {
        let (retentions, receiver) = mpsc::unbounded();
        let slots = Self {
            in_flight: RefCell::default(),
            retained: RefCell::default(),
            next_sequence: Cell::default(),
            retentions,
        };
        (Rc::new(slots), receiver)
    }

    /// Frees what is kept when its time is over.
    ///
    /// Room is kept where futures are dropped, also at the end of the process, when no task can
    /// be started any more.
    pub(super) async fn release_expired(
        self: Rc<Self>,
        mut retentions: mpsc::UnboundedReceiver<(Moment, u64)>,
    ) {
        while let Some((until, sequence)) = retentions.next().await {
            let slots = Rc::clone(&self);
            task::spawn("kept room", async move {
                // It is over with the time.
                let _ = clock::until(until, std::future::pending::<()>()).await;
                if slots.release(sequence) {
                    log_released(1, "time", 0, slots.in_flight.borrow().len());
                }
            });
        }
    }

    /// Takes the place of a request that is about to be sent.
    pub(super) fn admit(self: &Rc<Self>, permit: Permit) -> Slot {
        Slot {
            slots: Rc::clone(self),
            permit: RefCell::new(Some(permit)),
            sequence: Cell::default(),
            state: Cell::new(State::Unsent),
        }
    }

    /// Returns how many requests take room whose end is not known.
    #[cfg(test)]
    pub(super) fn retained(&self) -> usize {
        self.retained.borrow().len()
    }

    /// Takes in how many requests the upstream works on and holds in its queue, as an answer that
    /// has just come tells, once answers that were written before it are read as well.
    pub(super) fn reconcile_soon(self: &Rc<Self>, reported: usize, answered: &Slot, came: Moment) {
        if self.retained.borrow().is_empty() {
            return;
        }
        let (slots, sequence) = (Rc::clone(self), answered.sequence.get());
        task::spawn("told room", async move {
            sleep(LAST_LOOK).await;
            slots.reconcile(reported, sequence, came);
        });
    }

    /// Frees what is neither there nor open here, as told by the answer to a request that came at
    /// a moment.
    ///
    /// It says nothing of what was sent after it was written. So it frees only what was sent before
    /// the request that it answers, and what is open here counts if the upstream had read it.
    fn reconcile(&self, reported: usize, answered: u64, came: Moment) {
        let is_counted = |(sequence, sent): &(&u64, &Moment)| {
            **sequence < answered || came.since(**sent) >= READ_DELAY
        };
        let counted = self.in_flight.borrow().iter().filter(is_counted).count();
        let there = reported.saturating_sub(counted);
        let ended = self.take_older(answered, there);
        log_released(ended.len(), "load", reported, counted);
        // Each lets the next waiting request in, which may come back here.
        drop(ended);
    }

    /// Takes out the oldest of what was sent before a request, and leaves so many of these.
    fn take_older(&self, answered: u64, left: usize) -> VecDeque<Retained> {
        let mut retained = self.retained.borrow_mut();
        let earlier = retained
            .iter()
            .filter(|one| one.sequence < answered)
            .count();
        let mut ending = earlier.saturating_sub(left);
        if ending == 0 {
            return VecDeque::new();
        }
        let (ended, others) = retained.drain(..).partition(|one| {
            let ends = ending > 0 && one.sequence < answered;
            ending -= usize::from(ends);
            ends
        });
        *retained = others;
        ended
    }

    /// Takes in that the upstream works on this many requests that an earlier process sent, until
    /// the last of them may be over. One place is left, by whose answer their end is heard of.
    pub(super) fn reserve_reported(
        &self,
        admission: &Rc<Admission>,
        reported: usize,
        until: Moment,
    ) {
        let most = admission.limit(Instant::now()).saturating_sub(1);
        for _ in 0..reported.min(most) {
            let left = until.since(clock::now());
            let Arrival::Admitted(permit) = admission.arrive(Rank::LOWEST, false, left) else {
                return;
            };
            self.retain(self.sequence(), permit, until);
        }
    }

    /// Frees all that is kept, as another life of the upstream is there.
    pub(super) fn release_all(&self) {
        let retained = self.retained.take();
        drop(retained);
    }

    /// Keeps room until a moment, unless it is known before that it is free.
    fn retain(&self, sequence: u64, permit: Permit, until: Moment) {
        self.retained
            .borrow_mut()
            .push_back(Retained { sequence, permit });
        // The task is gone at the end of the process only.
        let _ = self.retentions.unbounded_send((until, sequence));
    }

    /// Returns the number of the next request.
    fn sequence(&self) -> u64 {
        let sequence = self.next_sequence.get();
        self.next_sequence.set(sequence + 1);
        sequence
    }

    /// Returns true if it was kept until now.
    fn release(&self, sequence: u64) -> bool {
        let freed = {
            let mut retained = self.retained.borrow_mut();
            let place = retained.iter().position(|one| one.sequence == sequence);
            place.and_then(|place| retained.remove(place))
        };
        freed.is_some()
    }
}

fn log_released(requests: usize, reason: &str, reported: usize, in_flight: usize) {
    if requests > 0 {
        emit(
            &catalogue::ROOM_FREED,
            &[
                ("requests", &requests),
                ("because", &reason),
                ("told", &reported),
                ("open", &in_flight),
            ],
        );
    }
}

/// How far a request is.
#[derive(Debug, Clone, Copy)]
enum State {
    Unsent,
    /// Dropped now, its room is kept until this moment.
    InFlight(Moment),
    /// Its room is kept.
    Retained,
    Released,
}

/// The place of one request, given back when it is dropped and the upstream is done with it.
pub(super) struct Slot {
    slots: Rc<Slots>,
    permit: RefCell<Option<Permit>>,
    /// Its number, once it is sent.
    sequence: Cell<u64>,
    state: Cell<State>,
}

impl Slot {
    /// Notes that it is sent now; if nobody waits for it any more, the upstream may work on it
    /// until then.
    pub(super) fn start(&self, now: Moment, until: Moment) {
        self.sequence.set(self.slots.sequence());
        let mut in_flight = self.slots.in_flight.borrow_mut();
        in_flight.insert(self.sequence.get(), now);
        self.state.set(State::InFlight(until));
    }

    /// Notes that the upstream is done with it, or never had it.
    pub(super) fn finish(&self) {
        match self.state.replace(State::Released) {
            State::InFlight(_) => self.forget_in_flight(),
            State::Retained => {
                self.slots.release(self.sequence.get());
            }
            State::Unsent | State::Released => {}
        }
    }

    /// Notes that nobody expects an answer any more; the upstream may work on it until then.
    pub(super) fn abandon(&self, until: Moment) {
        if !matches!(self.state.get(), State::InFlight(_)) {
            return;
        }
        self.forget_in_flight();
        self.state.set(State::Released);
        if let Some(permit) = self.permit.take() {
            self.state.set(State::Retained);
            self.slots.retain(self.sequence.get(), permit, until);
        }
    }

    fn forget_in_flight(&self) {
        self.slots
            .in_flight
            .borrow_mut()
            .remove(&self.sequence.get());
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if let State::InFlight(until) = self.state.get() {
            self.abandon(until);
        }
    }
}
