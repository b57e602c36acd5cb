//! A memory budget that is shared fairly among callers.

mod bound;
#[cfg(test)]
mod tests;

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use displaydoc::Display;
use futures::channel::oneshot;
use monoio::time::timeout;

use crate::memory::Caller;
pub(crate) use bound::Bound;

/// One part in this many of the budget is kept for callers that use less than half of it, and for
/// small bodies.
const RESERVE_DIVISOR: usize = 8;
/// A body of up to this many bytes may use the reserve.
const SMALL_BYTES: usize = 64 * 1024;
/// How long a body that grows waits between two checks whether it is the one to be refused.
const RECHECK_INTERVAL: Duration = Duration::from_millis(50);
/// The most bodies that wait; the first bytes of each may already be in memory.
const MAX_WAITERS: usize = 256;

/// the memory for request bodies is used up
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(crate) struct Exhausted;

impl std::error::Error for Exhausted {}

/// A memory budget.
pub(crate) struct Budget(Rc<RefCell<State>>);

/// The use of a budget at one moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct Sample {
    /// Bytes in use.
    pub(crate) held: usize,
    /// The most bytes that were ever in use.
    pub(crate) peak: usize,
    /// Bytes that may be in use.
    pub(crate) capacity: usize,
    /// Bodies that wait for memory.
    pub(crate) waiting: usize,
    /// Bodies that were refused for lack of memory.
    pub(crate) refused: u64,
}

/// Memory that is charged to a budget until this is dropped.
pub(crate) struct Charge {
    state: Rc<RefCell<State>>,
    caller: Caller,
    /// The place in the order in which bodies were admitted.
    ticket: u64,
    bytes: usize,
}

struct State {
    capacity: usize,
    /// What this and other budgets may have in use together.
    bound: Rc<Bound>,
    held: usize,
    peak: usize,
    refused: u64,
    by_caller: HashMap<Caller, usize>,
    waiters: Vec<Waiter>,
    next_ticket: u64,
}

/// A request for memory that waits until it fits.
struct Waiter {
    caller: Caller,
    ticket: u64,
    bytes: usize,
    /// Bytes that the same body already uses; zero for a body that has not been admitted.
    held: usize,
    sender: oneshot::Sender<Charge>,
}

/// Whether a request for memory can be granted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fit {
    Fits,
    /// Only the reserve is left, which is for others.
    Reserved,
    Full,
}

impl Budget {
    /// Returns a budget of `capacity` bytes within `bound`; a body that is the only one may have all
    /// that the bound leaves.
    pub(crate) fn new(capacity: usize, bound: &Rc<Bound>) -> Self {
        let state = Rc::new(RefCell::new(State {
            capacity,
            bound: Rc::clone(bound),
            held: 0,
            peak: 0,
            refused: 0,
            by_caller: HashMap::new(),
            waiters: Vec::new(),
            next_ticket: 0,
        }));
        bound.add(&state);
        Self(state)
    }

    /// Changes the size; memory in use stays in use.
    pub(crate) fn resize(&self, capacity: usize) {
        self.0.borrow_mut().capacity = capacity;
        grant_waiting(&self.0);
    }

    /// Admits a body of this many bytes, waiting up to `patience` for others to be released.
    pub(crate) async fn acquire(
        &self,
        caller: Caller,
        bytes: usize,
        patience: Duration,
    ) -> Result<Charge, Exhausted> {
        let ticket = self.0.borrow_mut().take_ticket();
        let receiver = request(&self.0, caller, ticket, bytes, 0);
        let is_crowded = self.0.borrow().waiters.len() > MAX_WAITERS;
        let patience = if is_crowded { Duration::ZERO } else { patience };
        if let Ok(Ok(charge)) = timeout(patience, receiver).await {
            return Ok(charge);
        }
        self.0.borrow_mut().refused += 1;
        Err(Exhausted)
    }

    /// Charges bytes that are needed at once; returns `None` if they do not fit or others wait.
    pub(crate) fn try_acquire(&self, caller: &Caller, bytes: usize) -> Option<Charge> {
        let mut state = self.0.borrow_mut();
        state.waiters.retain(|waiter| !waiter.sender.is_canceled());
        let fits = state.waiters.is_empty() && state.fit(caller, bytes, 0) == Fit::Fits;
        fits.then(|| {
            state.charge(caller, bytes);
            Charge {
                state: Rc::clone(&self.0),
                caller: caller.clone(),
                ticket: state.take_ticket(),
                bytes,
            }
        })
    }

    /// Returns the use of the budget.
    pub(crate) fn sample(&self) -> Sample {
        let state = self.0.borrow();
        let is_waiting = |waiter: &&Waiter| !waiter.sender.is_canceled();
        Sample {
            held: state.held,
            peak: state.peak,
            capacity: state.capacity,
            waiting: state.waiters.iter().filter(is_waiting).count(),
            refused: state.refused,
        }
    }
}

impl Charge {
    /// Returns how many bytes are charged.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Charges `extra` more bytes for a body that is longer than expected.
    ///
    /// Waits for other bodies to be released. Bodies that wait for each other are refused after
    /// `patience`, the one that was admitted last first.
    pub(crate) async fn grow(&mut self, extra: usize, patience: Duration) -> Result<(), Exhausted> {
        let caller = self.caller.clone();
        let mut receiver = request(&self.state, caller, self.ticket, extra, self.bytes);
        let mut wait = patience;
        loop {
            match timeout(wait, &mut receiver).await {
                Ok(Ok(granted)) => {
                    self.join(granted);
                    return Ok(());
                }
                Err(_) if !self.is_last_to_grow() => wait = RECHECK_INTERVAL,
                Ok(Err(_)) | Err(_) => {
                    self.state.borrow_mut().refused += 1;
                    return Err(Exhausted);
                }
            }
        }
    }

    /// Adds what another charge has of the same budget.
    pub(crate) fn join(&mut self, mut other: Self) {
        self.bytes += std::mem::take(&mut other.bytes);
    }

    /// Releases what exceeds this many bytes.
    pub(crate) fn shrink_to(&mut self, bytes: usize) {
        let released = self.bytes.saturating_sub(bytes);
        self.bytes -= released;
        release(&self.state, &self.caller, released);
    }

    fn is_last_to_grow(&self) -> bool {
        let state = self.state.borrow();
        let growing = state.waiters.iter().filter(|waiter| waiter.is_growing());
        growing.map(|waiter| waiter.ticket).max() == Some(self.ticket)
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        release(&self.state, &self.caller, self.bytes);
    }
}

impl Waiter {
    /// Returns true if the body was admitted before and needs more than it was admitted with.
    fn is_growing(&self) -> bool {
        self.held > 0 && !self.sender.is_canceled()
    }
}

impl State {
    fn take_ticket(&mut self) -> u64 {
        self.next_ticket += 1;
        self.next_ticket
    }

    fn held_by(&self, caller: &Caller) -> usize {
        self.by_caller.get(caller).copied().unwrap_or_default()
    }

    /// Returns whether a caller can have this many bytes for something that has `held` already.
    fn fit(&self, caller: &Caller, bytes: usize, held: usize) -> Fit {
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

    fn charge(&mut self, caller: &Caller, bytes: usize) {
        self.held += bytes;
        self.bound.charge(bytes);
        self.peak = self.peak.max(self.held);
        *self.by_caller.entry(caller.clone()).or_default() += bytes;
    }
}

/// Adds a request for memory and grants it at once if possible.
fn request(
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
fn grant_waiting(state: &Rc<RefCell<State>>) {
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

fn release(state: &Rc<RefCell<State>>, caller: &Caller, bytes: usize) {
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
