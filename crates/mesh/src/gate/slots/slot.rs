//! The slot of one request.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use sailtrack_admission::Permit;
use sailtrack_units::Moment;

use super::{Expectation, Slots};

/// The state of a request.
#[derive(Debug, Clone, Copy)]
enum State {
    Unsent,
    /// If dropped, the slot is retained.
    InFlight,
    /// The request was abandoned and its slot is retained.
    Retained,
    Released,
}

/// The slot of one request, released once the upstream has finished with the request.
pub(in crate::gate) struct Slot {
    slots: Rc<Slots>,
    permit: RefCell<Option<Permit>>,
    /// How long the upstream may work on it, once it has been sent.
    pub(super) expectation: RefCell<Option<Expectation>>,
    /// Its sequence number, once it has been sent.
    sequence: Cell<u64>,
    state: Cell<State>,
}

impl Slot {
    /// Returns the slot of a request that has not been sent.
    pub(super) fn new(slots: Rc<Slots>, permit: Permit) -> Self {
        Self {
            slots,
            permit: RefCell::new(Some(permit)),
            expectation: RefCell::default(),
            sequence: Cell::default(),
            state: Cell::new(State::Unsent),
        }
    }

    /// Returns the sequence number of the request.
    pub(super) fn sequence(&self) -> u64 {
        self.sequence.get()
    }

    /// Marks the request as sent.
    pub(in crate::gate) fn start(&self, now: Moment, expectation: Expectation) {
        self.sequence.set(self.slots.sequence());
        let mut in_flight = self.slots.in_flight.borrow_mut();
        in_flight.insert(self.sequence.get(), now);
        self.expectation.replace(Some(expectation));
        self.state.set(State::InFlight);
    }

    /// Releases the slot: the upstream has finished the request or never received it.
    pub(in crate::gate) fn finish(&self) {
        match self.state.replace(State::Released) {
            State::InFlight => self.forget_in_flight(),
            State::Retained => drop(self.slots.remove(self.sequence.get())),
            State::Unsent | State::Released => {}
        }
    }

    /// Marks the request as overdue: it takes longer than it usually would, and the upstream may
    /// work on it until its deadline.
    pub(in crate::gate) fn mark_overdue(&self) {
        let expectation = self.expectation.take();
        self.abandon(expectation.map(Expectation::without_usual));
    }

    /// Marks the request as abandoned.
    fn abandon(&self, expectation: Option<Expectation>) {
        if !matches!(self.state.get(), State::InFlight) {
            return;
        }
        self.forget_in_flight();
        self.state.set(State::Released);
        if let (Some(permit), Some(expectation)) = (self.permit.take(), expectation) {
            self.state.set(State::Retained);
            self.slots.retain(self.sequence.get(), permit, expectation);
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
        self.abandon(self.expectation.take());
    }
}
