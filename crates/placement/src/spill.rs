//! When a request goes to another failure domain.

use rand::Rng;

use crate::candidate::Candidate;
use crate::estimate::Estimate;

/// An upstream of another failure domain is preferred if the near one loses this much more of its
/// requests. A loss of a tenth outweighs the price of an answer between failure domains.
const LOSING_MARGIN: f64 = 0.1;
/// From this pressure on the near upstreams are relieved: what is sent before the news of it comes
/// would wait in their queues.
const RELIEVED_FROM: f64 = 0.9;
/// How much emptier the others must be together for the first request to go there,
const LEAST_MARGIN: f64 = 0.02;
/// and for every one. Each request draws its own margin between the two, so that what goes grows
/// with the difference and many senders with the same news do not all turn at once.
const MOST_MARGIN: f64 = 0.3;
/// One upstream that is emptier than another by this is so not only by chance.
const CLEAR_MARGIN: f64 = 0.3;

/// Returns true if the other failure domains need to be looked at.
pub(crate) fn wants_far(near: &Candidate, estimate: &Estimate) -> bool {
    near.pressure >= RELIEVED_FROM || near.lost(estimate) > LOSING_MARGIN
}

/// Returns true if a target in another failure domain is preferred to a near one; the others are
/// `emptier` together than those of the own domain.
pub(crate) fn prefers_far(
    near: &Candidate,
    far: &Candidate,
    estimate: &Estimate,
    pressure_gap: f64,
    random: &mut impl Rng,
) -> bool {
    let is_sounder = far.lost(estimate) + LOSING_MARGIN < near.lost(estimate);
    if is_sounder && far.pressure < 1.0 {
        return true;
    }
    let margin = random.random_range(LEAST_MARGIN..MOST_MARGIN);
    let difference = near.pressure - far.pressure;
    let is_emptier = pressure_gap > margin && difference > LEAST_MARGIN;
    near.pressure >= RELIEVED_FROM && (is_emptier || difference > CLEAR_MARGIN)
}
