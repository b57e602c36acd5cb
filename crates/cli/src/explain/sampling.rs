//! Weights of sampled events: how many events each logged one stands for.
//!
//! A node that has too many events to write drops some and logs how many.

use std::collections::HashMap;
use std::time::Duration;

use jiff::Timestamp;

use crate::explain::line::{Line, REQUEST_REFUSED, REQUEST_REPEATED};

/// The events of a node that are sampled together: all its refusals, or all its failures.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Stream {
    node: String,
    about: &'static str,
}

/// The name of the stream of refused and retried requests.
const REFUSALS: &str = "refusals";
/// The name of the stream of all other events about requests.
const FAILURES: &str = "failures";

/// A time interval in which a node dropped events.
#[derive(Debug, Clone, Copy)]
struct Interval {
    from: Timestamp,
    to: Timestamp,
    dropped: u32,
    logged: u32,
}

/// The intervals in which nodes dropped events.
#[derive(Debug, Default)]
pub(super) struct Sampling {
    intervals: HashMap<Stream, Vec<Interval>>,
    dropped: u64,
}

impl Sampling {
    /// Records a line that reports how many events were dropped.
    pub(super) fn record_dropped(&mut self, line: &Line, time: Timestamp) {
        let count: u32 = line.field("count").parse().unwrap_or(0);
        self.dropped += u64::from(count);
        // A line without a span counts lines of every kind together, so they can't be attributed.
        let Ok(millis) = line.field("span_ms").parse() else {
            return;
        };
        let about = match line.field("about") {
            REFUSALS => REFUSALS,
            _ => FAILURES,
        };
        let stream = Stream {
            node: line.node.clone(),
            about,
        };
        self.intervals.entry(stream).or_default().push(Interval {
            from: time - Duration::from_millis(millis),
            to: time,
            dropped: count,
            logged: 0,
        });
    }

    /// Sorts the intervals; must be called before events are recorded or weighted.
    pub(super) fn sort(&mut self) {
        for intervals in self.intervals.values_mut() {
            intervals.sort_by_key(|interval| interval.to);
        }
    }

    /// Counts an event that was logged.
    pub(super) fn record_logged(&mut self, line: &Line, time: Timestamp) {
        if let Some(interval) = self.interval(line, time) {
            interval.logged += 1;
        }
    }

    /// Returns how many events this logged one stands for, including itself.
    pub(super) fn weight(&mut self, line: &Line, time: Timestamp) -> f64 {
        self.interval(line, time).map_or(1.0, |interval| {
            let logged = f64::from(interval.logged.max(1));
            (logged + f64::from(interval.dropped)) / logged
        })
    }

    /// Returns the total number of dropped events.
    pub(super) fn dropped_count(&self) -> u64 {
        self.dropped
    }

    /// Returns the interval of dropped events that a line falls into, if there is one.
    fn interval(&mut self, line: &Line, time: Timestamp) -> Option<&mut Interval> {
        let stream = Stream {
            node: line.node.clone(),
            about: match line.event {
                REQUEST_REFUSED | REQUEST_REPEATED => REFUSALS,
                _ => FAILURES,
            },
        };
        let intervals = self.intervals.get_mut(&stream)?;
        let index = intervals.partition_point(|interval| interval.to < time);
        intervals
            .get_mut(index)
            .filter(|interval| time >= interval.from)
    }
}
