//! Requests that succeeded recently.
//!
//! A request that many callers send is in flight at most crashes, and quarantining it would affect
//! all of them. So more evidence is needed against a request that succeeded recently on this node.
//! The table has a fixed size and a newer request overwrites an older one in its slot, so a request
//! is remembered only as long as it keeps coming often enough.

use std::time::Duration;

use sailtrack_units::Moment;

use crate::identity::Identity;

/// Number of slots, 24 bytes each. At 1000 requests per second that are all different, a request
/// repeated at least every four seconds keeps its slot.
const SLOTS: usize = 4096;
/// How long a success counts if the request is not repeated.
const SUCCESS_LIFETIME: Duration = Duration::from_mins(1);

/// A fixed-size hash table of recent successes, without collision chains.
#[derive(Debug, Clone)]
pub(crate) struct Successes(Vec<(u64, Moment)>);

impl Default for Successes {
    fn default() -> Self {
        Self(vec![(0, Moment::default()); SLOTS])
    }
}

impl Successes {
    /// Records that a request succeeded.
    pub(crate) fn insert(&mut self, identity: &Identity, now: Moment) {
        let (slot, hash) = slot(identity);
        self.0[slot] = (hash, now);
    }

    /// Returns true if a request succeeded recently.
    pub(crate) fn contains(&self, identity: &Identity, now: Moment) -> bool {
        let (slot, hash) = slot(identity);
        let (known, at) = self.0[slot];
        known == hash && now.since(at) < SUCCESS_LIFETIME
    }
}

/// Returns the slot of a request, and the hash that tells it from others in the same slot.
fn slot(identity: &Identity) -> (usize, u64) {
    let hash = identity.preference("");
    // The remainder is less than the number of slots.
    #[allow(clippy::cast_possible_truncation)]
    let slot = (hash % SLOTS as u64) as usize;
    (slot, hash)
}
