//! Counts of what became of the requests, by kind and over time.

use std::cell::{Cell, RefCell};
use std::fs::File;
use std::io::{self, Write as _};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use xxhash_rust::xxh3::xxh3_64;

use crate::arrival::Arrival;
use crate::outcome::Outcome;
use crate::settings::{Demand, Settings};

/// The length of one step of the series.
pub(crate) const STEP: Duration = Duration::from_millis(250);
/// The longest time recorded, in microseconds.
const LONGEST_US: u64 = 60_000_000;
/// The digits kept of a time.
const DIGITS: u8 = 3;

/// The counts of one kind.
pub(crate) struct KindTally {
    pub(crate) offered: u64,
    pub(crate) outcomes: [u64; Outcome::ALL.len()],
    pub(crate) attempts: u64,
    pub(crate) times: Histogram<u64>,
    /// Completed requests in each step of the series.
    pub(crate) completed: Vec<u64>,
    /// Requests that completed, in the steps in which they arrived.
    pub(crate) whole: Vec<u64>,
    /// Requests that arrived in each step of the series.
    pub(crate) arrived: Vec<u64>,
}

/// The counts of all kinds.
pub(crate) struct Tally {
    started: Instant,
    pub(crate) kinds: RefCell<Vec<KindTally>>,
    /// Answers that claimed success with a body that is too short.
    pub(crate) short: Cell<u64>,
    outcomes: Option<RefCell<File>>,
}

impl Tally {
    pub(crate) fn new(settings: &Settings, started: Instant) -> io::Result<Self> {
        let outcomes = settings.outcomes.as_ref().map(File::create).transpose()?;
        let kinds = settings.demands.iter().map(|_| KindTally {
            offered: 0,
            outcomes: [0; Outcome::ALL.len()],
            attempts: 0,
            times: Histogram::new_with_bounds(1, LONGEST_US, DIGITS)
                .expect("the bounds of the histogram are sound"),
            completed: Vec::new(),
            whole: Vec::new(),
            arrived: Vec::new(),
        });
        Ok(Self {
            started,
            kinds: RefCell::new(kinds.collect()),
            short: Cell::new(0),
            outcomes: outcomes.map(RefCell::new),
        })
    }

    /// Counts a request that arrived.
    pub(crate) fn note_arrival(&self, arrival: &Arrival) {
        let step = step_at(arrival.at);
        let mut kinds = self.kinds.borrow_mut();
        let kind = &mut kinds[arrival.demand];
        kind.offered += 1;
        add(&mut kind.arrived, step);
    }

    /// Counts one attempt.
    pub(crate) fn note_attempt(&self, demand: usize) {
        self.kinds.borrow_mut()[demand].attempts += 1;
    }

    /// Counts what became of a request after this time.
    pub(crate) fn note_outcome(&self, arrival: &Arrival, outcome: Outcome, time: Duration) {
        let step = self.step();
        let arrived = step_at(arrival.at);
        let mut kinds = self.kinds.borrow_mut();
        let kind = &mut kinds[arrival.demand];
        kind.outcomes[outcome as usize] += 1;
        if outcome == Outcome::Complete {
            let micros = u64::try_from(time.as_micros()).unwrap_or(LONGEST_US);
            kind.times.saturating_record(micros);
            add(&mut kind.completed, step);
            add(&mut kind.whole, arrived);
        }
    }

    /// Writes down what became of the request with this id and body.
    pub(crate) fn write(&self, outcome: Outcome, demand: &Demand, id: &str, body: &str) {
        let Some(file) = &self.outcomes else {
            return;
        };
        let key = xxh3_64(body.as_bytes());
        let line = format!("{outcome:?} {} {key:016x} {id}\n", demand.kind);
        let written = file.borrow_mut().write_all(line.as_bytes());
        written.expect("the outcomes can be written");
    }

    fn step(&self) -> usize {
        step_at(self.started.elapsed())
    }
}

fn step_at(time: Duration) -> usize {
    usize::try_from(time.as_millis() / STEP.as_millis()).unwrap_or(0)
}

fn add(series: &mut Vec<u64>, step: usize) {
    if series.len() <= step {
        series.resize(step + 1, 0);
    }
    series[step] += 1;
}
