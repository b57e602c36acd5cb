//! Lets requests that may end the upstream run one at a time.

use std::cell::Cell;
use std::rc::Rc;

/// Whether a request is on trial at the own upstream.
#[derive(Debug, Default)]
pub(super) struct Trials(Rc<Cell<bool>>);

/// Held by the request that is on trial.
#[derive(Debug)]
pub(super) struct Trial(Rc<Cell<bool>>);

impl Trials {
    /// Begins a trial unless another one goes on.
    pub(super) fn begin(&self) -> Option<Trial> {
        let is_free = !self.0.replace(true);
        is_free.then(|| Trial(Rc::clone(&self.0)))
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        self.0.set(false);
    }
}
