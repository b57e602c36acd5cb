//! The clock of the store, as far as this node can tell it.
//!
//! The store says its time with each answer. All nodes share it, so what one
//! of them knows to have held at some time of the store any other one can
//! place on its own clock, however late it hears of it.
//!
//! What counts is what the store's clock shows at most: with too low a bound,
//! keys that were taken away run on and leases outlive. A bound is wrong once
//! the store shows more, and gives way. Until that is seen it is too low by
//! as much as the two clocks jumped apart since it was read, and a reading is
//! used for a bounded time only, so older jumps do not add up.

#[cfg(test)]
pub(crate) mod tests;

use std::cell::{Cell, RefCell};
use std::time::Duration;

use sailtrack_kernel::Service;
use sailtrack_log::{catalogue, emit};
use sailtrack_units::{Era, Moment};

/// What the store's clock may be off by in an answer: it is told in hundredths of a second.
const RESOLUTION: Duration = Duration::from_millis(20);
/// How far the two clocks may drift apart, in parts of the time passed: 5,000 in a million, as a
/// virtual machine that catches up on lost time does, and some room.
pub(crate) const DRIFT: f64 = 6e-3;
/// How far the two clocks may jump apart at once.
const JUMP: Duration = Duration::from_millis(50);

/// How much too low the bound may be: by one jump within twice [`OLD`], the longest time for which
/// a reading is used, first by the node that asked the store and then by one that it told.
pub(crate) const ERROR: Duration = JUMP;

/// How long a reading is used if there is another one.
const OLD: Duration = Duration::from_secs(10);
/// A node that follows the store reads its clock again after this time.
const DUE: Duration = Duration::from_secs(5);
/// What took longer from question to answer tells too little of what the clock shows by then.
const QUICK: Duration = Duration::from_millis(500);

/// A time of the store's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct StoreTime(pub Duration);

impl StoreTime {
    /// Returns the time with so many milliseconds.
    #[must_use]
    pub fn from_millis(millis: u64) -> Self {
        Self(Duration::from_millis(millis))
    }

    /// Returns it in whole milliseconds.
    #[must_use]
    pub fn millis(self) -> u64 {
        u64::try_from(self.0.as_millis()).unwrap_or(u64::MAX)
    }
}

/// Where a reading comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Source {
    /// An answer of the store at once.
    Store,
    /// An answer of the store after a while.
    LateStore,
    /// Another node, which asked the store.
    Peer,
    /// A reading that something later contradicts; any other one replaces it.
    Doubtful,
}

/// One reading: at this own moment the store's clock showed at most this.
#[derive(Debug, Clone, Copy)]
struct Reading {
    at: Moment,
    at_most: StoreTime,
    source: Source,
}

impl Reading {
    /// Returns what the store's clock shows at most at a later moment.
    fn at_most(&self, now: Moment) -> StoreTime {
        let passed = now.since(self.at);
        StoreTime(self.at_most.0 + passed + passed.mul_f64(DRIFT))
    }

    fn is_fresh(&self, now: Moment) -> bool {
        now.since(self.at) < OLD
    }

    /// Returns true if it is of no use beside another one, which is later and as close.
    fn is_needless_beside(&self, other: &Self) -> bool {
        self.source == Source::Doubtful
            || other.at >= self.at && other.at_most <= self.at_most(other.at)
    }
}

/// What this node knows of the clock of the store.
///
/// Of the readings it keeps those that are the closest now or once closer ones are old.
#[derive(Default)]
pub(crate) struct Clock {
    era: Cell<Era>,
    /// When this node heard of the first era,
    met: Cell<Option<Moment>>,
    /// and last that the store came back from a copy.
    copied: Cell<Option<Moment>>,
    readings: RefCell<Vec<Reading>>,
    listeners: RefCell<Vec<Box<dyn Fn()>>>,
}

impl Service for Clock {
    const NAME: &'static str = "store-clock";
}

/// The eras of the store.
impl Clock {
    /// Takes in that the store, or another node, told an era; returns false if that is over.
    ///
    /// Readings of the era before say nothing of the clock in this one, which may have gone back.
    pub(crate) fn observe_era(&self, era: Era, now: Moment) -> bool {
        let known = self.era.get();
        if era <= known {
            return era == known;
        }
        let is_first = known == Era::default() && self.readings.borrow().is_empty();
        self.era.set(era);
        self.readings.borrow_mut().clear();
        if is_first {
            self.met.set(Some(now));
        } else {
            self.copied.set(Some(now));
            emit(&catalogue::STORE_COPIED, &[("era", &era)]);
            for copied in self.listeners.borrow().iter() {
                copied();
            }
        }
        true
    }

