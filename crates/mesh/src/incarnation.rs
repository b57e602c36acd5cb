//! Incarnation numbers of nodes.

use std::time::Duration;

use rand::Rng as _;
use sailtrack_units::{Incarnation, Timestamp};

/// The number of random low bits; the bits above are the start time in milliseconds.
const RANDOM_BITS: u32 = 12;

/// Returns the number of a new incarnation, which no other incarnation of a node has.
pub(crate) fn generate() -> Incarnation {
    let random = rand::rng().random_range(0..1 << RANDOM_BITS);
    Incarnation(Timestamp::now().0 << RANDOM_BITS | random)
}

/// Returns how much earlier one incarnation started than another, by the clocks of their instances.
pub(crate) fn start_difference(earlier: Incarnation, later: Incarnation) -> Duration {
    let millis = (later.0 >> RANDOM_BITS).saturating_sub(earlier.0 >> RANDOM_BITS);
    Duration::from_millis(millis)
}
