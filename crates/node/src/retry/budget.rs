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
    left: Cell<u32>,
    brought: u32,
}

impl Budget {
    pub(crate) fn new(allowance: Allowance) -> Self {
        Self {
            inner: Rc::new(Inner {
                left: Cell::new(allowance.0),
                brought: allowance.0,
            }),
        }
    }

    /// Takes one retry out; returns false if none is left.
    pub(crate) fn spend(&self) -> bool {
        let left = self.inner.left.get();
        if left == 0 {
            return false;
        }
        self.inner.left.set(left - 1);
        true
    }

    /// Lends half of what is left, rounded up, to one call.
    ///
    /// What the call does not give back counts as spent.
    pub(crate) fn lend(&self) -> Reservation {
        let available = self.inner.left.get();
        let lent = available.div_ceil(2);
        self.inner.left.set(available - lent);
        Reservation {
            budget: self.clone(),
            lent,
        }
    }

    /// Returns what has been used up, with what is still lent out.
    pub(crate) fn used(&self) -> Allowance {
        Allowance(self.inner.brought - self.inner.left.get())
    }
}

/// A part of a budget lent to one call.
#[derive(Debug)]
pub(crate) struct Reservation {
    budget: Budget,
    lent: u32,
}

impl Reservation {
    /// Returns the allowance that the call may use.
    pub(crate) fn amount(&self) -> Allowance {
        Allowance(self.lent)
    }

    /// Puts back what the call says that it did not use.
    pub(crate) fn give_back(self, used: Allowance) {
        let unused = self.lent.saturating_sub(used.0);
        let left = self.budget.inner.left.get();
        self.budget.inner.left.set(left + unused);
    }
}
