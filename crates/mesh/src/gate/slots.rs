//! Concurrency slots of the local upstream, held until it has finished the
//! requests.
//!
//! The upstream may still work on a request that was dropped on this node. The
//! slot of such a request is retained until the upstream reports that it has
//! finished, or until the time by which it must have finished or stopped.
//!
//! The usual time of a request only tells when it has ended while the upstream works at its usual
//! pace. Until a later response confirms that, few slots are released by that time.

mod expectation;
mod slot;
#[cfg(test)]
mod tests;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::StreamExt as _;
use futures::channel::mpsc;
use monoio::time::sleep;
use sailtrack_admission::{Admission, Permit};
use sailtrack_log::{catalogue, emit};
use sailtrack_net::task;
use sailtrack_units::Moment;

pub(super) use self::expectation::Expectation;
pub(super) use self::slot::Slot;
use crate::clock::{self, READ_GRACE};

/// A request that was sent this long before a response came is assumed to have been read by the
/// upstream when it wrote that response: many times the latency of the local connection.
const READ_DELAY: Duration = Duration::from_millis(10);

/// How often it is checked whether a slot that is retained beyond the usual time is due.
const DUE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// A request that was abandoned and may still run.
struct Retained {
    /// The sequence number of the request, in the order of sending.
    sequence: u64,
    expectation: Expectation,
    /// Its slot, released when dropped; `None` if it was released without confirmation that the
    /// request has ended.
    permit: Option<Permit>,
}

/// Whether a retained slot has been released by time.
enum Expiry {
    /// Nothing is left to release.
    Over,
    /// It must be checked again at this moment.
    Check(Moment),
}

/// The concurrency slots of the local upstream.
pub(super) struct Slots {
    /// The requests that are waiting for their responses, by sequence number, with the time of
    /// sending.
    in_flight: RefCell<BTreeMap<u64, Moment>>,
    retained: RefCell<VecDeque<Retained>>,
    next_sequence: Cell<u64>,
    /// Newly retained slots and their usual end, for the task that releases them.
    retentions: mpsc::UnboundedSender<(Moment, u64)>,
}

impl Slots {
    /// Returns the slots, and the receiver that [`Slots::release_expired`] needs.
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

    /// Releases retained slots when they expire.
    ///
    /// A single long-lived task does that: slots are retained when futures are dropped, which also
    /// happens at process exit, when no task can be started any more.
    pub(super) async fn release_expired(
        self: Rc<Self>,
        mut retentions: mpsc::UnboundedReceiver<(Moment, u64)>,
    ) {
        while let Some((until, sequence)) = retentions.next().await {
            let slots = Rc::clone(&self);
            task::spawn("retained slot", async move {
                let mut expiry = Expiry::Check(until);
                while let Expiry::Check(at) = expiry {
                    // This only ends by its deadline.
                    let _ = clock::timeout_at(at, std::future::pending::<()>()).await;
                    expiry = slots.expire(sequence, clock::now());
                }
            });
        }
    }

    /// Releases a retained slot if it is due.
    fn expire(&self, sequence: u64, now: Moment) -> Expiry {
        let Some(expectation) = self.expectation(sequence) else {
            return Expiry::Over;
        };
        if expectation.is_confirmed(now) {
            let permit = self.remove(sequence).and_then(|retained| retained.permit);
            self.log_expired(usize::from(permit.is_some()));
            return Expiry::Over;
        }
        let due = expectation.unconfirmed_end(self.unconfirmed());
        if now < due {
            return Expiry::Check(due.min(now + DUE_CHECK_INTERVAL));
        }
        let permit = self.take_permit(sequence);
        self.log_expired(usize::from(permit.is_some()));
        Expiry::Check(expectation.deadline())
    }

    /// Releases the retained slots of requests that have ended, as a response confirms.
    pub(super) fn release_confirmed(&self, now: Moment) {
        if self.retained.borrow().is_empty() {
            return;
        }
        let retained = self.retained.take();
        let (ended, others) = retained
            .into_iter()
            .partition::<VecDeque<_>, _>(|one| one.expectation.is_confirmed(now));
        self.retained.replace(others);
        self.log_expired(permits(&ended));
    }

    fn expectation(&self, sequence: u64) -> Option<Expectation> {
        let retained = self.retained.borrow();
        let one = retained.iter().find(|one| one.sequence == sequence)?;
        Some(one.expectation.clone())
    }

    /// Returns the number of slots that were released without confirmation.
    fn unconfirmed(&self) -> usize {
        let retained = self.retained.borrow();
        retained.len() - permits(&*retained)
    }

    /// Takes the slot of a request that may still run.
    fn take_permit(&self, sequence: u64) -> Option<Permit> {
        let mut retained = self.retained.borrow_mut();
        let one = retained.iter_mut().find(|one| one.sequence == sequence)?;
        one.permit.take()
    }

