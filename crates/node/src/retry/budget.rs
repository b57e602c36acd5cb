//! The retry budget of one request on this node, shared by all calls made for it.

use std::cell::Cell;
use std::rc::Rc;

use sailtrack_units::Allowance;

/// The remaining retry allowance of a request.
///
/// All calls made for the request draw on the same budget, however many run in parallel, so the
/// total number of retries below it never exceeds the allowance.
#[derive(Debug, Clone)]
pub(crate) struct Budget {
    inner: Rc<Inner>,
}

#[derive(Debug)]
struct Inner {
    remaining: Cell<u32>,
    initial: u32,
}

impl Budget {
    pub(crate) fn new(allowance: Allowance) -> Self {
        Self {
            inner: Rc::new(Inner {
                remaining: Cell::new(allowance.0),
                initial: allowance.0,
            }),
        }
    }

    /// Spends one retry; returns false if none is left.
    pub(crate) fn spend(&self) -> bool {
        let remaining = self.inner.remaining.get();
        if remaining == 0 {
            return false;
        }
        self.inner.remaining.set(remaining - 1);
        true
    }

    /// Reserves half of the remaining retries, rounded up, for one call.
    ///
    /// Whatever the call does not refund counts as spent.
    pub(crate) fn reserve(&self) -> Reservation {
        let available = self.inner.remaining.get();
        let reserved = available.div_ceil(2);
        self.inner.remaining.set(available - reserved);
        Reservation {
            budget: self.clone(),
            reserved,
        }
    }

    /// Returns how many retries are spent or reserved.
    pub(crate) fn used(&self) -> Allowance {
        Allowance(self.inner.initial - self.inner.remaining.get())
    }
}

/// Retries reserved for one call.
#[derive(Debug)]
pub(crate) struct Reservation {
    budget: Budget,
    reserved: u32,
}

impl Reservation {
    /// Returns the allowance that the call may use.
    pub(crate) fn amount(&self) -> Allowance {
        Allowance(self.reserved)
    }

    /// Returns the retries that the call reports as unused to the budget.
    pub(crate) fn refund(self, used: Allowance) {
        let unused = self.reserved.saturating_sub(used.0);
        let remaining = self.budget.inner.remaining.get();
        self.budget.inner.remaining.set(remaining + unused);
    }
}
