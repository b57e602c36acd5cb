//! A bound for several budgets together.

use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};

use super::state::{State, grant_waiting};

/// How many bytes the budgets that share it may have in use together.
pub(crate) struct Bound {
    capacity: Cell<usize>,
    held: Cell<usize>,
    budgets: RefCell<Vec<Weak<RefCell<State>>>>,
}

impl Bound {
    /// Returns a bound of `capacity` bytes.
    pub(crate) fn new(capacity: usize) -> Rc<Self> {
        Rc::new(Self {
            capacity: Cell::new(capacity),
            held: Cell::default(),
            budgets: RefCell::default(),
        })
    }

    /// Changes the size; memory in use stays in use.
    pub(crate) fn resize(&self, capacity: usize) {
        self.capacity.set(capacity);
        self.grant_waiting();
    }

    /// Adds a budget, to which released memory is offered.
    pub(super) fn add(&self, budget: &Rc<RefCell<State>>) {
        self.budgets.borrow_mut().push(Rc::downgrade(budget));
    }

    pub(super) fn fits(&self, bytes: usize) -> bool {
        self.held.get().saturating_add(bytes) <= self.capacity.get()
    }

    pub(super) fn charge(&self, bytes: usize) {
        self.held.set(self.held.get() + bytes);
    }

    pub(super) fn release(&self, bytes: usize) {
        self.held.set(self.held.get() - bytes);
    }

    /// Grants what fits now to those who wait, in all budgets.
    pub(super) fn grant_waiting(&self) {
        // A grant that nobody takes any more is released at once, and comes back here.
        let budgets: Vec<_> = self.budgets.borrow().iter().map(Weak::upgrade).collect();
        for budget in budgets.iter().flatten() {
            grant_waiting(budget);
        }
    }
}