    fn log_expired(&self, released: usize) {
        log_released(released, "time", 0, self.in_flight.borrow().len());
    }

    /// Returns the slot of a request that is about to be sent.
    pub(super) fn admit(self: &Rc<Self>, permit: Permit) -> Slot {
        Slot::new(Rc::clone(self), permit)
    }

    /// Returns the number of retained slots.
    #[cfg(test)]
    pub(super) fn retained(&self) -> usize {
        permits(&*self.retained.borrow())
    }

    /// Reconciles retained slots with the number of requests, running and queued, that the upstream
    /// reported in a response.
    ///
    /// It first waits a moment, so that responses written before that one are read as well.
    pub(super) fn reconcile_soon(
        self: &Rc<Self>,
        reported: usize,
        answered: &Slot,
        received: Moment,
    ) {
        if self.retained.borrow().is_empty() {
            return;
        }
        let (slots, sequence) = (Rc::clone(self), answered.sequence());
        task::spawn("slot reconciliation", async move {
            sleep(READ_GRACE).await;
            slots.reconcile(reported, sequence, received);
        });
    }

    /// Releases retained slots of requests that the upstream no longer has, as reported in the
    /// response to the request `answered`, at `received`.
    ///
    /// The report does not cover requests that the upstream had not read when it wrote the
    /// response. So only slots of requests sent before the answered one are released, and in-flight
    /// requests count towards the reported number only if the upstream must have read them.
    fn reconcile(&self, reported: usize, answered: u64, received: Moment) {
        let is_counted = |(sequence, sent): &(&u64, &Moment)| {
            **sequence < answered || received.since(**sent) >= READ_DELAY
        };
        let counted = self.in_flight.borrow().iter().filter(is_counted).count();
        let abandoned = reported.saturating_sub(counted);
        let released = self.take_older(answered, abandoned);
        log_released(permits(&released), "load", reported, counted);
        // Dropping a permit admits the next waiting request, which may call back into this module.
        drop(released);
    }

    /// Removes the oldest abandoned requests that were sent before `answered`, and leaves `remaining`
    /// of them.
    fn take_older(&self, answered: u64, remaining: usize) -> VecDeque<Retained> {
        let mut retained = self.retained.borrow_mut();
        let earlier = retained
            .iter()
            .filter(|one| one.sequence < answered)
            .count();
        let mut excess = earlier.saturating_sub(remaining);
        if excess == 0 {
            return VecDeque::new();
        }
        let (released, others) = retained.drain(..).partition(|one| {
            let is_excess = excess > 0 && one.sequence < answered;
            excess -= usize::from(is_excess);
            is_excess
        });
        *retained = others;
        released
    }

    /// Reserves slots for requests that the upstream reports from an earlier process of this node,
    /// until the last of them must have ended. One slot is left free, since only the response to a
    /// further request can report that they have ended.
    pub(super) fn reserve_reported(
        &self,
        admission: &Rc<Admission>,
        reported: usize,
        until: Moment,
    ) {
        let limit = admission.limit(Instant::now()).saturating_sub(1);
        for _ in 0..reported.min(limit) {
            let Some(permit) = admission.reserve() else {
                return;
            };
            let expectation = Expectation::until(until, clock::now());
            self.retain(self.sequence(), permit, expectation);
        }
    }

    /// Releases all retained slots, as a new incarnation of the upstream has started.
    pub(super) fn release_all(&self) {
        let retained = self.retained.take();
        drop(retained);
    }

    /// Retains a slot, unless the upstream reports before that the request has ended.
    fn retain(&self, sequence: u64, permit: Permit, expectation: Expectation) {
        let usual_end = expectation.usual_end();
        self.retained.borrow_mut().push_back(Retained {
            sequence,
            expectation,
            permit: Some(permit),
        });
        // The receiver is dropped only at process exit.
        let _ = self.retentions.unbounded_send((usual_end, sequence));
    }

    /// Returns the sequence number of the next request.
    fn sequence(&self) -> u64 {
        let sequence = self.next_sequence.get();
        self.next_sequence.set(sequence + 1);
        sequence
    }

    /// Removes an abandoned request.
    fn remove(&self, sequence: u64) -> Option<Retained> {
        let mut retained = self.retained.borrow_mut();
        let place = retained.iter().position(|one| one.sequence == sequence)?;
        retained.remove(place)
    }
}

/// Returns the number of slots that these requests retain.
fn permits<'a>(retained: impl IntoIterator<Item = &'a Retained>) -> usize {
    let retained = retained.into_iter();
    retained.filter(|one| one.permit.is_some()).count()
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
