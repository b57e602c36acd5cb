//! Delays for `Retry-After`: when a refused caller should retry.

#[cfg(test)]
mod tests;

use std::time::Duration;

use rand::Rng as _;

/// The base delay and jitter of a retry on a path without an upstream. Network partitions and
/// restarts take seconds; an objective of 1.5 s leaves time for this much.
const NO_UPSTREAM_DELAY: Duration = Duration::from_millis(900);
const NO_UPSTREAM_JITTER: Duration = Duration::from_millis(600);
/// The base delay and jitter of a retry at a node that is cut off from the store or its peers. A
/// token allocator is replaced within 0.3 s to a few seconds, and callers retry only once.
const OUTAGE_DELAY: Duration = Duration::from_millis(500);
const OUTAGE_JITTER: Duration = Duration::from_millis(500);
/// The base delay and jitter of a retry while another attempt of a suspect request is on trial: one
/// to two times a typical execution.
const TRIAL_DELAY: Duration = Duration::from_millis(250);
const TRIAL_JITTER: Duration = Duration::from_millis(250);
/// The base delay and jitter of a retry while the memory for request bodies is used up: about as
/// long as the bodies that use it take.
const MEMORY_DELAY: Duration = Duration::from_millis(500);
const MEMORY_JITTER: Duration = Duration::from_millis(500);
/// The shortest delay before a retry at a full upstream.
const MIN_OVERLOAD_DELAY: Duration = Duration::from_millis(200);
/// The longest delay that an upstream can state.
const MAX_STATED_DELAY: Duration = Duration::from_mins(1);

/// Returns the delay for a node that cannot reach the store or a peer whose state it needs: about
/// as long as it takes to find another node that can.
pub(crate) fn outage() -> Duration {
    OUTAGE_DELAY + OUTAGE_JITTER.mul_f64(rand::rng().random())
}

/// Returns the delay for a path on which a service has no upstream.
///
/// The length of the outage is unknown, and most callers retry only once: a later retry is more
/// likely to succeed, but one that is too late exceeds the time that the caller is willing to wait.
/// The jitter keeps the retries from arriving at once.
pub(crate) fn no_upstream() -> Duration {
    NO_UPSTREAM_DELAY + NO_UPSTREAM_JITTER.mul_f64(rand::rng().random())
}

/// Returns the delay while another attempt of the request is on trial: about one execution. By then
/// the trial has cleared the request, or the retry is refused as quarantined.
pub(crate) fn trial() -> Duration {
    TRIAL_DELAY + TRIAL_JITTER.mul_f64(rand::rng().random())
}

/// Returns the delay while there is no memory for the body of a request.
pub(crate) fn memory() -> Duration {
    MEMORY_DELAY + MEMORY_JITTER.mul_f64(rand::rng().random())
}

/// Returns the delay for a full upstream, with a random addition of up to `jitter`.
pub(crate) fn overload(jitter: Duration) -> Duration {
    rejection(None, jitter)
}

/// Returns the delay for an upstream that rejected a request itself: not before the time that it
/// stated, with a random addition of up to `jitter`.
pub(crate) fn rejection(stated: Option<Duration>, jitter: Duration) -> Duration {
    let shortest = stated.unwrap_or_default().max(MIN_OVERLOAD_DELAY);
    shortest + jitter.mul_f64(rand::rng().random())
}

/// Parses a number of seconds, which may have a fraction; any other value states nothing.
pub(crate) fn parse(value: &str) -> Option<Duration> {
    let seconds = value.trim().parse().ok()?;
    let stated = Duration::try_from_secs_f64(seconds).ok()?;
    Some(stated.min(MAX_STATED_DELAY))
}
