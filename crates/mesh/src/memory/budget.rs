//! A memory budget that is shared fairly among callers.

mod bound;
mod state;
#[cfg(test)]
mod tests;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use displaydoc::Display;
use monoio::time::timeout;

use crate::memory::Caller;
pub(crate) use bound::Bound;
use state::{Fit, State, grant_waiting, release, request};

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

impl Budget {
    /// Returns a budget of `capacity` bytes within `bound`; a body that is the only one may have all
    /// that the bound leaves.
    pub(crate) fn new(capacity: usize, bound: &Rc<Bound>) -> Self {
        let state = State::new(capacity, Rc::clone(bound));
        let state = Rc::new(RefCell::new(state));
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
        self.0.borrow().sample()
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
