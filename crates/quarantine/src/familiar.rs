//! Requests that end well again and again.
//!
//! A request that many callers make is in flight at most crashes, and holding
//! it back would cost them all. What ended well lately at this node needs more
//! evidence against it. How long that is remembered follows from how often a
//! request comes: each end well takes a place from another request.

use std::time::Duration;

use sailtrack_units::Moment;

use crate::identity::Identity;

/// The places, 24 bytes each. At a thousand requests a second that are all different, a request
/// that comes every four seconds or more often keeps its place.
const PLACES: usize = 4096;
/// For how long an end well speaks for a request that has not come since.
const MEMORY: Duration = Duration::from_mins(1);

/// Requests that end well again and again.
#[derive(Debug, Clone)]
pub(crate) struct Familiar(Vec<(u64, Moment)>);

impl Default for Familiar {
    fn default() -> Self {
        Self(vec![(0, Moment::default()); PLACES])
    }
}

impl Familiar {
    /// Notes that a request ended well.
    pub(crate) fn note(&mut self, identity: &Identity, now: Moment) {
        let (place, number) = place(identity);
        self.0[place] = (number, now);
    }

    /// Returns true if a request ended well lately.
    pub(crate) fn contains(&self, identity: &Identity, now: Moment) -> bool {
        let (place, number) = place(identity);
        let (known, at) = self.0[place];
        known == number && now.since(at) < MEMORY
    }
}

/// Returns the place of a request, and the number by which it is told from others there.
fn place(identity: &Identity) -> (usize, u64) {
    let number = identity.preference("");
    // The remainder is below the number of places.
    #[allow(clippy::cast_possible_truncation)]
    let place = (number % PLACES as u64) as usize;
    (place, number)
}
