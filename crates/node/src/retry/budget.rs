//! The retry allowance of one request on this node, lent out to the calls made for it.

use std::cell::Cell;
use std::rc::Rc;

use sailtrack_units::Allowance;

/// What is left of a request's allowance.
///
/// Every call made for the request shares the same budget, however many run in
/// parallel, so the retries below it never exceed what was brought in.
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

    /// Takes one retry out; returns false if none is left.
    pub(crate) fn spend(&self) -> bool {
        let remaining = self.inner.remaining.get();
        if remaining == 0 {
            return false;
        }
        self.inner.remaining.set(remaining - 1);
        true
    }

    /// Lends half of what is left, rounded up, to one call.
    ///
    /// What the call does not give back counts as spent.
    pub(crate) fn reserve(&self) -> Reservation {
        let available = self.inner.remaining.get();
        let reserved = available.div_ceil(2);
        self.inner.remaining.set(available - reserved);
        Reservation {
            budget: self.clone(),
            reserved,
        }
    }

    /// Returns what has been used up, with what is still lent out.
    pub(crate) fn used(&self) -> Allowance {
        Allowance(self.inner.initial - self.inner.remaining.get())
    }
}

/// A part of a budget lent to one call.
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

    /// Puts back what the call says that it did not use.
    pub(crate) fn refund(self, used: Allowance) {
        let unused = self.reserved.saturating_sub(used.0);
        let remaining = self.budget.inner.remaining.get();
        self.budget.inner.remaining.set(remaining + unused);
    }
}
