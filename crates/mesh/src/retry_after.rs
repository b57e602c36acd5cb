//! When a refused caller is asked to come back.

use std::time::Duration;

use rand::Rng as _;

/// The time after which a caller comes back to a path that has no upstream, and by how much more
/// at most. Cuts and restarts take seconds; objectives of a second and a half leave this much.
const ABSENCE_RETURN: Duration = Duration::from_millis(900);
const ABSENCE_SPREAD: Duration = Duration::from_millis(600);
/// The time after which a caller comes back to a node that lacks news, and by how much more at most.
/// An allocator of tokens is replaced within 0.3 s to some seconds, and callers try once more only.
const OUTAGE_RETURN: Duration = Duration::from_millis(500);
const OUTAGE_SPREAD: Duration = Duration::from_millis(500);
/// The time after which a caller comes back to a request on trial, and by how much more at most:
/// one and two runs of middle length.
const TRIAL_RETURN: Duration = Duration::from_millis(250);
const TRIAL_SPREAD: Duration = Duration::from_millis(250);
/// The shortest time after which a caller comes back to a full upstream.
const SHORTEST_RETURN: Duration = Duration::from_millis(200);

/// Returns when a caller is to come back whose node lacks what the store or a neighbour has to
/// tell it: about when another node has been found that does.
pub(crate) fn outage() -> Duration {
    OUTAGE_RETURN + OUTAGE_SPREAD.mul_f64(rand::rng().random())
}

/// Returns when a caller is to come back whose path has no upstream somewhere.
///
/// Nobody knows for how long, and most callers try once more only: a late try finds the path
/// back more often than an early one, and one that waits longer is past what its caller hoped
/// for. Their returns are spread, so that they do not come at once.
pub(crate) fn no_upstream() -> Duration {
    ABSENCE_RETURN + ABSENCE_SPREAD.mul_f64(rand::rng().random())
}

/// Returns when a caller is to come back while another attempt of a request is on trial: a run
/// later. The trial clears the request, or the caller hears that it is held back.
pub(crate) fn trial() -> Duration {
    TRIAL_RETURN + TRIAL_SPREAD.mul_f64(rand::rng().random())
}

/// Returns when a caller is to come back to a full upstream, at some moment within `spread`.
pub(crate) fn overload(spread: Duration) -> Duration {
    SHORTEST_RETURN + spread.mul_f64(rand::rng().random())
}
