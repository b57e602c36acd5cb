//! What may go on once at a time.

use std::cell::Cell;
use std::rc::Rc;

/// Something that may go on once at a time, and whether it does.
#[derive(Debug, Default)]
pub(super) struct Lock(Rc<Cell<bool>>);

/// Held for as long as it goes on.
#[derive(Debug)]
pub(super) struct Guard(Rc<Cell<bool>>);

impl Lock {
    /// Begins it unless it goes on already.
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
