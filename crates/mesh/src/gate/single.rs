//! What may go on once at a time.

use std::cell::Cell;
use std::rc::Rc;

/// Something that may go on once at a time, and whether it does.
#[derive(Debug, Default)]
pub(super) struct Single(Rc<Cell<bool>>);

/// Held for as long as it goes on.
#[derive(Debug)]
pub(super) struct Turn(Rc<Cell<bool>>);

impl Single {
    /// Begins it unless it goes on already.
    pub(super) fn begin(&self) -> Option<Turn> {
        let is_free = !self.0.replace(true);
        is_free.then(|| Turn(Rc::clone(&self.0)))
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        self.0.set(false);
    }
}
