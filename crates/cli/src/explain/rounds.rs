//! How many events each written one stands for, since nodes leave some out.

use std::collections::HashMap;
use std::time::Duration;

use jiff::Timestamp;

use crate::explain::line::{Line, REFUSED, REPEATED};

/// The events that a node bounds together, as it names them when it left some out.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Flow {
    node: String,
    about: &'static str,
}

const REFUSALS: &str = "refusals";
const FAILURES: &str = "failures";

/// A stretch of time in which a node left events out.
#[derive(Debug, Clone, Copy)]
struct Round {
    from: Timestamp,
    to: Timestamp,
    left_out: u32,
    written: u32,
}

/// How many events each written one stands for.
#[derive(Debug, Default)]
pub(super) struct Rounds {
    rounds: HashMap<Flow, Vec<Round>>,
    left_out: u64,
}

impl Rounds {
    /// Takes in a line that says how many events were left out.
    pub(super) fn note_gap(&mut self, line: &Line, time: Timestamp) {
        let count: u32 = line.field("count").parse().unwrap_or(0);
        self.left_out += u64::from(count);
        // A line without a span speaks of lines of any kind, which cannot be told apart.
        let Ok(millis) = line.field("span_ms").parse() else {
            return;
        };
        let about = match line.field("about") {
            REFUSALS => REFUSALS,
            _ => FAILURES,
        };
        let flow = Flow {
            node: line.node.clone(),
            about,
        };
        self.rounds.entry(flow).or_default().push(Round {
            from: time - Duration::from_millis(millis),
            to: time,
            left_out: count,
            written: 0,
        });
    }

    /// Puts the rounds in order; afterwards events can be noted.
    pub(super) fn settle(&mut self) {
        for rounds in self.rounds.values_mut() {
            rounds.sort_by_key(|round| round.to);
        }
    }

    /// Counts an event that was written.
    pub(super) fn note_written(&mut self, line: &Line, time: Timestamp) {
        if let Some(round) = self.round(line, time) {
            round.written += 1;
        }
    }

    /// Returns how many events this written one stands for, itself among them.
    pub(super) fn weight(&mut self, line: &Line, time: Timestamp) -> f64 {
        self.round(line, time).map_or(1.0, |round| {
            let written = f64::from(round.written.max(1));
            (written + f64::from(round.left_out)) / written
        })
    }

    /// Returns how many events were left out in all.
    pub(super) fn left_out(&self) -> u64 {
        self.left_out
    }

    fn round(&mut self, line: &Line, time: Timestamp) -> Option<&mut Round> {
        let flow = Flow {
            node: line.node.clone(),
            about: match line.event {
                REFUSED | REPEATED => REFUSALS,
                _ => FAILURES,
            },
        };
        let rounds = self.rounds.get_mut(&flow)?;
        let place = rounds.partition_point(|round| round.to < time);
        rounds.get_mut(place).filter(|round| time >= round.from)
    }
}
