//! Spillover: when a request goes to another failure domain.

use rand::Rng;

use crate::candidate::Candidate;
use crate::estimate::Estimate;

/// An upstream in another failure domain is preferred if the best one in the same domain loses this
/// much more of its requests. Losing a tenth outweighs the cost of crossing between domains.
const LOSS_MARGIN: f64 = 0.1;
/// The pressure from which requests may spill over. It is below 1, as requests that are sent before
/// the next report arrives would wait in the queue.
const SPILL_FROM: f64 = 0.9;
/// The pressure gap between the domains from which some requests spill over.
const MIN_MARGIN: f64 = 0.02;
/// The pressure gap from which all do. Each request draws its own margin between the two, so that
/// the spillover grows with the gap and many senders with the same reports do not all switch at once.
const MAX_MARGIN: f64 = 0.3;
/// A difference in pressure between two upstreams that is more than random variation.
const CLEAR_DIFFERENCE: f64 = 0.3;

/// Returns true if upstreams in other failure domains should be considered.
pub(crate) fn needs_spillover(same_domain: &Candidate, estimate: &Estimate) -> bool {
    same_domain.pressure >= SPILL_FROM || same_domain.loss_rate(estimate) > LOSS_MARGIN
}

/// Returns true if an upstream in another failure domain is preferred to one in the same domain;
/// `pressure_gap` is the average pressure in the same domain minus that in the others.
pub(crate) fn prefers_other_domain(
    same_domain: &Candidate,
    other_domain: &Candidate,
    estimate: &Estimate,
    pressure_gap: f64,
    random: &mut impl Rng,
) -> bool {
    let is_safer = other_domain.loss_rate(estimate) + LOSS_MARGIN < same_domain.loss_rate(estimate);
    if is_safer && other_domain.pressure < 1.0 {
        return true;
    }
    let margin = random.random_range(MIN_MARGIN..MAX_MARGIN);
    let difference = same_domain.pressure - other_domain.pressure;
    let is_less_loaded = pressure_gap > margin && difference > MIN_MARGIN;
    same_domain.pressure >= SPILL_FROM && (is_less_loaded || difference > CLEAR_DIFFERENCE)
}
