//! How long bodies are that arrive without a stated length.

#[cfg(test)]
mod tests;

use sailtrack_units::KindName;

use crate::entry::by_kind::ByKind;

/// What is expected of a kind without any such body so far.
const INITIAL_BYTES: usize = 256 * 1024;
/// After a shorter body the expected length falls by one part in this many.
const DECAY_DIVISOR: usize = 16;

/// The lengths to expect of bodies that arrive without a stated length, by kind.
#[derive(Debug, Default)]
pub(crate) struct Lengths(ByKind<usize>);

impl Lengths {
    /// Returns the length to expect of a body of this kind.
    pub(super) fn expected(&self, kind: &KindName) -> usize {
        self.0.get(kind).unwrap_or(INITIAL_BYTES)
    }

    /// Records the length of a complete body.
    pub(super) fn record(&self, kind: &KindName, length: usize) {
        let expected = self.0.get(kind).unwrap_or(length);
        let decayed = expected - expected / DECAY_DIVISOR;
        self.0.set(kind, decayed.max(length));
    }
}
