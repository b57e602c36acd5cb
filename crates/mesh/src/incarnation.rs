//! Numbers that name the lives of nodes.

use std::time::Duration;

use rand::Rng as _;
use sailtrack_units::{Incarnation, Timestamp};

/// The bits of a life that are random; the rest is the time of its start in milliseconds.
const RANDOM_BITS: u32 = 12;

/// Returns a number that no other life of a node has.
pub(crate) fn generate() -> Incarnation {
    let random = rand::rng().random_range(0..1 << RANDOM_BITS);
    Incarnation(Timestamp::now().0 << RANDOM_BITS | random)
}

/// Returns how much earlier one life began than another, by the clocks of their instances.
pub(crate) fn start_difference(earlier: Incarnation, later: Incarnation) -> Duration {
    let millis = (later.0 >> RANDOM_BITS).saturating_sub(earlier.0 >> RANDOM_BITS);
    Duration::from_millis(millis)
}
