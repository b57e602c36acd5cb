//! What a node has learned about one other node from the answers to its requests.

#[cfg(test)]
mod tests;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use sailtrack_admission::Pressure;
use sailtrack_placement::{Average, Candidate, Latencies, LoadReport, PaceReport, Sample, Speed};
use sailtrack_units::{Class, Importance, KindName, Pace};
use sailtrack_wire::{Outcome, Reason};

use crate::request::Response;

/// The weight of the newest answer in the share of failures.
const NEWEST_WEIGHT: f64 = 0.1;
/// After this time without requests half of the failures count.
const FAILING_HALF_LIFE: Duration = Duration::from_secs(1);
/// This many failures in a row keep requests away from a node.
const FAILURES_TO_EJECT: u32 = 5;
/// For how long they do the first time; each further time doubles it.
const FIRST_EJECTION: Duration = Duration::from_millis(300);
/// How often it doubles at most.
const MOST_DOUBLINGS: u32 = 4;

/// How full the nodes of a service and side are together, for each importance.
#[derive(Debug, Default)]
pub(crate) struct Levels([Average; Importance::ALL.len()]);

impl Levels {
    /// Returns how full they are for requests of a class.
    pub(crate) fn at(&self, now: Instant, class: Class) -> f64 {
        self.of(class).at(now)
    }

    /// Returns the level for a class; before any is known, that which all nodes tell.
    fn of(&self, class: Class) -> Average {
        let own = self.0[class.workspace as usize];
        if own.is_known() {
            own
        } else {
            self.0[Importance::Normal as usize]
        }
    }
}

/// What a node has learned about one other node.
#[derive(Debug, Default)]
pub(crate) struct PeerLoad {
    /// Requests sent and not answered yet.
    pub(crate) outstanding: u32,
    /// What it told last, for each importance: what matters less gives way and does not count.
    news: [LoadReport; Importance::ALL.len()],
    pace: PaceReport,
    /// How full the nodes of its service and side are together.
    levels: Rc<RefCell<Levels>>,
    speed: Speed,
    /// The share of requests that failed lately,
    failing: f64,
    /// and when that was last seen.
    failed_at: Option<Instant>,
    failures: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
}

impl PeerLoad {
    /// Returns what is known at first of a node whose service and side are this full.
    pub(crate) fn with_levels(levels: &Rc<RefCell<Levels>>) -> Self {
        Self {
            levels: Rc::clone(levels),
            ..Self::default()
        }
    }

    /// Notes how full the node says that it is, and the pace of its instance.
    pub(crate) fn record_report(&mut self, now: Instant, percent: u32, pace: Option<Pace>) {
        let pressure = Pressure::from_percent(percent);
        self.note_news(now, Importance::Normal.into(), pressure, pace);
    }

    fn note_news(&mut self, now: Instant, class: Class, pressure: Pressure, pace: Option<Pace>) {
        let importance = class.workspace as usize;
        self.news[importance].record(now, pressure, self.outstanding);
        self.levels.borrow_mut().0[importance].record(now, pressure.0);
        if let Some(pace) = pace {
            self.pace.record(now, pace);
        }
    }

    /// Notes what became of a request of a class; returns for how long the node is left out if
    /// that begins with it.
    pub(crate) fn note(
        &mut self,
        now: Instant,
        class: Class,
        returned: &Response,
    ) -> Option<Duration> {
        if returned.reason != Reason::Connection {
            // Where the connection broke nothing was told.
            self.note_news(now, class, returned.pressure, returned.pace);
        }
        let failed = is_failure(returned);
        let before = self.failing(now);
        self.failing = before + (f64::from(u8::from(failed)) - before) * NEWEST_WEIGHT;
        self.failed_at = Some(now);
        if returned.reason == Reason::UpstreamShed {
            // The next request may be let in; without any the service would be gone.
            return None;
        }
        if failed {
            return self.note_failure(now);
        }
        if returned.outcome == Outcome::Done {
            self.failures = 0;
            self.ejections = 0;
            self.ejected_until = None;
        }
        None
    }

