//! Load, latency and failure statistics of another node, measured by this one.

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

/// The weight of the latest response in the failure rate, an exponential moving average.
const FAILURE_RATE_WEIGHT: f64 = 0.1;
/// The failure rate halves after this time without responses.
const FAILURE_RATE_HALF_LIFE: Duration = Duration::from_secs(1);
/// This many consecutive failures eject a node.
const EJECTION_THRESHOLD: u32 = 5;
/// The duration of the first ejection; each further one doubles it.
const FIRST_EJECTION: Duration = Duration::from_millis(300);
/// The most times the duration doubles.
const MAX_EJECTION_DOUBLINGS: u32 = 4;

/// The longest time until a turn that is believed, whatever the node says.
const MAX_TURN: Duration = Duration::from_secs(5);

/// The average pressure of a group of nodes that serve one service, by importance.
#[derive(Debug, Default)]
pub(crate) struct Levels([Average; Importance::ALL.len()]);

impl Levels {
    /// Returns the pressure for requests of a class.
    pub(crate) fn at(&self, now: Instant, class: Class) -> f64 {
        self.of(class).at(now)
    }

    /// Returns the average for a class; until there is one, that for normal importance, which all
    /// nodes report.
    fn of(&self, class: Class) -> Average {
        let own = self.0[class.workspace as usize];
        if own.is_known() {
            own
        } else {
            self.0[Importance::Normal as usize]
        }
    }
}

/// Load, latency and failure statistics of another node.
#[derive(Debug, Default)]
pub(crate) struct PeerLoad {
    /// Requests sent and not answered yet.
    pub(crate) outstanding: u32,
    /// The latest load reports by importance: less important requests yield to others in the queue
    /// and do not count for them.
    reports: [LoadReport; Importance::ALL.len()],
    pace: PaceReport,
    /// The average pressure of the nodes of its group.
    levels: Rc<RefCell<Levels>>,
    speed: Speed,
    /// The moving average of failures
    failure_rate: f64,
    /// and the time of its last update.
    failure_rate_at: Option<Instant>,
    consecutive_failures: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
    /// The next turn of this node under the rate limit of the upstream.
    next_turn: Option<Instant>,
}

impl PeerLoad {
    /// Creates the statistics of a node whose group has these average pressures.
    pub(crate) fn with_levels(levels: &Rc<RefCell<Levels>>) -> Self {
        Self {
            levels: Rc::clone(levels),
            ..Self::default()
        }
    }

    /// Records the pressure and pace that the node reports.
    pub(crate) fn record_report(&mut self, now: Instant, percent: u32, pace: Option<Pace>) {
        let pressure = Pressure::from_percent(percent);
        self.record_pressure(now, Importance::Normal.into(), pressure, pace);
    }

    fn record_pressure(
        &mut self,
        now: Instant,
        class: Class,
        pressure: Pressure,
        pace: Option<Pace>,
    ) {
        let importance = class.workspace as usize;
        self.reports[importance].record(now, pressure, self.outstanding);
        self.levels.borrow_mut().0[importance].record(now, pressure.0);
        if let Some(pace) = pace {
            self.pace.record(now, pace);
        }
    }

    /// Records the result of a request; returns the duration of the ejection that starts with it,
    /// if any.
    pub(crate) fn record(
        &mut self,
        now: Instant,
        class: Class,
        response: &Response,
    ) -> Option<Duration> {
        if let Some(turn) = response.turn {
            self.next_turn = Some(now + turn.min(MAX_TURN));
        }
        if response.reason != Reason::Connection {
            // A broken connection carries no load report.
            self.record_pressure(now, class, response.pressure, response.pace);
        }
        let failed = is_failure(response);
        let before = self.failure_rate(now);
        self.failure_rate = before + (f64::from(u8::from(failed)) - before) * FAILURE_RATE_WEIGHT;
        self.failure_rate_at = Some(now);
        if response.reason == Reason::UpstreamShed {
            // The next request may be accepted; ejecting nodes that shed load could leave the
            // service without any.
            return None;
        }
        if failed {
            return self.record_failure(now);
        }
        if response.outcome == Outcome::Done {
            self.consecutive_failures = 0;
            self.ejections = 0;
            self.ejected_until = None;
        }
        None
    }

