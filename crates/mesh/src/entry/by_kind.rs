//! Values learned for kinds of requests, of which there may be any number.

use std::cell::RefCell;
use std::collections::HashMap;

use sailtrack_units::KindName;

/// The most kinds that are remembered; a configuration has some hundred.
const MAX_KINDS: usize = 1024;

/// A value for each kind that was seen lately.
#[derive(Debug)]
pub(super) struct ByKind<T>(RefCell<HashMap<KindName, T>>);

impl<T> Default for ByKind<T> {
    fn default() -> Self {
        Self(RefCell::default())
    }
}

impl<T: Copy> ByKind<T> {
    /// Returns the value of a kind.
    pub(super) fn get(&self, kind: &KindName) -> Option<T> {
        self.0.borrow().get(kind).copied()
    }

    /// Replaces the value of a kind. If there are too many kinds, all others are forgotten.
    pub(super) fn set(&self, kind: &KindName, value: T) {
        let mut values = self.0.borrow_mut();
        if values.len() >= MAX_KINDS && !values.contains_key(kind) {
            values.clear();
        }
        values.insert(kind.clone(), value);
    }
}
