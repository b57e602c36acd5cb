//! An estimate of the store's clock.
//!
//! Every response of the store carries its time. All nodes share this clock,
//! so a fact that is known to have held at some store time can be dated by
//! any node on its own clock, no matter how late it arrives.
//!
//! The estimate is an upper bound of what the store's clock shows. If the
//! bound were too low, revoked keys would stay valid and leases would be used
//! past their end. A reading that the store contradicts by showing a later
//! time is discarded. Until then the bound is too low by as much as the two
//! clocks jumped apart since the reading. Readings are used for a limited
//! time only, so the errors of several jumps do not accumulate.

#[cfg(test)]
pub(crate) mod tests;

use std::cell::{Cell, RefCell};
use std::time::Duration;

use sailtrack_kernel::Service;
use sailtrack_log::{catalogue, emit};
use sailtrack_units::{Era, Moment};

/// Maximum error of a time reported by the store, which reports hundredths of a second.
const RESOLUTION: Duration = Duration::from_millis(20);
/// Assumed maximum drift between the two clocks, as a fraction of the elapsed time: 5,000 ppm,
/// which a virtual machine reaches while it catches up on lost time, plus a margin.
pub(crate) const MAX_DRIFT: f64 = 6e-3;
/// Assumed maximum size of a single clock jump.
const MAX_JUMP: Duration = Duration::from_millis(50);

/// Maximum amount by which the bound may be too low. It covers one jump within twice
/// [`MAX_READING_AGE`]: a reading is used that long by the node that took it, and as long again by
/// a peer that received it.
pub(crate) const MAX_ERROR: Duration = MAX_JUMP;

/// Age at which a reading is no longer used if a younger one exists.
const MAX_READING_AGE: Duration = Duration::from_secs(10);
/// Age of the last immediate reading after which a node that watches the store reads again.
const REFRESH_INTERVAL: Duration = Duration::from_secs(5);
/// Longest round trip of a call that still gives a close bound.
const MAX_ROUND_TRIP: Duration = Duration::from_millis(500);

/// A time as shown by the store's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct StoreTime(pub Duration);

impl StoreTime {
    /// Creates a store time from milliseconds.
    #[must_use]
    pub fn from_millis(millis: u64) -> Self {
        Self(Duration::from_millis(millis))
    }

    /// Returns the time in whole milliseconds.
    #[must_use]
    pub fn millis(self) -> u64 {
        u64::try_from(self.0.as_millis()).unwrap_or(u64::MAX)
    }
}

/// Where a reading comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Source {
    /// An immediate response of the store.
    Store,
    /// A response of the store to a slow call or a long poll.
    SlowStore,
    /// A peer that read the store's clock.
    Peer,
    /// A reading that later information contradicts; any other reading replaces it.
    Contradicted,
}

/// One reading: at the local time `at` the store's clock showed no more than `bound`.
#[derive(Debug, Clone, Copy)]
struct Reading {
    at: Moment,
    bound: StoreTime,
    source: Source,
}

impl Reading {
    /// Returns an upper bound of the store's clock at a later local time.
    fn upper_bound(&self, now: Moment) -> StoreTime {
        let passed = now.since(self.at);
        StoreTime(self.bound.0 + passed + passed.mul_f64(MAX_DRIFT))
    }

    fn is_fresh(&self, now: Moment) -> bool {
        now.since(self.at) < MAX_READING_AGE
    }

    /// Returns true if `other` is at least as recent and its bound at least as close.
    fn is_superseded_by(&self, other: &Self) -> bool {
        self.source == Source::Contradicted
            || other.at >= self.at && other.bound <= self.upper_bound(other.at)
    }
}

/// Estimates the store's clock and tracks the store's era.
///
/// It keeps each reading that gives the closest bound now, or will once closer readings expire.
#[derive(Default)]
pub(crate) struct Clock {
    era: Cell<Era>,
    /// When this node first learned an era.
    first_era_seen_at: Cell<Option<Moment>>,
    /// When this node last learned that the store was restored from a backup.
    restored_at: Cell<Option<Moment>>,
    readings: RefCell<Vec<Reading>>,
    restore_callbacks: RefCell<Vec<Box<dyn Fn()>>>,
}

impl Service for Clock {
    const NAME: &'static str = "store-clock";
}

/// Eras: the store begins a new one whenever it is restored from a backup.
impl Clock {
    /// Records an era reported by the store or a peer; returns false if a later era is known.
    ///
    /// A new era discards all readings, since the store's clock may have gone back.
    pub(crate) fn observe_era(&self, era: Era, now: Moment) -> bool {
        let known = self.era.get();
        if era <= known {
            return era == known;
        }
        let is_first = known == Era::default() && self.readings.borrow().is_empty();
        self.era.set(era);
        self.readings.borrow_mut().clear();
        if is_first {
            self.first_era_seen_at.set(Some(now));
        } else {
            self.restored_at.set(Some(now));
            emit(&catalogue::STORE_COPIED, &[("era", &era)]);
            for callback in self.restore_callbacks.borrow().iter() {
                callback();
            }
        }
        true
    }

