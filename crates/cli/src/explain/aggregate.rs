//! Aggregates the outcomes of all requests that did not succeed, from the logs of nodes.
//!
//! A client's request and its nested calls form one trace, and the outcome of the
//! request is attributed to the cause found at the most deeply nested failed call.

use std::collections::{BTreeMap, HashMap};
use std::io::{self, BufRead};

use jiff::Timestamp;
use serde::Serialize;

use crate::explain::cause::Cause;
use crate::explain::line::Line;
use crate::explain::sampling::Sampling;
use crate::explain::topology::Topology;
use crate::explain::trace::{CONTEXT_WINDOW, Trace};

/// Separates the parts of the id of a nested call: the id of its parent comes first.
const SEPARATOR: char = '.';
/// The length of a timestamp truncated to seconds.
const SECONDS_LENGTH: usize = "2026-12-02T09:00:00".len();

/// What requests are grouped by: their kind, the service and reason of their failure, and the second.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub(super) struct Ending {
    /// The second in which the requests ended, by the clock of the instance where they came in.
    pub(super) second: String,
    /// The kind of the client's request.
    pub(super) kind: String,
    /// The service to which the root cause is attributed.
    pub(super) service: String,
    /// The kind of the call that failed there; the kind of the request itself if no nested call
    /// failed.
    pub(super) at_kind: String,
    /// The name of the root cause.
    pub(super) reason: &'static str,
    /// The workspace of the client, empty if the request had no key.
    pub(super) workspace: String,
}

/// The number of requests in a group.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub(super) struct Count {
    /// The estimated number of requests, each logged one weighted for events that were dropped.
    pub(super) requests: f64,
    /// The number of requests found in the logs.
    pub(super) read: u32,
}

/// Log lines, grouped by the request that they concern.
#[derive(Debug, Default)]
pub(super) struct Aggregate {
    /// The lines about each client's request and its nested calls, by the id of the request.
    requests: HashMap<String, Vec<Line>>,
    /// Changes in the state of nodes, with their times.
    states: Vec<(Timestamp, Line)>,
    topology: Topology,
    sampling: Sampling,
}

impl Aggregate {
    /// Reads a log; lines that are not events of sailtrack are skipped.
    pub(super) fn read(&mut self, log: impl BufRead, source: &str) -> io::Result<()> {
        for text in log.split(b'\n') {
            let text = text?;
            let text = String::from_utf8_lossy(&text);
            if let Some(line) = Line::read(&text, source) {
                self.add(line);
            }
        }
        Ok(())
    }

    fn add(&mut self, line: Line) {
        let Ok(time) = line.time.parse() else {
            return;
        };
        self.topology.record(&line);
        if line.reports_dropped_lines() {
            self.sampling.record_dropped(&line, time);
        } else if line.is_state_change() {
            self.states.push((time, line));
        } else if let Some(root_id) = root_id(&line) {
            let root_id = root_id.to_owned();
            self.requests.entry(root_id).or_default().push(line);
        }
    }

    /// Returns the number of requests in each group, and how many events nodes dropped.
    pub(super) fn count(mut self) -> (BTreeMap<Ending, Count>, u64) {
        self.states.sort_by_key(|(time, _)| *time);
        self.sampling.sort();
        for line in self.requests.values().flatten() {
            if let Ok(time) = line.time.parse() {
                self.sampling.record_logged(line, time);
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
        distribute_unlogged(&mut counts);
        (counts, self.sampling.dropped_count())
    }

    /// Returns the group of a client's request, and how many requests this one stands for; `None`
    /// if the logs do not say how it ended.
    fn ending(&mut self, request: &str, lines: Vec<Line>) -> Option<(Ending, f64)> {
        let mut trace = Trace {
            lines,
            ..Trace::default()
        };
        trace.around = self.states_around(&trace);
        trace.finish();
        let end = trace.end(request)?;
        let cause = Cause::of(&trace, request);
        let deepest = cause.deepest();
        let failed = trace.deepest_failure(request);
        let at_kind = failed.unwrap_or(end).field("kind");
        let ending = Ending {
            second: end
                .time
                .get(..SECONDS_LENGTH)
                .unwrap_or_default()
                .to_owned(),
            kind: end.field("kind").to_owned(),
            service: self.topology.service(deepest, at_kind).to_owned(),
            at_kind: at_kind.to_owned(),
            reason: deepest.name(),
            workspace: end.field("workspace").to_owned(),
        };
        let weight = match end.time.parse() {
            Ok(time) => self.sampling.weight(end, time),
            Err(_) => 1.0,
        };
        Some((ending, weight))
    }

    fn states_around(&self, trace: &Trace) -> Vec<Line> {
        let times = trace.lines.iter().filter_map(|line| line.time.parse().ok());
        let times: Vec<Timestamp> = times.collect();
        let (Some(first), Some(last)) = (times.iter().min(), times.iter().max()) else {
            return Vec::new();
        };
        let from = self
            .states
            .partition_point(|(time, _)| *time < *first - CONTEXT_WINDOW);
        let to = self
            .states
            .partition_point(|(time, _)| *time <= *last + CONTEXT_WINDOW);
        let around = self.states[from..to].iter();
        around.map(|(_, line)| line.clone()).collect()
    }
}

/// Distributes requests whose failed nested call was not logged over the known causes.
///
/// A node that samples more strictly than the node where requests came in hides the root cause of
/// most of them. Sampling does not depend on the outcome of a request, so the known causes of the
/// same kind and second are representative of the rest, in proportion to their counts.
fn distribute_unlogged(counts: &mut BTreeMap<Ending, Count>) {
    let unlogged: Vec<Ending> = counts
        .keys()
        .filter(|ending| ending.is_unlogged())
        .cloned()
        .collect();
    for ending in unlogged {
        let known: Vec<Ending> = counts
            .keys()
            .filter(|other| other.represents(&ending))
            .cloned()
            .collect();
        let all: f64 = known.iter().map(|other| counts[other].requests).sum();
        if all <= 0.0 {
            continue;
        }
        let hidden = counts.remove(&ending).unwrap_or_default();
        for other in known {
            let count = counts.entry(other).or_default();
            count.requests += hidden.requests * count.requests / all;
        }
    }
}

impl Ending {
    /// Returns true if a nested call failed that was not logged.
    fn is_unlogged(&self) -> bool {
        self.reason == Cause::CALL_UNTOLD
    }

    /// Returns true if it has a known cause in a nested call, of requests of the same kind and
    /// second as those of `unlogged`.
    fn represents(&self, unlogged: &Self) -> bool {
        let is_nested_call = self.at_kind != self.kind && !self.is_unlogged();
        is_nested_call && self.kind == unlogged.kind && self.second == unlogged.second
    }
}

/// Returns the id of the client's request that a line concerns, also if it is about a nested call.
fn root_id(line: &Line) -> Option<&str> {
    let request = line.field("request");
    let root_id = request.split(SEPARATOR).next()?;
    (!root_id.is_empty()).then_some(root_id)
}
