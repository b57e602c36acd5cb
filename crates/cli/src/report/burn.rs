//! Computes how much of the error budget is spent, and the burn rates in a short and a long window.

use std::collections::BTreeMap;

use sailtrack_units::{Period, Timestamp};
use serde::Serialize;

use crate::report::gather::{ClusterCounts, KindCounts};
use crate::report::step::Step;

/// The spent error budget and burn rates of one kind of request.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Burn {
    pub(crate) kind: String,
    pub(crate) service: String,
    /// The service level objective: the share of calls that should be good.
    pub(crate) objective: f64,
    /// The sum of all steps.
    pub(crate) total: Step,
    /// The share of calls that were good.
    pub(crate) achieved: f64,
    /// The share of the error budget that is spent; above 1.0 the objective is missed.
    pub(crate) budget_spent: f64,
    /// The burn rate in the short window; at 1.0, errors just use up the error budget.
    pub(crate) short_rate: f64,
    /// The burn rate in the long window.
    pub(crate) long_rate: f64,
    /// The counts per time step, in order of time.
    pub(crate) steps: Vec<Step>,
}

/// A report on all kinds of requests.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Summary {
    /// How many nodes answered.
    pub(crate) nodes: usize,
    /// Error messages of the nodes that did not answer.
    pub(crate) missing: Vec<String>,
    pub(crate) step_ms: u64,
    pub(crate) short: String,
    pub(crate) long: String,
    /// How many requests have an unknown outcome that no operator has settled.
    pub(crate) unknown_open: u64,
    pub(crate) burns: Vec<Burn>,
}

/// Computes the report from the counts of the nodes.
pub(crate) fn summarize(counts: ClusterCounts, short: Period, long: Period) -> Summary {
    let latest_step_time = latest_step_time(&counts);
    let kinds = counts.kinds.into_values();
    let burns = kinds.map(|kind| burn(kind, latest_step_time, short, long));
    Summary {
        nodes: counts.nodes,
        missing: counts.missing,
        step_ms: counts.step_ms,
        short: short.to_string(),
        long: long.to_string(),
        unknown_open: counts.unknown_open,
        burns: burns.collect(),
    }
}

/// Returns the time of the newest step; the windows end with it, not with the current time.
fn latest_step_time(counts: &ClusterCounts) -> Timestamp {
    let kinds = counts.kinds.values();
    let times = kinds.flat_map(|kind| kind.steps.iter().map(|step| step.at));
    times.max().unwrap_or_default()
}

fn burn(kind: KindCounts, latest_step_time: Timestamp, short: Period, long: Period) -> Burn {
    let steps = merge(&kind.steps);
    let total = sum_since(&steps, Timestamp(0));
    let start_of =
        |window: Period| Timestamp(latest_step_time.0.saturating_sub(window.as_millis()));
    let budget = (1.0 - kind.objective).max(f64::EPSILON);
    let rate = |step: &Step| bad_share(step) / budget;
    Burn {
        achieved: 1.0 - bad_share(&total),
        budget_spent: rate(&total),
        short_rate: rate(&sum_since(&steps, start_of(short))),
        long_rate: rate(&sum_since(&steps, start_of(long))),
        kind: kind.kind,
        service: kind.service,
        objective: kind.objective,
        total,
        steps,
    }
}

/// Adds up the steps of several nodes into one time series.
fn merge(steps: &[Step]) -> Vec<Step> {
    let mut merged: BTreeMap<Timestamp, Step> = BTreeMap::new();
    for step in steps {
        let sum = merged.entry(step.at).or_default();
        sum.at = step.at;
        sum.add(step);
    }
    merged.into_values().collect()
}

fn sum_since(steps: &[Step], since: Timestamp) -> Step {
    let mut total = Step::default();
    for step in steps.iter().filter(|step| step.at >= since) {
        total.add(step);
    }
    total
}

#[allow(clippy::cast_precision_loss)]
fn bad_share(step: &Step) -> f64 {
    let all = step.good + step.bad();
    if all == 0 {
        return 0.0;
    }
    step.bad() as f64 / all as f64
}