    /// Learns from how long a request took; one that ended without an answer would have taken
    /// longer.
    pub(crate) fn note_time(
        &mut self,
        now: Instant,
        times: &mut Latencies,
        (class, kind): (Class, &KindName),
        time: Duration,
        returned: Option<&Response>,
    ) {
        let told = returned.and_then(|returned| returned.pace);
        let level = || self.levels.borrow().at(now, class);
        let pressure = returned.map_or_else(level, |returned| returned.pressure.0);
        let sample = Sample {
            time,
            pressure,
            pace: told.map_or_else(|| self.pace.factor(now), Pace::factor),
            is_answered: returned.is_some(),
        };
        times.record(kind, &mut self.speed, now, sample);
    }

    /// Returns what speaks for and against it for a request of a class; its upstream has this many
    /// slots, and is this full if that is known for sure.
    pub(crate) fn candidate(
        &self,
        now: Instant,
        slots: u32,
        class: Class,
        sure: Option<Pressure>,
    ) -> Candidate {
        let told = || {
            let level = self.levels.borrow().of(class);
            let own = &self.news[class.workspace as usize];
            let usual = &self.news[Importance::Normal as usize];
            let news = if own.is_known() { own } else { usual };
            news.pressure(now, self.outstanding, slots, &level)
        };
        Candidate {
            is_available: self.is_available(now),
            pressure: sure.unwrap_or_else(told).0,
            failure_rate: self.failing(now),
            slowness: self.speed.slowness(now) * self.pace.factor(now),
            uncertainty: self.speed.uncertainty(),
        }
    }

    /// Returns true if an answer of it was seen.
    pub(crate) fn is_known(&self) -> bool {
        self.speed.is_known()
    }

    /// Returns how many times as long as the others it takes, and the pace of its instance.
    pub(crate) fn slowness_and_pace(&self, now: Instant) -> (f64, f64) {
        (self.speed.slowness(now), self.pace.factor(now))
    }

    /// Forgets what was learned, as another upstream stands there now.
    pub(crate) fn reset(&mut self) {
        *self = Self {
            outstanding: self.outstanding,
            levels: Rc::clone(&self.levels),
            ..Self::default()
        };
    }

    /// Returns the share of requests that failed lately; without new ones it fades, or a node
    /// that failed once would get nothing by which it could show that it no longer does.
    pub(crate) fn failing(&self, now: Instant) -> f64 {
        let age = self
            .failed_at
            .map_or(Duration::ZERO, |seen| now.saturating_duration_since(seen));
        self.failing * 0.5_f64.powf(age.as_secs_f64() / FAILING_HALF_LIFE.as_secs_f64())
    }

    /// Returns true if a request may be sent; a node that returns gets one at a time.
    pub(crate) fn is_available(&self, now: Instant) -> bool {
        match self.ejected_until {
            None => true,
            Some(until) => now >= until && self.outstanding == 0,
        }
    }

    fn note_failure(&mut self, now: Instant) -> Option<Duration> {
        self.failures += 1;
        if self.failures < FAILURES_TO_EJECT {
            return None;
        }
        let doublings = self.ejections.min(MOST_DOUBLINGS);
        let pause = FIRST_EJECTION * 2u32.pow(doublings);
        self.ejected_until = Some(now + pause);
        self.ejections += 1;
        self.failures = 0;
        Some(pause)
    }
}

/// Returns true if how long a request took tells how quick the upstream is.
pub(crate) fn tells_time(returned: &Response) -> bool {
    returned.is_success() && !returned.failed_below
}

/// Returns true if what became of a request speaks against the node itself, not its load.
fn is_failure(returned: &Response) -> bool {
    match returned.outcome {
        Outcome::Done => returned.status >= 500 && !returned.failed_below,
        Outcome::NotRun => match returned.reason {
            Reason::Overload | Reason::Quarantined | Reason::OnTrial => false,
            _ => !returned.absent_below,
        },
        Outcome::Unknown => true,
    }
}
