//! How long bodies are that arrive without a stated length.

#[cfg(test)]
mod tests;

use std::cell::RefCell;
use std::collections::HashMap;

use sailtrack_units::KindName;

/// What is expected of a kind without any such body so far.
const INITIAL_BYTES: usize = 256 * 1024;
/// After a shorter body the expected length falls by one part in this many.
const DECAY_DIVISOR: usize = 16;
/// The most kinds that are remembered.
const MAX_KINDS: usize = 1024;

/// The lengths to expect of bodies that arrive without a stated length, by kind.
#[derive(Debug, Default)]
pub(crate) struct Lengths(RefCell<HashMap<KindName, usize>>);

impl Lengths {
    /// Returns the length to expect of a body of this kind.
    pub(super) fn expected(&self, kind: &KindName) -> usize {
        let lengths = self.0.borrow();
        lengths.get(kind).copied().unwrap_or(INITIAL_BYTES)
    }

    /// Records the length of a complete body.
    pub(super) fn record(&self, kind: &KindName, length: usize) {
        let mut lengths = self.0.borrow_mut();
        if lengths.len() >= MAX_KINDS && !lengths.contains_key(kind) {
            lengths.clear();
        }
        let expected = lengths.entry(kind.clone()).or_insert(length);
        let decayed = *expected - *expected / DECAY_DIVISOR;
        *expected = decayed.max(length);
    }
}