    /// Records the latency of a request; for one that ended without a response it is a lower bound.
    pub(crate) fn record_latency(
        &mut self,
        now: Instant,
        latencies: &mut Latencies,
        (class, kind): (Class, &KindName),
        time: Duration,
        response: Option<&Response>,
    ) {
        let reported = response.and_then(|response| response.pace);
        let level = || self.levels.borrow().at(now, class);
        let pressure = response.map_or_else(level, |response| response.pressure.0);
        let sample = Sample {
            time,
            pressure,
            pace: reported.map_or_else(|| self.pace.factor(now), Pace::factor),
            is_answered: response.is_some(),
        };
        latencies.record(kind, &mut self.speed, now, sample);
    }

    /// Returns the properties by which the node is compared with others for a request of a class.
    /// `slots` are those of its upstream; `known_pressure` is its pressure if that is known exactly.
    pub(crate) fn candidate(
        &self,
        now: Instant,
        slots: u32,
        class: Class,
        known_pressure: Option<Pressure>,
    ) -> Candidate {
        let reported = || {
            let level = self.levels.borrow().of(class);
            let own = &self.reports[class.workspace as usize];
            let usual = &self.reports[Importance::Normal as usize];
            let report = if own.is_known() { own } else { usual };
            report.pressure(now, self.outstanding, slots, &level)
        };
        Candidate {
            is_available: self.is_available(now),
            pressure: known_pressure.unwrap_or_else(reported).0,
            failure_rate: self.failure_rate(now),
            slowness: self.speed.slowness(now) * self.pace.factor(now),
            uncertainty: self.speed.uncertainty(),
        }
    }

    /// Returns true if the latency of the node has been measured.
    pub(crate) fn is_known(&self) -> bool {
        self.speed.is_known()
    }

    /// Returns the slowness relative to the other nodes of the service, and the pace of the
    /// instance.
    pub(crate) fn slowness_and_pace(&self, now: Instant) -> (f64, f64) {
        (self.speed.slowness(now), self.pace.factor(now))
    }

    /// Discards the statistics because the node has a new upstream; requests in flight still count.
    pub(crate) fn reset(&mut self) {
        *self = Self {
            outstanding: self.outstanding,
            levels: Rc::clone(&self.levels),
            ..Self::default()
        };
    }

    /// Returns the failure rate, which decays without responses: otherwise a node that failed once
    /// would get no requests that show that it has recovered.
    pub(crate) fn failure_rate(&self, now: Instant) -> f64 {
        let age = self
            .failure_rate_at
            .map_or(Duration::ZERO, |seen| now.saturating_duration_since(seen));
        self.failure_rate * 0.5_f64.powf(age.as_secs_f64() / FAILURE_RATE_HALF_LIFE.as_secs_f64())
    }

    /// Sends again without waiting for a turn, since the upstream has no rate limit any more.
    pub(crate) fn end_rate_limit(&mut self) {
        self.next_turn = None;
    }

    /// Returns true if a request may be sent: the rate limit of the upstream is not known to refuse
    /// it, and the node is not ejected. After an ejection only one is sent at a time, until one
    /// succeeds.
    pub(crate) fn is_available(&self, now: Instant) -> bool {
        if self.next_turn.is_some_and(|turn| now < turn) {
            return false;
        }
        match self.ejected_until {
            None => true,
            Some(until) => now >= until && self.outstanding == 0,
        }
    }

    fn record_failure(&mut self, now: Instant) -> Option<Duration> {
        self.consecutive_failures += 1;
        if self.consecutive_failures < EJECTION_THRESHOLD {
            return None;
        }
        let doublings = self.ejections.min(MAX_EJECTION_DOUBLINGS);
        let ejection = FIRST_EJECTION * 2u32.pow(doublings);
        self.ejected_until = Some(now + ejection);
        self.ejections += 1;
        self.consecutive_failures = 0;
        Some(ejection)
    }
}

/// Returns true if the latency of the request tells how fast the upstream is.
pub(crate) fn is_latency_sample(response: &Response) -> bool {
    response.is_success() && !response.failed_below
}

/// Returns true if the result indicates a failure of the node itself rather than of its load.
fn is_failure(response: &Response) -> bool {
    match response.outcome {
        Outcome::Done => response.status >= 500 && !response.failed_below,
        Outcome::NotRun => match response.reason {
            Reason::Overload | Reason::Quarantined | Reason::OnTrial => false,
            _ => !response.absent_below,
        },
        Outcome::Unknown => true,
    }
}
