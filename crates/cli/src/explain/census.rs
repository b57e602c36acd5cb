//! How all requests ended that did not succeed, out of the logs of nodes.
//!
//! A request of a client and the calls made for it are read together, and its
//! end is put down to the deepest decision among them.

use std::collections::{BTreeMap, HashMap};
use std::io::{self, BufRead};

use jiff::Timestamp;
use serde::Serialize;

use crate::explain::cause::Cause;
use crate::explain::line::Line;
use crate::explain::places::Places;
use crate::explain::rounds::Rounds;
use crate::explain::trail::{AROUND, Trail};

/// Separates the id of a call from that of the request that it is made for.
const SEPARATOR: char = '.';
/// The length of a time that is cut off after its seconds.
const TO_SECONDS: usize = "2026-12-02T09:00:00".len();

/// Requests of one kind that ended at one place for one reason within one second.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub(super) struct Ending {
    /// The second in which they ended, by the clock of the instance where they came in.
    pub(super) second: String,
    /// The kind of the client's request.
    pub(super) kind: String,
    /// The service at which the deepest decision was taken.
    pub(super) service: String,
    /// The kind of the call that ended there; of the request itself if it made none that failed.
    pub(super) at_kind: String,
    /// What was decided there.
    pub(super) reason: &'static str,
    /// On whose behalf the client asked, empty if it showed no key.
    pub(super) workspace: String,
}

/// How many requests ended in the same way.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub(super) struct Count {
    /// How many there were, by the share of events that was written.
    pub(super) requests: f64,
    /// How many of them were read.
    pub(super) read: u32,
}

/// The lines of logs, sorted by what they are about.
#[derive(Debug, Default)]
pub(super) struct Census {
    requests: HashMap<String, Vec<Line>>,
    states: Vec<(Timestamp, Line)>,
    places: Places,
    rounds: Rounds,
}

impl Census {
    /// Takes in a log; lines that are not events of sailtrack are passed over.
    pub(super) fn read(&mut self, log: impl BufRead, source: &str) -> io::Result<()> {
        for text in log.split(b'\n') {
            let text = text?;
            let text = String::from_utf8_lossy(&text);
            if let Some(line) = Line::read(&text, source) {
                self.take(line);
            }
        }
        Ok(())
    }

    fn take(&mut self, line: Line) {
        let Ok(time) = line.time.parse() else {
            return;
        };
        self.places.note(&line);
        if line.is_gap() {
            self.rounds.note_gap(&line, time);
        } else if line.is_state() {
            self.states.push((time, line));
        } else if let Some(root) = root(&line) {
            let root = root.to_owned();
            self.requests.entry(root).or_default().push(line);
        }
    }

    /// Returns how many requests ended in which way.
    pub(super) fn count(mut self) -> (BTreeMap<Ending, Count>, u64) {
        self.states.sort_by_key(|(time, _)| *time);
        self.rounds.settle();
        for line in self.requests.values().flatten() {
            if let Ok(time) = line.time.parse() {
                self.rounds.note_written(line, time);
            }
        }
        let mut counts = BTreeMap::<Ending, Count>::new();
        for (request, lines) in std::mem::take(&mut self.requests) {
            if let Some((ending, weight)) = self.ending(&request, lines) {
                let count = counts.entry(ending).or_default();
                count.requests += weight;
                count.read += 1;
            }
        }
        spread_untold(&mut counts);
        (counts, self.rounds.left_out())
    }

    /// Returns how a request of a client ended, and how many such ends this one stands for.
    fn ending(&mut self, request: &str, lines: Vec<Line>) -> Option<(Ending, f64)> {
        let mut trail = Trail {
            lines,
            ..Trail::default()
        };
        trail.around = self.states_around(&trail);
        trail.settle();
        let end = trail.end(request)?;
        let cause = Cause::of(&trail, request);
        let deepest = cause.deepest();
        let failed = trail.deepest_failure(request);
        let at_kind = failed.unwrap_or(end).field("kind");
        let ending = Ending {
            second: end.time.get(..TO_SECONDS).unwrap_or_default().to_owned(),
            kind: end.field("kind").to_owned(),
            service: self.places.service(deepest, at_kind).to_owned(),
            at_kind: at_kind.to_owned(),
            reason: deepest.name(),
            workspace: end.field("workspace").to_owned(),
        };
        let weight = match end.time.parse() {
            Ok(time) => self.rounds.weight(end, time),
            Err(_) => 1.0,
        };
        Some((ending, weight))
    }

    fn states_around(&self, trail: &Trail) -> Vec<Line> {
        let times = trail.lines.iter().filter_map(|line| line.time.parse().ok());
        let times: Vec<Timestamp> = times.collect();
        let (Some(first), Some(last)) = (times.iter().min(), times.iter().max()) else {
            return Vec::new();
        };
        let from = self
            .states
            .partition_point(|(time, _)| *time < *first - AROUND);
        let to = self
            .states
            .partition_point(|(time, _)| *time <= *last + AROUND);
        let around = self.states[from..to].iter();
        around.map(|(_, line)| line.clone()).collect()
    }
}

/// Puts requests whose failed call was left out down to what is told of others of the kind.
///
/// A node that writes about fewer requests than the one where they came in hides what decided
/// most of them. Which requests a node keeps does not depend on how they end, so those that are
/// told of stand for the rest of their kind and second.
fn spread_untold(counts: &mut BTreeMap<Ending, Count>) {
    let untold: Vec<Ending> = counts
        .keys()
        .filter(|ending| ending.is_untold())
        .cloned()
        .collect();
    for ending in untold {
        let told: Vec<Ending> = counts
            .keys()
            .filter(|other| other.stands_for(&ending))
            .cloned()
            .collect();
        let all: f64 = told.iter().map(|other| counts[other].requests).sum();
        if all <= 0.0 {
            continue;
        }
        let hidden = counts.remove(&ending).unwrap_or_default();
        for other in told {
            let count = counts.entry(other).or_default();
            count.requests += hidden.requests * count.requests / all;
        }
    }
}

impl Ending {
    /// Returns true if a call failed about which nothing was written.
    fn is_untold(&self) -> bool {
        self.reason == Cause::CALL_UNTOLD
    }

    /// Returns true if it tells of the calls of requests such as those of `untold`.
    fn stands_for(&self, untold: &Self) -> bool {
        let is_told_call = self.at_kind != self.kind && !self.is_untold();
        is_told_call && self.kind == untold.kind && self.second == untold.second
    }
}

/// Returns the id of the client's request that a line is about.
fn root(line: &Line) -> Option<&str> {
    let request = line.field("request");
    let root = request.split(SEPARATOR).next()?;
    (!root.is_empty()).then_some(root)
}
