//! Bounds the staleness of this node's configuration.
//!
//! A revoked key may be accepted for a bounded time only, even by a node that is cut off from
//! updates. So a node accepts keys only while it can prove that its configuration was the newest
//! one within that time. Nodes that follow the store learn this with each response, and pass it on
//! as a time of the store's clock.

#[cfg(test)]
mod tests;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use sailtrack_kernel::Service;
use sailtrack_log::{catalogue, emit};
use sailtrack_units::{ConfigVersion, Era, Moment};

use crate::metrics::Metrics;
use crate::store::{CLOCK_DRIFT, CLOCK_ERROR, Clock, StoreTime};

/// Margin below the staleness bound: for the time from the check until the request counts as sent,
/// and for ages that are underestimated because of clock error.
const MARGIN: Duration = CLOCK_ERROR.saturating_add(Duration::from_millis(50));
/// Nodes that follow the store poll at this fraction of the bound, so that a node that is cut off
/// keeps accepting keys for the other three quarters. More polls would cost more store operations.
const POLLS_PER_BOUND: u32 = 4;

/// After the store was restored from a backup, its responses do not prove for this long that a
/// version is the newest: other nodes may have a version that the backup lacks, and report it
/// meanwhile.
const SETTLING_TIME: Duration = Duration::from_millis(500);

/// States that a version was the newest one at a time of the store's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Confirmation {
    version: ConfigVersion,
    as_of: StoreTime,
    era: Era,
}

/// Proves that the version in force was the newest one at some time.
#[derive(Debug, Clone, Copy)]
struct Proof {
    /// That time by the store's clock in an era,
    as_of: StoreTime,
    era: Era,
    /// and by the node's own clock, which continues across eras.
    at: Moment,
}

/// Tracks the staleness of this node's configuration.
pub(crate) struct Freshness {
    clock: Rc<Clock>,
    metrics: Rc<Metrics>,
    /// The highest age at which keys are accepted, if there is a bound.
    bound: Cell<Option<Duration>>,
    /// The latest time at which the version in force was certainly the newest.
    proof: Cell<Option<Proof>>,
    /// The newest version reported by another node.
    newest: Cell<ConfigVersion>,
    /// The latest confirmation of a version that is not in force here yet.
    pending: RefCell<Option<Confirmation>>,
    rejects_keys: Cell<bool>,
}

impl Service for Freshness {
    const NAME: &'static str = "freshness";
}

impl Freshness {
    pub(crate) fn new(clock: Rc<Clock>, metrics: Rc<Metrics>, bound: Option<Duration>) -> Self {
        Self {
            clock,
            metrics,
            bound: Cell::new(bound),
            proof: Cell::default(),
            newest: Cell::default(),
            pending: RefCell::default(),
            rejects_keys: Cell::new(false),
        }
    }

    /// Replaces the bound.
    pub(crate) fn set_bound(&self, bound: Option<Duration>) {
        self.bound.set(bound);
    }

    /// Returns true if there is a staleness bound.
    pub(crate) fn is_bounded(&self) -> bool {
        self.bound.get().is_some()
    }

    /// Returns how long a node that follows the store waits for changes before it polls again, if
    /// there is a bound.
    pub(crate) fn poll_interval(&self, now: Moment) -> Option<Duration> {
        let interval = self.bound.get()? / POLLS_PER_BOUND;
        Some(if self.is_settling(now) || self.is_starting(now) {
            interval.min(SETTLING_TIME)
        } else {
            interval
        })
    }

    /// Returns true while other nodes may still report versions that a restored backup lacks.
    fn is_settling(&self, now: Moment) -> bool {
        let restored_at = self.clock.restored_at();
        restored_at.is_some_and(|restored_at| now.since(restored_at) < SETTLING_TIME)
    }

    /// Returns true while a node that started recently may not have met its peers: the store's data
    /// may come from a backup.
    fn is_starting(&self, now: Moment) -> bool {
        let first_seen = self.clock.first_era_seen_at();
        first_seen.is_some_and(|first_seen| now.since(first_seen) < SETTLING_TIME)
    }

