//! Behaviour that a test changes while the stand-in runs.

use std::cell::Cell;
use std::time::Instant;

use sailtrack_units::Rate;
use serde::Deserialize;

use crate::copies::{Copies, Selection};

/// How the load is reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum Report {
    /// As it is.
    #[default]
    Honest,
    /// Always none.
    Idle,
    /// Always full.
    Busy,
}

/// A change of behaviour, as JSON such as `{"factor": 10}`.
#[derive(Debug, Clone, Copy, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Order {
    /// Multiplies the time of the work.
    pub(crate) factor: Option<f64>,
    /// The share of requests that fail after they ran.
    pub(crate) fail: Option<f64>,
    /// The share of requests that are never answered, nor anything more on their connections.
    pub(crate) silent: Option<f64>,
    /// Whether what finds the queue full is never answered either, in place of being shed.
    pub(crate) silent_when_full: Option<bool>,
    /// How the load is reported.
    pub(crate) report: Option<Report>,
    /// Announces that the upstream leaves, or that it is back.
    pub(crate) leave: Option<bool>,
    /// The calls per second that it says in its answers to take, none if negative.
    pub(crate) rate_limit: Option<f64>,
    /// Whether it says in its answers that it leaves; its announcements don't.
    pub(crate) leave_in_answers: Option<bool>,
    /// Which responses it sends twice; it needs the setting `copies`.
    pub(crate) copies: Option<Copies>,
}

/// The behaviour at present.
#[derive(Debug)]
pub(crate) struct Control {
    started: Instant,
    factor: Cell<f64>,
    fail: Cell<f64>,
    silent: Cell<f64>,
    silent_when_full: Cell<bool>,
    report: Cell<Report>,
    leaving: Cell<bool>,
    rate_limit: Cell<Option<Rate>>,
    leaves_in_answers: Cell<bool>,
    pub(crate) copies: Selection,
}

impl Control {
    pub(crate) fn new() -> Self {
        Self {
            started: Instant::now(),
            factor: Cell::new(1.0),
            fail: Cell::new(0.0),
            silent: Cell::new(0.0),
            silent_when_full: Cell::new(false),
            report: Cell::default(),
            leaving: Cell::new(false),
            rate_limit: Cell::default(),
            leaves_in_answers: Cell::new(false),
            copies: Selection::default(),
        }
    }

    /// Carries out an order.
    pub(crate) fn obey(&self, order: Order) {
        if let Some(factor) = order.factor {
            self.factor.set(factor);
        }
        if let Some(fail) = order.fail {
            self.fail.set(fail);
        }
        if let Some(silent) = order.silent {
            self.silent.set(silent);
        }
        if let Some(silent) = order.silent_when_full {
            self.silent_when_full.set(silent);
        }
        if let Some(report) = order.report {
            self.report.set(report);
        }
        if let Some(leave) = order.leave {
            self.leaving.set(leave);
        }
        if let Some(rate) = order.rate_limit {
            self.rate_limit.set((rate >= 0.0).then_some(Rate(rate)));
        }
        if let Some(leave) = order.leave_in_answers {
            self.leaves_in_answers.set(leave);
        }
        if let Some(copies) = order.copies {
            self.copies.set(copies);
        }
    }

    /// Returns the rate that it says in its answers to take.
    pub(crate) fn rate_limit(&self) -> Option<Rate> {
        self.rate_limit.get()
    }

    /// Returns true if it says in its answers that it leaves.
    pub(crate) fn leaves_in_answers(&self) -> bool {
        self.leaves_in_answers.get()
    }

    /// Makes the stand-in announce that it leaves.
    pub(crate) fn leave(&self) {
        self.leaving.set(true);
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.get()
    }

    /// Returns by what the time of the work is multiplied, `cold_time` seconds after a cold start.
    pub(crate) fn factor(&self, cold_time: f64) -> f64 {
        const COLD_FACTOR: f64 = 3.0;
        let age = self.started.elapsed().as_secs_f64();
        if age >= cold_time {
            return self.factor.get();
        }
        let cold = 1.0 - age / cold_time;
        self.factor.get() * (1.0 + (COLD_FACTOR - 1.0) * cold)
    }

    pub(crate) fn fail(&self) -> f64 {
        self.fail.get()
    }

    /// Returns the share of requests that are never answered.
    pub(crate) fn silent(&self) -> f64 {
        self.silent.get().clamp(0.0, 1.0)
    }

    /// Returns true if what finds the queue full is never answered.
    pub(crate) fn is_silent_when_full(&self) -> bool {
        self.silent_when_full.get()
    }

    /// Returns the load that is reported for a true load.
    pub(crate) fn reported(&self, load: f64) -> f64 {
        match self.report.get() {
            Report::Honest => load,
            Report::Idle => 0.0,
            Report::Busy => 1.0,
        }
    }
}
