//! Which kinds of requests have answers that are passed on before they are complete.
//!
//! If such an answer breaks off, its connection has to be closed, and the answers to requests that
//! were started behind it are lost. So none is started behind a request whose answer may be long.

#[cfg(test)]
mod tests;

use sailtrack_units::KindName;

use crate::configuration::Route;
use crate::entry::by_kind::ByKind;

/// After a long answer, so many short ones in a row show that the kind has none any more.
const SHORT_ANSWERS: u32 = 64;

/// The kinds whose answers were long lately, with the number of short ones that would show that
/// they are no more.
#[derive(Debug, Default)]
pub(crate) struct LongAnswers(ByKind<u32>);

impl LongAnswers {
    /// Returns true if the answer to a request may be long: the last ones were or, before the first
    /// one, the route says so.
    pub(super) fn are_expected(&self, route: &Route) -> bool {
        let remaining = self.0.get(&route.name);
        remaining.map_or(route.has_long_answers, |remaining| remaining > 0)
    }

    /// Records whether an answer was long.
    pub(super) fn record(&self, kind: &KindName, is_long: bool) {
        let remaining = self.0.get(kind).unwrap_or_default();
        let remaining = if is_long {
            SHORT_ANSWERS
        } else {
            remaining.saturating_sub(1)
        };
        self.0.set(kind, remaining);
    }
}
