//! Until when a node may use its lease.

#[cfg(test)]
mod tests;

use sailtrack_quota::{LEASE_DURATION, Lease};
use sailtrack_units::{Era, Moment};

use crate::store::{CLOCK_ERROR, Clock, StoreTime};

/// The end of a lease.
#[derive(Debug, Clone, Copy)]
pub(super) struct Expiry {
    /// By the store's clock,
    until: StoreTime,
    /// in this era,
    era: Era,
    /// and by the own one, should that of the store begin anew.
    until_here: Moment,
}

impl Expiry {
    /// Returns the end of a lease that was asked for at this moment.
    pub(super) fn new(lease: &Lease, asked: Moment) -> Self {
        Self {
            until: StoreTime::from_millis(lease.until_ms),
            era: Era(lease.era),
            until_here: asked + LEASE_DURATION,
        }
    }

    /// Returns true while the lease surely holds, also if the bound on the store's clock is as much
    /// too low as it may be: another node takes the lease once the store shows its end.
    pub(super) fn is_ahead(&self, clock: &Clock, now: Moment) -> bool {
        if now + CLOCK_ERROR >= self.until_here {
            return false;
        }
        // After a copy nobody takes the lease before its time is over by any clock.
        if clock.era() != self.era {
            return true;
        }
        let at_most = clock.upper_bound(now);
        let is_ahead = |at_most: StoreTime| at_most.0 + CLOCK_ERROR < self.until.0;
        at_most.is_some_and(is_ahead)
    }
}
