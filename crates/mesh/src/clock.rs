//! The clock that goes on while the instance is suspended, in one place.
//!
//! What others share or the outside world ages is measured by it: the time
//! that a caller still waits, signs of life of other nodes, the window of
//! repeats, connections that the other side may have closed, verdicts. What
//! only this process does, such as pauses and averages, keeps to the clock of
//! the runtime, which stands still meanwhile.

#[cfg(test)]
pub(crate) mod tests;

use std::time::Duration;

use displaydoc::Display;
use futures::future::{Either, select};
use monoio::time::sleep;
use sailtrack_units::Moment;

/// How often a deadline is looked at: timers stand still while the instance is suspended, and this
/// long after it goes on a request whose time ran out meanwhile is given up.
const LOOK: Duration = Duration::from_millis(500);

/// An answer may have come while the node itself stood still; it is read in this time.
pub(crate) const READ_GRACE: Duration = Duration::from_millis(5);

/// the time is over
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(crate) struct Elapsed;

impl std::error::Error for Elapsed {}

/// Returns the present moment.
#[cfg(not(test))]
pub(crate) fn now() -> Moment {
    Moment::now()
}

#[cfg(test)]
pub(crate) use tests::{now, suspend};

/// Waits for a future until a deadline.
pub(crate) async fn timeout_at<T>(
    deadline: Moment,
    future: impl Future<Output = T>,
) -> Result<T, Elapsed> {
    let expiry = async {
        loop {
            let left = deadline.since(now());
            if left.is_zero() {
                return;
            }
            sleep(left.min(LOOK)).await;
        }
    };
    match select(std::pin::pin!(future), std::pin::pin!(expiry)).await {
        Either::Left((value, _)) => Ok(value),
        Either::Right(_) => Err(Elapsed),
    }
}