    /// Calls `copied` whenever the store came back from a copy.
    pub(crate) fn on_restore(&self, copied: impl Fn() + 'static) {
        self.listeners.borrow_mut().push(Box::new(copied));
    }

    /// Returns the latest era that was heard of; zero if the store tells none.
    pub(crate) fn era(&self) -> Era {
        self.era.get()
    }

    /// Returns when this node heard of the first era.
    pub(crate) fn first_era_seen_at(&self) -> Option<Moment> {
        self.met.get()
    }

    /// Returns when this node heard last that the store came back from a copy.
    pub(crate) fn restored_at(&self) -> Option<Moment> {
        self.copied.get()
    }
}

/// The readings of the present era.
impl Clock {
    /// Takes in that the store told this time, asked and answered at these moments.
    ///
    /// Its clock showed at most that when it was asked, and at least that when it had answered.
    pub(crate) fn record(&self, asked: Moment, answered: Moment, told: StoreTime) {
        let mut readings = self.readings.borrow_mut();
        readings.retain(|reading| reading.at_most(answered) >= told);
        drop(readings);
        let source = if answered.since(asked) <= QUICK {
            Source::Store
        } else {
            Source::LateStore
        };
        self.take(Reading {
            at: asked,
            at_most: StoreTime(told.0 + RESOLUTION),
            source,
        });
    }

    /// Takes in from another node that the store's clock showed at most this at that moment.
    pub(crate) fn record_peer_bound(&self, at: Moment, at_most: StoreTime) {
        self.take(Reading {
            at,
            at_most,
            source: Source::Peer,
        });
    }

    /// Takes in from another node that the store's clock has shown this.
    ///
    /// A bound that it contradicts is raised, and replaced by the next reading. By more than a jump
    /// it is not raised: nothing tells how long the message was under way.
    pub(crate) fn record_observed_time(&self, now: Moment, shown: StoreTime) {
        let highest = StoreTime(shown.0 + RESOLUTION);
        for reading in self.readings.borrow_mut().iter_mut() {
            let at_most = reading.at_most(now);
            if at_most >= shown {
                continue;
            }
            reading.source = Source::Doubtful;
            if at_most.0 + JUMP + RESOLUTION >= shown.0 {
                (reading.at, reading.at_most) = (now, highest);
            }
        }
    }

    fn take(&self, new: Reading) {
        let mut readings = self.readings.borrow_mut();
        readings.retain(|known| known.is_fresh(new.at) && !known.is_needless_beside(&new));
        if !readings.iter().any(|known| new.is_needless_beside(known)) {
            readings.push(new);
        }
    }

    /// Returns true if another node is to be asked what the store's clock shows.
    pub(crate) fn is_stale(&self, now: Moment) -> bool {
        let readings = self.readings.borrow();
        let is_sound = |reading: &Reading| reading.source != Source::Doubtful;
        !readings
            .iter()
            .any(|one| is_sound(one) && one.is_fresh(now))
    }

    /// Returns true if a node that reaches the store is to read its clock again, at once.
    pub(crate) fn needs_refresh(&self, now: Moment) -> bool {
        let readings = self.readings.borrow();
        let mut own = readings.iter().filter(|one| one.source == Source::Store);
        own.all(|reading| now.since(reading.at) >= DUE)
    }

    /// Returns what the store's clock shows at most.
    pub(crate) fn upper_bound(&self, now: Moment) -> Option<StoreTime> {
        let readings = self.readings.borrow();
        let fresh = readings.iter().filter(|reading| reading.is_fresh(now));
        let closest = fresh.map(|reading| reading.at_most(now)).min();
        let latest = || readings.iter().max_by_key(|reading| reading.at);
        closest.or_else(|| latest().map(|reading| reading.at_most(now)))
    }

    /// Returns what other nodes are told of it: only what the store itself said lately, so that no
    /// reading goes round among the nodes.
    pub(crate) fn published_bound(&self, now: Moment) -> Option<StoreTime> {
        let readings = self.readings.borrow();
        let is_own = |one: &&Reading| matches!(one.source, Source::Store | Source::LateStore);
        let own = readings.iter().filter(is_own);
        let fresh = own.filter(|reading| reading.is_fresh(now));
        fresh.map(|reading| reading.at_most(now)).min()
    }

    /// Returns the least time that has passed since the store's clock showed `then`; what cannot
    /// be told, or lies ahead by more than a jump, is nothing.
    pub(crate) fn max_age(&self, then: StoreTime, now: Moment) -> Option<Duration> {
        let at_most = self.upper_bound(now)?.0;
        let is_known = at_most + JUMP + RESOLUTION >= then.0;
        is_known.then(|| at_most.saturating_sub(then.0))
    }
}
