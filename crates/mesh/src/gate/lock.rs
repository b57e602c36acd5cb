//! A try-lock for activities that must not run concurrently.

use std::cell::Cell;
use std::rc::Rc;

/// A lock that can be tried but not waited for.
#[derive(Debug, Default)]
pub(super) struct Lock(Rc<Cell<bool>>);

/// Releases the lock when dropped.
#[derive(Debug)]
pub(super) struct Guard(Rc<Cell<bool>>);

impl Lock {
    /// Acquires the lock, or returns `None` if it is held.
    pub(super) fn try_acquire(&self) -> Option<Guard> {
        let is_free = !self.0.replace(true);
        is_free.then(|| Guard(Rc::clone(&self.0)))
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.set(false);
    }
}
