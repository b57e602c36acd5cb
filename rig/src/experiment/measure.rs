//! What is measured in one run.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use sailtrack_declaration::Kind;
use serde::Serialize;
use serde_json::Value;

use crate::experiment::capacity::best_goodput;
use crate::experiment::plan::Plan;

/// Requests must complete as well as before for this long to call it recovered.
const STABLE_TIME: Duration = Duration::from_secs(5);
/// The share of the earlier completed share that counts as recovered.
const RECOVERED_SHARE: f64 = 0.95;
/// The completed share is averaged over this many steps.
const SMOOTHING: usize = 4;
/// The first steps, in which everything is cold, are left out of what was before.
const COLD_STEPS: usize = 8;

/// What is measured in one run.
#[derive(Debug, Clone, Serialize)]
pub struct Measures {
    /// The policy.
    pub policy: String,
    /// The seed.
    pub seed: u64,
    /// Requests that arrived.
    pub offered: f64,
    /// Requests that completed whole.
    pub complete: f64,
    /// Whole requests a second during the surge and triggers.
    pub stress_goodput: f64,
    /// The same as a share of what the capacity allows.
    pub stress_share_of_capacity: f64,
    /// The completed share by importance, over the whole run.
    pub share_by_importance: BTreeMap<String, f64>,
    /// The same for requests that arrived during the surge and triggers.
    pub stress_share_by_importance: BTreeMap<String, f64>,
    /// Seconds from the end of the last trigger until requests complete as before; none means never.
    pub recovery_s: Option<f64>,
    /// The share of executions that were made for requests that did not complete.
    pub wasted: f64,
    /// Executions of all services for each completed request.
    pub executions_per_complete: f64,
    /// Non-idempotent executions that ran a second time.
    pub run_twice: u64,
    /// Requests told "not run" of which something ran at the entry.
    pub false_not_run: u64,
    /// Answers to the wrong request.
    pub mixups: f64,
    /// Attempts of clients for each request.
    pub attempts_per_request: f64,
    /// The time of the slowest of the completed kinds at the median, in milliseconds.
    pub p50_ms: f64,
    /// The same at the 99th percentile.
    pub p99_ms: f64,
}

/// What a run leaves behind.
pub(crate) struct Evidence {
    pub(crate) policy: String,
    pub(crate) seed: u64,
    pub(crate) result: Value,
    /// Lines `OUTCOME KIND KEY ID`.
    pub(crate) outcomes: String,
    /// Lines `SERVICE start ID PATH KEY`.
    pub(crate) records: Vec<String>,
    /// The kinds that must never repeat; the deployments use their paths for nothing else.
    pub(crate) non_idempotent: Vec<Kind>,
}

/// Works out the measures of one run.
pub(crate) fn measure(plan: &Plan, evidence: &Evidence) -> Measures {
    let kinds = evidence.result["kinds"]
        .as_array()
        .cloned()
        .unwrap_or_default();
    let sum = |field: &str| {
        kinds
            .iter()
            .filter_map(|kind| kind[field].as_f64())
            .sum::<f64>()
    };
    let step = evidence.result["step_ms"].as_f64().unwrap_or(250.0) / 1000.0;
    let starts = Starts::read(evidence);
    let complete = sum("complete");
    let stress = stress_steps(plan, step);
    let seconds = to_number(stress.len()) * step;
    let stress_whole = total(&kinds, "whole", &stress, None);
    let stress_goodput = stress_whole / seconds.max(step);
    Measures {
        policy: evidence.policy.clone(),
        seed: evidence.seed,
        offered: sum("offered"),
        complete,
        stress_goodput,
        stress_share_of_capacity: stress_goodput / allowed(plan).max(1.0),
        share_by_importance: shares(&kinds, &(0..usize::MAX)),
        stress_share_by_importance: shares(&kinds, &stress),
        recovery_s: recovery(plan, &kinds, step),
        wasted: starts.wasted(),
        executions_per_complete: to_number(starts.total) / complete.max(1.0),
        run_twice: starts.run_twice,
        false_not_run: starts.false_not_run,
        mixups: sum("mixups"),
        attempts_per_request: sum("attempts") / sum("offered").max(1.0),
        p50_ms: worst(&kinds, "p50_us"),
        p99_ms: worst(&kinds, "p99_us"),
    }
}

fn stress_steps(plan: &Plan, step: f64) -> std::ops::Range<usize> {
    to_step(plan.trigger_start(), step)..to_step(plan.trigger_end(), step)
}

/// Returns the mean of what the capacity allows during the surge and triggers.
fn allowed(plan: &Plan) -> f64 {
    const PARTS: u32 = 200;
    let start = plan.trigger_start();
    let length = plan.trigger_end().saturating_sub(start);
    let moments = (0..PARTS).map(|part| start + length * part / PARTS);
    let sum: f64 = moments.map(|moment| allowed_at(plan, moment)).sum();
    sum / f64::from(PARTS)
}

