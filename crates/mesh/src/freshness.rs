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
use sailtrack_units::{ConfigVersion, Moment};

use crate::metrics::Metrics;
use crate::store::{CLOCK_ERROR, Clock, StoreTime};

/// What is kept back of the allowed age: for the time between the look at it and the moment at
/// which the request counts as sent, and for an age that looks too young by the error of the clock.
const RESERVE: Duration = CLOCK_ERROR.saturating_add(Duration::from_millis(50));
/// Followers of the store ask again after this part of the allowed age, so that a node that is cut
/// off goes on for the other three quarters. Nine followers make 7 calls a second at 5 s, 0.003 of
/// what a deployment with 2,100 requests a second earns.
const RENEWALS: u32 = 4;

/// That a version was the newest one at some time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Confirmation {
    version: ConfigVersion,
    as_of: StoreTime,
}

/// How old is what this node knows of the configuration.
pub(crate) struct Freshness {
    clock: Rc<Clock>,
    metrics: Rc<Metrics>,
    /// The greatest age at which keys are still believed, if there is one.
    bound: Cell<Option<Duration>>,
    /// The latest time at which the version in force was surely the newest.
    as_of: Cell<Option<StoreTime>>,
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
            as_of: Cell::default(),
            ahead: RefCell::default(),
            is_stopped: Cell::new(false),
        }
    }

    /// Puts another bound into force.
    pub(crate) fn set_bound(&self, bound: Option<Duration>) {
        self.bound.set(bound);
    }

    /// Returns true if keys are believed for a bounded time only.
    pub(crate) fn is_wanted(&self) -> bool {
        self.bound.get().is_some()
    }

    /// Returns how long a follower of the store waits for changes, if it has to ask again soon.
    pub(crate) fn renewal(&self) -> Option<Duration> {
        self.bound.get().map(|bound| bound / RENEWALS)
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
        self.clock.note_shown(now, as_of);
        if version > in_force {
            self.ahead.replace(Some(Confirmation { version, as_of }));
            return false;
        }
        // A store that begins anew, with an earlier time, makes what was told before lie ahead.
        let at_most = self.clock.at_most(now);
        let is_ahead = |time: StoreTime| at_most.is_some_and(|at_most| time > at_most);
        let known = self.as_of.get().filter(|known| !is_ahead(*known));
        let is_news = !is_ahead(as_of) && known.is_none_or(|known| as_of > known);
        if is_news {
            self.as_of.set(Some(as_of));
        }
        is_news
    }

    /// Takes in that a version came into force.
    pub(crate) fn note_version(&self, in_force: ConfigVersion, now: Moment) {
        let ahead = self.ahead.take();
        if let Some(Confirmation { version, as_of }) = ahead {
            self.confirm(version, as_of, in_force, now);
        }
    }

    /// Returns the latest time at which the version in force was surely the newest.
    pub(crate) fn as_of(&self) -> Option<StoreTime> {
        self.as_of.get()
    }

    /// Returns how old at most that is.
    pub(crate) fn age(&self, now: Moment) -> Option<Duration> {
        self.clock.age_at_most(self.as_of.get()?, now)
    }

    /// Returns true if a request with a key that came now may run.
    pub(crate) fn is_enough(&self, now: Moment) -> bool {
        let Some(bound) = self.bound.get() else {
            return true;
        };
        let age = self.age(now);
        let is_enough = age.is_some_and(|age| age + RESERVE < bound);
        self.note(!is_enough, age);
        is_enough
    }

    fn note(&self, is_stopped: bool, age: Option<Duration>) {
        if self.is_stopped.replace(is_stopped) == is_stopped {
            return;
        }
        let age_ms = age.map_or(-1, |age| i64::try_from(age.as_millis()).unwrap_or(i64::MAX));
        let entry = if is_stopped {
            self.metrics.note_keys_outdated();
            &catalogue::KEYS_OUTDATED
        } else {
            &catalogue::KEYS_CURRENT
        };
        emit(entry, &[("age_ms", &age_ms)]);
    }
}