    /// Registers a callback that runs whenever the store was restored from a backup.
    pub(crate) fn on_restore(&self, callback: impl Fn() + 'static) {
        self.restore_callbacks.borrow_mut().push(Box::new(callback));
    }

    /// Returns the latest known era; zero if the store reports none.
    pub(crate) fn era(&self) -> Era {
        self.era.get()
    }

    /// Returns when this node first learned an era.
    pub(crate) fn first_era_seen_at(&self) -> Option<Moment> {
        self.first_era_seen_at.get()
    }

    /// Returns when this node last learned that the store was restored from a backup.
    pub(crate) fn restored_at(&self) -> Option<Moment> {
        self.restored_at.get()
    }
}

/// Readings of the current era.
impl Clock {
    /// Records a time reported by the store in response to a call, with the local times of the
    /// request and the response.
    ///
    /// The store's clock showed at most `reported` when the request was sent, and at least
    /// `reported` when the response arrived.
    pub(crate) fn record(&self, requested: Moment, answered: Moment, reported: StoreTime) {
        let mut readings = self.readings.borrow_mut();
        readings.retain(|reading| reading.upper_bound(answered) >= reported);
        drop(readings);
        let source = if answered.since(requested) <= MAX_ROUND_TRIP {
            Source::Store
        } else {
            Source::SlowStore
        };
        self.insert(Reading {
            at: requested,
            bound: StoreTime(reported.0 + RESOLUTION),
            source,
        });
    }

    /// Records an upper bound that a peer reported for the local time `at`.
    pub(crate) fn record_peer_bound(&self, at: Moment, bound: StoreTime) {
        self.insert(Reading {
            at,
            bound,
            source: Source::Peer,
        });
    }

    /// Records a time that the store's clock has already shown, according to a peer.
    ///
    /// A reading whose bound is lower is marked as contradicted, so that the next reading replaces
    /// it. Its bound is raised if the difference is at most one jump. It is not raised further,
    /// because the transit time of the message is unknown.
    pub(crate) fn record_observed_time(&self, now: Moment, shown: StoreTime) {
        let highest = StoreTime(shown.0 + RESOLUTION);
        for reading in self.readings.borrow_mut().iter_mut() {
            let bound = reading.upper_bound(now);
            if bound >= shown {
                continue;
            }
            reading.source = Source::Contradicted;
            if bound.0 + MAX_JUMP + RESOLUTION >= shown.0 {
                (reading.at, reading.bound) = (now, highest);
            }
        }
    }

    fn insert(&self, new: Reading) {
        let mut readings = self.readings.borrow_mut();
        readings.retain(|known| known.is_fresh(new.at) && !known.is_superseded_by(&new));
        if !readings.iter().any(|known| new.is_superseded_by(known)) {
            readings.push(new);
        }
    }

    /// Returns true if there is no usable reading, so that a peer should be asked for one.
    pub(crate) fn is_stale(&self, now: Moment) -> bool {
        let readings = self.readings.borrow();
        let is_valid = |reading: &Reading| reading.source != Source::Contradicted;
        !readings
            .iter()
            .any(|reading| is_valid(reading) && reading.is_fresh(now))
    }

    /// Returns true if a node that reaches the store should read its clock with an immediate call.
    pub(crate) fn needs_refresh(&self, now: Moment) -> bool {
        let readings = self.readings.borrow();
        let mut immediate = readings
            .iter()
            .filter(|reading| reading.source == Source::Store);
        immediate.all(|reading| now.since(reading.at) >= REFRESH_INTERVAL)
    }

    /// Returns an upper bound of what the store's clock shows; `None` without any reading.
    pub(crate) fn upper_bound(&self, now: Moment) -> Option<StoreTime> {
        let readings = self.readings.borrow();
        let fresh = readings.iter().filter(|reading| reading.is_fresh(now));
        let closest = fresh.map(|reading| reading.upper_bound(now)).min();
        let latest = || readings.iter().max_by_key(|reading| reading.at);
        closest.or_else(|| latest().map(|reading| reading.upper_bound(now)))
    }

    /// Returns the bound to send to peers.
    ///
    /// It is derived only from recent responses of the store to this node. Otherwise peers would
    /// pass the same reading to each other forever and never replace it.
    pub(crate) fn published_bound(&self, now: Moment) -> Option<StoreTime> {
        let readings = self.readings.borrow();
        let is_own =
            |reading: &&Reading| matches!(reading.source, Source::Store | Source::SlowStore);
        let own = readings.iter().filter(is_own);
        let fresh = own.filter(|reading| reading.is_fresh(now));
        fresh.map(|reading| reading.upper_bound(now)).min()
    }

    /// Returns an upper bound of the time since the store's clock showed `then`; `None` if there is
    /// no reading or if `then` is ahead of the bound by more than a jump.
    pub(crate) fn max_age(&self, then: StoreTime, now: Moment) -> Option<Duration> {
        let bound = self.upper_bound(now)?.0;
        let is_known = bound + MAX_JUMP + RESOLUTION >= then.0;
        is_known.then(|| bound.saturating_sub(then.0))
    }
}