fn allowed_at(plan: &Plan, moment: Duration) -> f64 {
    let lasts = |at: Duration, length: Duration| (at..at + length).contains(&moment);
    let factor = plan.surge.filter(|(at, length, _)| lasts(*at, *length));
    let factor = factor.map_or(1.0, |(_, _, factor)| factor);
    let slow = plan
        .triggers
        .iter()
        .filter(|trigger| lasts(trigger.at, trigger.length));
    let slowed = slow.filter_map(|trigger| trigger.slow.clone()).collect();
    best_goodput(plan, factor, &slowed)
}

/// Returns the sum of a series over some steps, of one importance or of all.
fn total(
    kinds: &[Value],
    series: &str,
    steps: &std::ops::Range<usize>,
    importance: Option<&str>,
) -> f64 {
    let meant = kinds
        .iter()
        .filter(|kind| importance.is_none_or(|name| kind["importance"] == name));
    let counts = meant.flat_map(|kind| {
        let series = kind[series].as_array().cloned().unwrap_or_default();
        let inside = series
            .into_iter()
            .enumerate()
            .filter(|(at, _)| steps.contains(at));
        inside
            .filter_map(|(_, count)| count.as_f64())
            .collect::<Vec<f64>>()
    });
    counts.sum()
}

fn shares(kinds: &[Value], steps: &std::ops::Range<usize>) -> BTreeMap<String, f64> {
    let names = kinds.iter().filter_map(|kind| kind["importance"].as_str());
    let names: BTreeSet<&str> = names.collect();
    let shares = names.into_iter().map(|name| {
        let arrived = total(kinds, "arrived", steps, Some(name));
        let whole = total(kinds, "whole", steps, Some(name));
        (name.to_owned(), whole / arrived.max(1.0))
    });
    shares.collect()
}

/// Returns the seconds from the end of the last trigger until requests complete as before.
fn recovery(plan: &Plan, kinds: &[Value], step: f64) -> Option<f64> {
    let share = |steps: std::ops::Range<usize>| {
        let arrived = total(kinds, "arrived", &steps, None);
        total(kinds, "whole", &steps, None) / arrived.max(1.0)
    };
    let before = share(COLD_STEPS..to_step(plan.trigger_start(), step));
    let end = to_step(plan.trigger_end(), step);
    let last = to_step(plan.length, step);
    let stable = to_step(STABLE_TIME, step);
    let is_good = |at: usize| share(at..at + SMOOTHING) >= before * RECOVERED_SHARE;
    let found = (end..last.saturating_sub(stable))
        .find(|from| (*from..from + stable - SMOOTHING).all(is_good));
    found.map(|from| to_number(from - end) * step)
}

fn worst(kinds: &[Value], field: &str) -> f64 {
    let times = kinds.iter().filter_map(|kind| kind[field].as_f64());
    times.fold(0.0, f64::max) / 1000.0
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn to_step(time: Duration, step: f64) -> usize {
    (time.as_secs_f64() / step).round() as usize
}

#[allow(clippy::cast_precision_loss)]
fn to_number(count: usize) -> f64 {
    count as f64
}

/// What the upstreams have written down.
struct Starts {
    total: usize,
    useful: usize,
    run_twice: u64,
    false_not_run: u64,
}

impl Starts {
    fn read(evidence: &Evidence) -> Self {
        let mut completed = BTreeSet::new();
        let mut refused = BTreeSet::new();
        for line in evidence.outcomes.lines() {
            let words: Vec<&str> = line.split_whitespace().collect();
            match words[..] {
                ["Complete", _, _, id] => {
                    completed.insert(id);
                }
                ["NotRun", _, key, _] => {
                    refused.insert(key);
                }
                _ => {}
            }
        }
        let mut starts = Self {
            total: 0,
            useful: 0,
            run_twice: 0,
            false_not_run: 0,
        };
        let mut once: BTreeMap<(&str, &str, &str), u64> = BTreeMap::new();
        for line in &evidence.records {
            let words: Vec<&str> = line.split_whitespace().collect();
            let [service, "start", id, path, key] = words[..] else {
                continue;
            };
            starts.total += 1;
            starts.useful += usize::from(completed.contains(id));
            starts.false_not_run += u64::from(refused.contains(key));
            *once.entry((service, path, key)).or_default() += 1;
        }
        let kinds = &evidence.non_idempotent;
        let counts = once.iter().filter(|((service, path, _), _)| {
            kinds
                .iter()
                .any(|kind| kind.service.as_str() == *service && kind.route.prefix == *path)
        });
        starts.run_twice = counts.map(|(_, count)| count - 1).sum();
        starts
    }

    fn wasted(&self) -> f64 {
        1.0 - to_number(self.useful) / to_number(self.total.max(1))
    }
}
