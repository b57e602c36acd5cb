//! How old is what this node knows of the configuration.
//!
//! A key that was taken away may run for a bounded time only, also at a node
//! that cannot hear of it. So a node lets requests with keys in for as long
//! as it knows that the configuration in force was the newest one that long
//! ago. Nodes that follow the store learn it with each answer, and tell the
//! others by the store's own clock.

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

/// What is kept back of the allowed age: for the time between the look at it and the moment at
/// which the request counts as sent, and for an age that looks too young by the error of the clock.
const RESERVE: Duration = CLOCK_ERROR.saturating_add(Duration::from_millis(50));
/// Followers of the store ask again after this part of the allowed age, so that a node that is cut
/// off goes on for the other three quarters. More parts would mean more calls to the store.
const RENEWALS: u32 = 4;

/// For how long after the store came back from a copy nothing that it says proves that a version is
/// the newest: other nodes may have one that the copy lacks, and say so meanwhile.
const SETTLE: Duration = Duration::from_millis(500);

/// That a version was the newest one at some time of the store's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Confirmation {
    version: ConfigVersion,
    as_of: StoreTime,
    era: Era,
}

/// That the version in force was the newest one at some time.
#[derive(Debug, Clone, Copy)]
struct Proof {
    /// That time by the store's clock of an era,
    as_of: StoreTime,
    era: Era,
    /// and by the own one, which goes on when the store has another clock.
    at: Moment,
}

/// How old is what this node knows of the configuration.
pub(crate) struct Freshness {
    clock: Rc<Clock>,
    metrics: Rc<Metrics>,
    /// The greatest age at which keys are still believed, if there is one.
    bound: Cell<Option<Duration>>,
    /// The latest time at which the version in force was surely the newest.
    proof: Cell<Option<Proof>>,
    /// The newest version that another node has said to have.
    newest: Cell<ConfigVersion>,
    /// What was said of versions that are not in force here yet.
    ahead: RefCell<Option<Confirmation>>,
    is_stopped: Cell<bool>,
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
            ahead: RefCell::default(),
            is_stopped: Cell::new(false),
        }
    }

    /// Puts another bound into force.
    pub(crate) fn set_bound(&self, bound: Option<Duration>) {
        self.bound.set(bound);
    }

    /// Returns true if keys are believed for a bounded time only.
    pub(crate) fn is_bounded(&self) -> bool {
        self.bound.get().is_some()
    }

    /// Returns how long a follower of the store waits for changes, if it has to ask again soon.
    pub(crate) fn poll_interval(&self, now: Moment) -> Option<Duration> {
        let renewal = self.bound.get()? / RENEWALS;
        Some(if self.is_settling(now) || self.is_new(now) {
            renewal.min(SETTLE)
        } else {
            renewal
        })
    }

    /// Returns true while other nodes are given time to tell of versions that a copy lacks.
    fn is_settling(&self, now: Moment) -> bool {
        let copied = self.clock.restored_at();
        copied.is_some_and(|copied| now.since(copied) < SETTLE)
    }

    /// Returns true while a node that starts has had little time to meet others: what it reads may be
    /// from a copy.
    fn is_new(&self, now: Moment) -> bool {
        let met = self.clock.first_era_seen_at();
        met.is_some_and(|met| now.since(met) < SETTLE)
    }

    /// Takes in that the store had nothing newer than `in_force` at `as_of`.
    pub(crate) fn confirm_by_store(
        &self,
        as_of: StoreTime,
        in_force: ConfigVersion,
        now: Moment,
    ) -> bool {
        !self.is_new(now) && self.confirm(in_force, as_of, in_force, now)
    }

    /// Takes in that another node has a version.
    pub(crate) fn observe_version(&self, version: ConfigVersion) {
        self.newest.set(self.newest.get().max(version));
    }

    /// Takes in that `version` was the newest at `as_of`, while `in_force` is in force here.
    ///
    /// Whatever was taken away by then stands in that version; a later one does not bring it back
    /// unasked.
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
            self.ahead.replace(Some(Confirmation {
                version,
                as_of,
                era,
            }));
            return false;
        }
        // The store may have come back from a copy that lacks a version which another node has.
        let is_behind = era > Era::default() && in_force < self.newest.get();
        if is_behind || self.is_settling(now) {
            return false;
        }
        let at_most = self.clock.upper_bound(now);
        let is_ahead = |time: StoreTime| at_most.is_some_and(|at_most| time > at_most);
        // Before the first reading of an era its times say nothing, and what was proved before holds.
        if is_ahead(as_of) || at_most.is_none() && era > Era::default() {
            return false;
        }
        // A store that tells no era and begins anew makes what was told before lie ahead.
        let known = self.proof.get().filter(|known| known.era == era);
        let known = known.filter(|known| !is_ahead(known.as_of));
        let is_news = known.is_none_or(|known| as_of > known.as_of);
        if is_news {
            let age = self.clock.max_age(as_of, now).unwrap_or_default();
            let at = now.before(age);
            self.proof.set(Some(Proof { as_of, era, at }));
        }
        is_news
    }

    /// Takes in that a version came into force.
    pub(crate) fn apply_version(&self, in_force: ConfigVersion, now: Moment) {
        let ahead = self.ahead.take();
        let ahead = ahead.filter(|ahead| ahead.era == self.clock.era());
        if let Some(Confirmation { version, as_of, .. }) = ahead {
            self.confirm(version, as_of, in_force, now);
        }
    }

    /// Returns the latest time at which the version in force was surely the newest, by the store's
    /// clock of this era.
    pub(crate) fn as_of(&self) -> Option<StoreTime> {
        Some(self.known()?.as_of)
    }

    fn known(&self) -> Option<Proof> {
        let is_of_era = |proof: &Proof| proof.era == self.clock.era();
        self.proof.get().filter(is_of_era)
    }

    /// Returns how old at most that is.
    ///
    /// A proof of an earlier era still says what was the newest then, and ages by the own clock.
    pub(crate) fn age(&self, now: Moment) -> Option<Duration> {
        if let Some(known) = self.known() {
            return self.clock.max_age(known.as_of, now);
        }
        let passed = now.since(self.proof.get()?.at);
        Some(passed + passed.mul_f64(CLOCK_DRIFT))
    }

    /// Returns true if a request with a key that came now may run.
    pub(crate) fn is_fresh(&self, now: Moment) -> bool {
        let Some(bound) = self.bound.get() else {
            return true;
        };
        let age = self.age(now);
        let is_fresh = age.is_some_and(|age| age + RESERVE < bound);
        self.note(!is_fresh, age);
        is_fresh
    }

    fn note(&self, is_stopped: bool, age: Option<Duration>) {
        if self.is_stopped.replace(is_stopped) == is_stopped {
            return;
        }
        let age_ms = age.map_or(-1, |age| i64::try_from(age.as_millis()).unwrap_or(i64::MAX));
        let entry = if is_stopped {
            self.metrics.record_keys_outdated();
            &catalogue::KEYS_OUTDATED
        } else {
            &catalogue::KEYS_CURRENT
        };
        emit(entry, &[("age_ms", &age_ms)]);
    }
}
