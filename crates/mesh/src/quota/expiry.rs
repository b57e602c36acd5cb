//! When a node must stop using its lease.

#[cfg(test)]
mod tests;

use sailtrack_quota::{LEASE_DURATION, Lease};
use sailtrack_units::{Era, Moment};

use crate::store::{CLOCK_ERROR, Clock, StoreTime};

/// The expiry of a lease.
#[derive(Debug, Clone, Copy)]
pub(super) struct Expiry {
    /// By the store's clock
    expires_at: StoreTime,
    /// in this era,
    era: Era,
    /// and by the node's own clock, in case the store's clock restarts.
    expires_locally_at: Moment,
}

impl Expiry {
    /// Returns the expiry of a lease that was requested at this moment.
    pub(super) fn new(lease: &Lease, requested_at: Moment) -> Self {
        Self {
            expires_at: StoreTime::from_millis(lease.until_ms),
            era: Era(lease.era),
            expires_locally_at: requested_at + LEASE_DURATION,
        }
    }

    /// Returns true while the lease is certainly valid, even if the upper bound on the store's
    /// clock is too low by its maximum error: another node may acquire the lease as soon as the
    /// store's clock shows its expiry.
    pub(super) fn is_valid(&self, clock: &Clock, now: Moment) -> bool {
        if now + CLOCK_ERROR >= self.expires_locally_at {
            return false;
        }
        // After the store was restored from a backup, no node acquires the lease before it has
        // expired by every clock.
        if clock.era() != self.era {
            return true;
        }
        let upper_bound = clock.upper_bound(now);
        let is_before_expiry =
            |upper_bound: StoreTime| upper_bound.0 + CLOCK_ERROR < self.expires_at.0;
        upper_bound.is_some_and(is_before_expiry)
    }
}
