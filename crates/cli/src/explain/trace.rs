//! Log correlation: the lines of several logs that concern one request.

use std::collections::BTreeSet;
use std::io::{self, BufRead};
use std::time::Duration;

use jiff::Timestamp;
use serde::Serialize;

use crate::explain::line::{Line, REQUEST_HELD_BACK, UPSTREAM_CRASHED};

/// How long before and after a request changes of the state of nodes are considered.
pub(super) const CONTEXT_WINDOW: Duration = Duration::from_secs(2);

/// The log lines that concern one request.
#[derive(Debug, Default, Serialize)]
pub(super) struct Trace {
    /// The lines about the request and its nested calls, in order of time.
    pub(super) lines: Vec<Line>,
    /// Changes in the state of nodes shortly before, during and after the request.
    pub(super) around: Vec<Line>,
    /// Crashes of upstreams while they ran the request, at any time.
    pub(super) crashes: Vec<Line>,
    /// Reports of dropped lines shortly before, during and after the request.
    pub(super) gaps: Vec<Line>,
}

impl Trace {
    /// Reads a log; lines that are not events of sailtrack are skipped.
    pub(super) fn read(
        &mut self,
        request: &str,
        log: impl BufRead,
        source: &str,
    ) -> io::Result<()> {
        for text in log.split(b'\n') {
            let text = text?;
            let text = String::from_utf8_lossy(&text);
            let Some(line) = Line::read(&text, source) else {
                continue;
            };
            if line.is_about(request) {
                self.lines.push(line);
            } else if line.event == UPSTREAM_CRASHED {
                self.crashes.push(line);
            } else if line.reports_dropped_lines() {
                self.gaps.push(line);
            } else if line.is_state_change() {
                self.around.push(line);
            }
        }
        Ok(())
    }

    /// Sorts the lines by time and drops those unrelated to the request: too far away in time, on
    /// other nodes, or crashes under other requests.
    pub(super) fn finish(&mut self) {
        self.lines.sort_by(|one, other| one.time.cmp(&other.time));
        let span = self.span();
        let nodes = self.nodes();
        let is_in_span = |line: &Line| {
            let time = parse_time(line);
            span.zip(time)
                .is_some_and(|((from, to), time)| time >= from && time <= to)
        };
        self.around.retain(|line| {
            is_in_span(line) && (line.is_upstream_loss() || nodes.contains(&line.node))
        });
        self.gaps
            .retain(|line| is_in_span(line) && nodes.contains(&line.node));
        let identity = self.identity().map(str::to_owned);
        self.crashes.retain(|line| {
            let identity = identity.as_deref();
            identity.is_some_and(|identity| line.is_crash_during(identity))
        });
        for lines in [&mut self.around, &mut self.gaps, &mut self.crashes] {
            lines.sort_by(|one, other| one.time.cmp(&other.time));
        }
    }

    /// Returns the identity by which crash events name the request; only known if an attempt was
    /// refused because of quarantine.
    pub(super) fn identity(&self) -> Option<&str> {
        let mut lines = self.lines.iter();
        let quarantined = lines.find(|line| line.event == REQUEST_HELD_BACK);
        quarantined.map(|line| line.field("identity"))
    }

    /// Returns the nodes that logged the request or are named as having handled it.
    fn nodes(&self) -> BTreeSet<String> {
        let writers = self.lines.iter().map(|line| line.node.clone());
        let named = self.lines.iter().map(|line| line.field("node").to_owned());
        writers.chain(named).collect()
    }

    /// Returns the line with the final outcome of this request, at the node where it came in.
    pub(super) fn end(&self, request: &str) -> Option<&Line> {
        let ends = self.lines.iter().filter(|line| line.is_outcome());
        ends.rev().find(|line| line.field("request") == request)
    }

    /// Returns the final outcome of the most deeply nested call of a request that failed.
    pub(super) fn deepest_failure(&self, request: &str) -> Option<&Line> {
        let ends = self.lines.iter().filter(|line| line.is_outcome());
        let calls = ends.filter(|line| line.is_about(request) && line.field("request") != request);
        calls.max_by_key(|line| line.field("request").matches('.').count())
    }

    /// Returns the line with this event number about this request, nested calls excluded.
    pub(super) fn event(&self, number: u32, request: &str) -> Option<&Line> {
        let mut lines = self.lines.iter();
        lines.find(|line| line.event == number && line.field("request") == request)
    }

    /// Returns the last state change with one of these event numbers that the node wrote or that
    /// names it.
    pub(super) fn state_of(&self, node: &str, numbers: &[u32]) -> Option<&Line> {
        let mut lines = self.around.iter().rev();
        lines.find(|line| {
            numbers.contains(&line.event) && (line.node == node || line.field("node") == node)
        })
    }

    /// Returns the time span of the request, extended by the context window on both sides.
    fn span(&self) -> Option<(Timestamp, Timestamp)> {
        let first = self.lines.first().and_then(parse_time)?;
        let last = self.lines.last().and_then(parse_time)?;
        Some((first - CONTEXT_WINDOW, last + CONTEXT_WINDOW))
    }
}

/// Returns the time of a line, if it can be parsed.
fn parse_time(line: &Line) -> Option<Timestamp> {
    line.time.parse().ok()
}
