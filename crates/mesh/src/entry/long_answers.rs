//! Which kinds of requests have answers that are passed on before they are complete.
//!
//! If such an answer breaks off, its connection has to be closed, and the answers to requests that
//! were started behind it are lost. So none is started behind a request whose answer may be long.

#[cfg(test)]
mod tests;

use std::cell::RefCell;
use std::collections::HashMap;

use sailtrack_units::KindName;

use crate::configuration::Route;

/// After a long answer, so many short ones in a row show that the kind has none any more.
const SHORT_ANSWERS: u32 = 64;
/// The most kinds that are remembered.
const MAX_KINDS: usize = 1024;

/// The kinds whose answers were long lately.
#[derive(Debug, Default)]
pub(crate) struct LongAnswers(RefCell<HashMap<KindName, u32>>);

impl LongAnswers {
    /// Returns true if the answer to a request may be long: the last ones were or, before the first
    /// one, the route says so.
    pub(super) fn are_expected(&self, route: &Route) -> bool {
        let remaining = self.0.borrow().get(&route.name).copied();
        remaining.map_or(route.has_long_answers, |remaining| remaining > 0)
    }

    /// Records whether an answer was long.
    pub(super) fn record(&self, kind: &KindName, is_long: bool) {
        let mut kinds = self.0.borrow_mut();
        if kinds.len() >= MAX_KINDS && !kinds.contains_key(kind) {
            kinds.clear();
        }
        let remaining = kinds.entry(kind.clone()).or_default();
        *remaining = if is_long {
            SHORT_ANSWERS
        } else {
            remaining.saturating_sub(1)
        };
    }
}
