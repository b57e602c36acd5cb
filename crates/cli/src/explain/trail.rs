//! What logs say about one request.

use std::collections::BTreeSet;
use std::io::{self, BufRead};
use std::time::Duration;

use jiff::Timestamp;
use serde::Serialize;

use crate::explain::line::{CRASHED, HELD_BACK, Line};

/// How long before and after a request the state of nodes is looked at.
pub(super) const AROUND: Duration = Duration::from_secs(2);

/// What logs say about one request.
#[derive(Debug, Default, Serialize)]
pub(super) struct Trail {
    /// The lines about it and the calls made for it, in the order of their times.
    pub(super) lines: Vec<Line>,
    /// What changed on nodes around it.
    pub(super) around: Vec<Line>,
    /// The crashes of upstreams under it, at any time.
    pub(super) crashes: Vec<Line>,
    /// What was left out by nodes around it.
    pub(super) gaps: Vec<Line>,
}

impl Trail {
    /// Takes in a log; lines that are not events of sailtrack are passed over.
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
            } else if line.event == CRASHED {
                self.crashes.push(line);
            } else if line.is_gap() {
                self.gaps.push(line);
            } else if line.is_state() {
                self.around.push(line);
            }
        }
        Ok(())
    }

    /// Orders the lines and forgets what is far from the request, in time or on other nodes.
    pub(super) fn settle(&mut self) {
        self.lines.sort_by(|one, other| one.time.cmp(&other.time));
        let span = self.span();
        let nodes = self.nodes();
        let is_near = |line: &Line| {
            let time = moment(line);
            span.zip(time)
                .is_some_and(|((from, to), time)| time >= from && time <= to)
        };
        self.around
            .retain(|line| is_near(line) && (line.is_loss() || nodes.contains(&line.node)));
        self.gaps
            .retain(|line| is_near(line) && nodes.contains(&line.node));
        let identity = self.identity().map(str::to_owned);
        self.crashes.retain(|line| {
            let identity = identity.as_deref();
            identity.is_some_and(|identity| line.is_crash_under(identity))
        });
        for lines in [&mut self.around, &mut self.gaps, &mut self.crashes] {
            lines.sort_by(|one, other| one.time.cmp(&other.time));
        }
    }

    /// Returns what stands for the request in the lines about crashes, if it was held back.
    pub(super) fn identity(&self) -> Option<&str> {
        let mut lines = self.lines.iter();
        let held_back = lines.find(|line| line.event == HELD_BACK);
        held_back.map(|line| line.field("identity"))
    }

    /// Returns the nodes that wrote about the request or are named as having had it.
    fn nodes(&self) -> BTreeSet<String> {
        let wrote = self.lines.iter().map(|line| line.node.clone());
        let named = self.lines.iter().map(|line| line.field("node").to_owned());
        wrote.chain(named).collect()
    }

    /// Returns the line that tells how this request ended where it came in.
    pub(super) fn end(&self, request: &str) -> Option<&Line> {
        let ends = self.lines.iter().filter(|line| line.is_end());
        ends.rev().find(|line| line.field("request") == request)
    }

    /// Returns the end of the call furthest down that was made for a request and failed.
    pub(super) fn deepest_failure(&self, request: &str) -> Option<&Line> {
        let ends = self.lines.iter().filter(|line| line.is_end());
        let calls = ends.filter(|line| line.is_about(request) && line.field("request") != request);
        calls.max_by_key(|line| line.field("request").matches('.').count())
    }

    /// Returns the line with this number about exactly this request.
    pub(super) fn event(&self, number: u32, request: &str) -> Option<&Line> {
        let mut lines = self.lines.iter();
        lines.find(|line| line.event == number && line.field("request") == request)
    }

    /// Returns the last state event with one of these numbers that names a node or was written
    /// by it.
    pub(super) fn state_of(&self, node: &str, numbers: &[u32]) -> Option<&Line> {
        let mut lines = self.around.iter().rev();
        lines.find(|line| {
            numbers.contains(&line.event) && (line.node == node || line.field("node") == node)
        })
    }

    fn span(&self) -> Option<(Timestamp, Timestamp)> {
        let first = self.lines.first().and_then(moment)?;
        let last = self.lines.last().and_then(moment)?;
        Some((first - AROUND, last + AROUND))
    }
}

/// Returns when a line was written, if its time can be read.
fn moment(line: &Line) -> Option<Timestamp> {
    line.time.parse().ok()
}