    /// Records that the store had nothing newer than `in_force` at `as_of`; returns true if that is
    /// a newer proof than before.
    pub(crate) fn confirm_by_store(
        &self,
        as_of: StoreTime,
        in_force: ConfigVersion,
        now: Moment,
    ) -> bool {
        !self.is_starting(now) && self.confirm(in_force, as_of, in_force, now)
    }

    /// Records that another node has a version.
    pub(crate) fn observe_version(&self, version: ConfigVersion) {
        self.newest.set(self.newest.get().max(version));
    }

    /// Records that `version` was the newest one at `as_of`, while `in_force` is in force here;
    /// returns true if that is a newer proof than before.
    ///
    /// Any key revoked by then is absent from that version, and a later version does not bring it
    /// back unless an operator adds it again.
    pub(crate) fn confirm(
        &self,
        version: ConfigVersion,
        as_of: StoreTime,
        in_force: ConfigVersion,
        now: Moment,
    ) -> bool {
        self.clock.record_observed_time(now, as_of);
        let era = self.clock.era();
        if version > in_force {
            self.pending.replace(Some(Confirmation {
                version,
                as_of,
                era,
            }));
            return false;
        }
        // The store may have been restored from a backup that lacks a version known to another
        // node.
        let is_behind = era > Era::default() && in_force < self.newest.get();
        if is_behind || self.is_settling(now) {
            return false;
        }
        let upper_bound = self.clock.upper_bound(now);
        let is_future = |time: StoreTime| upper_bound.is_some_and(|upper_bound| time > upper_bound);
        // Until the store's clock has been read in an era, its times cannot be compared; an earlier
        // proof stays valid.
        if is_future(as_of) || upper_bound.is_none() && era > Era::default() {
            return false;
        }
        // If a store without eras restarts its clock, earlier proofs appear to lie in the future.
        let proof = self.proof.get().filter(|proof| proof.era == era);
        let proof = proof.filter(|proof| !is_future(proof.as_of));
        let is_newer = proof.is_none_or(|proof| as_of > proof.as_of);
        if is_newer {
            let age = self.clock.max_age(as_of, now).unwrap_or_default();
            let at = now.before(age);
            self.proof.set(Some(Proof { as_of, era, at }));
        }
        is_newer
    }

    /// Records that a version came into force.
    pub(crate) fn apply_version(&self, in_force: ConfigVersion, now: Moment) {
        let pending = self.pending.take();
        let pending = pending.filter(|pending| pending.era == self.clock.era());
        if let Some(Confirmation { version, as_of, .. }) = pending {
            self.confirm(version, as_of, in_force, now);
        }
    }

    /// Returns the latest time at which the version in force was certainly the newest, by the
    /// store's clock in the current era.
    pub(crate) fn as_of(&self) -> Option<StoreTime> {
        Some(self.current_proof()?.as_of)
    }

    fn current_proof(&self) -> Option<Proof> {
        let is_current = |proof: &Proof| proof.era == self.clock.era();
        self.proof.get().filter(is_current)
    }

    /// Returns the maximum age of the proof.
    ///
    /// A proof from an earlier era remains valid and ages by the node's own clock.
    pub(crate) fn age(&self, now: Moment) -> Option<Duration> {
        if let Some(proof) = self.current_proof() {
            return self.clock.max_age(proof.as_of, now);
        }
        let elapsed = now.since(self.proof.get()?.at);
        Some(elapsed + elapsed.mul_f64(CLOCK_DRIFT))
    }

    /// Returns true if a request with a key that arrives now may run.
    pub(crate) fn is_fresh(&self, now: Moment) -> bool {
        let Some(bound) = self.bound.get() else {
            return true;
        };
        let age = self.age(now);
        let is_fresh = age.is_some_and(|age| age + MARGIN < bound);
        self.record_state(!is_fresh, age);
        is_fresh
    }

    fn record_state(&self, rejects_keys: bool, age: Option<Duration>) {
        if self.rejects_keys.replace(rejects_keys) == rejects_keys {
            return;
        }
        let age_ms = age.map_or(-1, |age| i64::try_from(age.as_millis()).unwrap_or(i64::MAX));
        let entry = if rejects_keys {
            self.metrics.record_keys_outdated();
            &catalogue::KEYS_OUTDATED
        } else {
            &catalogue::KEYS_CURRENT
        };
        emit(entry, &[("age_ms", &age_ms)]);
    }
}
