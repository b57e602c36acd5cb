//! A monotonic clock that keeps counting while the instance is suspended.
//!
//! Use it for time that also passes outside this process: deadlines of
//! callers, heartbeats of other nodes, the retry window, idle connections that
//! the peer may have closed, quarantine periods. Time that only matters inside
//! the process, such as polling intervals and moving averages, is measured by
//! the clock of the runtime, which stops during a suspension.

#[cfg(test)]
pub(crate) mod tests;

use std::time::Duration;

use displaydoc::Display;
use futures::future::{Either, select};
use monoio::time::sleep;
use sailtrack_units::Moment;

/// How often a deadline is checked. Timers of the runtime stop while the instance is suspended, so
/// a deadline that passed meanwhile is noticed at most this long after the instance resumes.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Time to read an answer that arrived while the node itself was suspended or blocked.
pub(crate) const READ_GRACE: Duration = Duration::from_millis(5);

/// the deadline has passed
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(crate) struct Elapsed;

impl std::error::Error for Elapsed {}

/// Returns the current time.
#[cfg(not(test))]
pub(crate) fn now() -> Moment {
    Moment::now()
}

#[cfg(test)]
pub(crate) use tests::{now, suspend};

/// Runs a future until it completes or the deadline passes.
pub(crate) async fn timeout_at<T>(
    deadline: Moment,
    future: impl Future<Output = T>,
) -> Result<T, Elapsed> {
    timeout_when(|| deadline, future).await
}

/// Runs a future until it completes or the deadline passes, which may become earlier meanwhile. A
/// change is noticed after [`CHECK_INTERVAL`] at the latest.
pub(crate) async fn timeout_when<T>(
    deadline: impl Fn() -> Moment,
    future: impl Future<Output = T>,
) -> Result<T, Elapsed> {
    let expiry = async {
        loop {
            let left = deadline().since(now());
            if left.is_zero() {
                return;
            }
            sleep(left.min(CHECK_INTERVAL)).await;
        }
    };
    match select(std::pin::pin!(future), std::pin::pin!(expiry)).await {
        Either::Left((value, _)) => Ok(value),
        Either::Right(_) => Err(Elapsed),
    }
}
