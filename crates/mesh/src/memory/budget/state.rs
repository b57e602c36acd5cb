//! The memory in use of a budget, and those who wait for more.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use futures::channel::oneshot;

use super::{Bound, Charge, Sample};
use crate::memory::Caller;

/// One part in this many of the budget is kept for callers that use less than half of it, and for
/// small bodies.
const RESERVE_DIVISOR: usize = 8;
/// A body of up to this many bytes may use the reserve.
pub(super) const SMALL_BYTES: usize = 64 * 1024;

/// The memory in use of a budget.
pub(super) struct State {
    pub(super) capacity: usize,
    /// What this and other budgets may have in use together.
    bound: Rc<Bound>,
    held: usize,
    peak: usize,
    pub(super) refused: u64,
    by_caller: HashMap<Caller, usize>,
    pub(super) waiters: Vec<Waiter>,
    next_ticket: u64,
}

/// A request for memory that waits until it fits.
pub(super) struct Waiter {
    caller: Caller,
    pub(super) ticket: u64,
    bytes: usize,
    /// Bytes that the same body already uses; zero for a body that has not been admitted.
    held: usize,
    pub(super) sender: oneshot::Sender<Charge>,
}

/// Whether a request for memory can be granted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Fit {
    Fits,
    /// Only the reserve is left, which is for others.
    Reserved,
    Full,
}

impl Waiter {
    /// Returns true if the body was admitted before and needs more than it was admitted with.
    pub(super) fn is_growing(&self) -> bool {
        self.held > 0 && !self.sender.is_canceled()
    }
}

impl State {
    pub(super) fn new(capacity: usize, bound: Rc<Bound>) -> Self {
        Self {
            capacity,
            bound,
            held: 0,
            peak: 0,
            refused: 0,
            by_caller: HashMap::new(),
            waiters: Vec::new(),
            next_ticket: 0,
        }
    }

    pub(super) fn sample(&self) -> Sample {
        let is_waiting = |waiter: &&Waiter| !waiter.sender.is_canceled();
        Sample {
            held: self.held,
            peak: self.peak,
            capacity: self.capacity,
            waiting: self.waiters.iter().filter(is_waiting).count(),
            refused: self.refused,
        }
    }

    pub(super) fn take_ticket(&mut self) -> u64 {
        self.next_ticket += 1;
        self.next_ticket
    }

    fn held_by(&self, caller: &Caller) -> usize {
        self.by_caller.get(caller).copied().unwrap_or_default()
    }

    /// Returns whether a caller can have this many bytes for something that has `held` already.
    pub(super) fn fit(&self, caller: &Caller, bytes: usize, held: usize) -> Fit {
        let total = self.held.saturating_add(bytes);
        if bytes == 0 {
            return Fit::Fits;
        }
        if !self.bound.fits(bytes) {
            return Fit::Full;
        }
        let is_single = self.held == held;
        if is_single {
            return Fit::Fits;
        }
        if total > self.capacity {
            return Fit::Full;
        }
        let own = self.held_by(caller) + bytes;
        let may_use_reserve = own <= self.capacity / 2 || bytes <= SMALL_BYTES;
        if may_use_reserve || total <= self.capacity - self.capacity / RESERVE_DIVISOR {
            Fit::Fits
        } else {
            Fit::Reserved
        }
    }

    /// Returns the place of a waiter in the order in which memory is granted: bodies that are being
    /// read go first, since they hold memory until they are complete. Then comes whose caller uses
    /// least.
    fn precedence(&self, waiter: &Waiter) -> (bool, usize, u64) {
        if waiter.is_growing() {
            return (false, 0, waiter.ticket);
        }
        (true, self.held_by(&waiter.caller), waiter.ticket)
    }

    /// Removes the next waiter whose request can be granted. A long body that finds no room is
    /// overtaken by small ones only, so that it is not passed over forever.
    fn next_granted(&mut self) -> Option<Waiter> {
        self.waiters.retain(|waiter| !waiter.sender.is_canceled());
        let mut order: Vec<usize> = (0..self.waiters.len()).collect();
        order.sort_by_key(|at| self.precedence(&self.waiters[*at]));
        let mut is_blocked = false;
        for at in order {
            let waiter = &self.waiters[at];
            match self.fit(&waiter.caller, waiter.bytes, waiter.held) {
                Fit::Fits if !is_blocked || waiter.bytes <= SMALL_BYTES => {
                    return Some(self.waiters.remove(at));
                }
                Fit::Fits | Fit::Reserved => {}
                Fit::Full => is_blocked = true,
            }
        }
        None
    }

    pub(super) fn charge(&mut self, caller: &Caller, bytes: usize) {
        self.held += bytes;
        self.bound.charge(bytes);
        self.peak = self.peak.max(self.held);
        *self.by_caller.entry(caller.clone()).or_default() += bytes;
    }
}

/// Adds a request for memory and grants it at once if possible.
pub(super) fn request(
    state: &Rc<RefCell<State>>,
    caller: Caller,
    ticket: u64,
    bytes: usize,
    held: usize,
) -> oneshot::Receiver<Charge> {
    let (sender, receiver) = oneshot::channel();
    state.borrow_mut().waiters.push(Waiter {
        caller,
        ticket,
        bytes,
        held,
        sender,
    });
    grant_waiting(state);
    receiver
}

/// Grants the requests that fit now.
pub(super) fn grant_waiting(state: &Rc<RefCell<State>>) {
    loop {
        let granted = state.borrow_mut().next_granted();
        let Some(waiter) = granted else {
            return;
        };
        state.borrow_mut().charge(&waiter.caller, waiter.bytes);
        let charge = Charge {
            state: Rc::clone(state),
            caller: waiter.caller,
            ticket: waiter.ticket,
            bytes: waiter.bytes,
        };
        // If the request was dropped meanwhile, the charge is released.
        let _ = waiter.sender.send(charge);
    }
}

pub(super) fn release(state: &Rc<RefCell<State>>, caller: &Caller, bytes: usize) {
    if bytes == 0 {
        return;
    }
    let bound = {
        let mut state = state.borrow_mut();
        state.held -= bytes;
        state.bound.release(bytes);
        if let Some(held) = state.by_caller.get_mut(caller) {
            *held -= bytes;
            if *held == 0 {
                state.by_caller.remove(caller);
            }
        }
        Rc::clone(&state.bound)
    };
    bound.grant_waiting();
}
