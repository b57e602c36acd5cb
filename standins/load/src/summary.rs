//! The results, as one JSON object.

use serde_json::{Value, json};

use crate::outcome::Outcome;
use crate::settings::{Demand, Settings};
use crate::tally::{KindTally, STEP, Tally};

/// Prints the results; `unfinished` requests were still open at the end.
pub(crate) fn print(settings: &Settings, tally: &Tally, unfinished: usize) {
    let kinds = tally.kinds.borrow();
    let pairs = settings.demands.iter().zip(kinds.iter());
    let kinds: Vec<Value> = pairs.map(|(demand, kind)| describe(demand, kind)).collect();
    let body = json!({
        "seed": settings.seed,
        "length_ms": settings.length.as_millis(),
        "step_ms": u64::try_from(STEP.as_millis()).unwrap_or(0),
        "unfinished": unfinished,
        "short": tally.short.get(),
        "kinds": kinds,
    });
    println!("{body}");
}

fn describe(demand: &Demand, kind: &KindTally) -> Value {
    json!({
        "kind": demand.kind.as_str(),
        "importance": demand.importance.as_str(),
        "offered": kind.offered,
        "complete": kind.outcomes[Outcome::Complete as usize],
        "not_run": kind.outcomes[Outcome::NotRun as usize],
        "unknown": kind.outcomes[Outcome::Unknown as usize],
        "failed": kind.outcomes[Outcome::Failed as usize],
        "mixups": kind.outcomes[Outcome::Mixup as usize],
        "attempts": kind.attempts,
        "p50_us": kind.times.value_at_quantile(0.5),
        "p99_us": kind.times.value_at_quantile(0.99),
        "completed": kind.completed,
        "whole": kind.whole,
        "arrived": kind.arrived,
    })
}
