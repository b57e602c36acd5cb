//! The measures of all runs side by side.

use std::fmt::Write as _;

use crate::experiment::measure::Measures;
use crate::experiment::plan::Plan;

/// What stands in the place of a recovery that was not seen.
const NEVER: &str = "never";
/// What stands in the place of a share of nothing.
const NONE_SENT: &str = "none sent";
/// What stands in the place of a measure that every run has.
const MISSING: &str = "missing";

/// One line of the table.
struct Line {
    name: &'static str,
    /// What stands there if no run has this measure.
    absent: &'static str,
    read: fn(&Measures) -> Option<f64>,
}

impl Line {
    const fn new(name: &'static str, read: fn(&Measures) -> Option<f64>) -> Self {
        Self {
            name,
            absent: MISSING,
            read,
        }
    }

    const fn or(self, absent: &'static str) -> Self {
        Self { absent, ..self }
    }
}

const LINES: [Line; 13] = [
    Line::new("whole requests a second under stress", |m| {
        Some(m.stress_goodput)
    }),
    Line::new("the same, % of what capacity allows", |m| {
        Some(100.0 * m.stress_share_of_capacity)
    }),
    Line::new("critical completed under stress, %", |m| {
        importance(m, "critical")
    })
    .or(NONE_SENT),
    Line::new("high completed under stress, %", |m| importance(m, "high")).or(NONE_SENT),
    Line::new("normal completed under stress, %", |m| {
        importance(m, "normal")
    })
    .or(NONE_SENT),
    Line::new("low completed under stress, %", |m| importance(m, "low")).or(NONE_SENT),
    Line::new("recovery time, s", |m| m.recovery_s).or(NEVER),
    Line::new("executions wasted, %", |m| Some(100.0 * m.wasted)),
    Line::new("executions for each completed request", |m| {
        Some(m.executions_per_complete)
    }),
    Line::new("client attempts for each request", |m| {
        Some(m.attempts_per_request)
    }),
    Line::new("non-idempotent executions run twice", |m| {
        to_number(m.run_twice)
    }),
    Line::new("false \"not run\"", |m| to_number(m.false_not_run)),
    Line::new("p99 of a completed request, ms", |m| Some(m.p99_ms)),
];

#[allow(clippy::cast_precision_loss, clippy::unnecessary_wraps)]
fn to_number(count: u64) -> Option<f64> {
    Some(count as f64)
}

fn importance(measures: &Measures, name: &str) -> Option<f64> {
    measures
        .stress_share_by_importance
        .get(name)
        .map(|share| 100.0 * share)
}

/// Returns a Markdown table: the mean over the seeds, with the least and the greatest.
pub(crate) fn render(plan: &Plan, all: &[Measures]) -> String {
    let mut text = format!("| {} |", plan.name);
    for policy in &plan.policies {
        // Writing to a string does not fail.
        let _ = write!(text, " {} |", policy.mode);
    }
    text.push_str("\n| --- |");
    text.push_str(&" --- |".repeat(plan.policies.len()));
    for line in &LINES {
        let _ = write!(text, "\n| {} |", line.name);
        for policy in &plan.policies {
            let runs = all.iter().filter(|measures| measures.policy == policy.mode);
            let values: Vec<Option<f64>> = runs.map(line.read).collect();
            let _ = write!(text, " {} |", cell(&values, line.absent));
        }
    }
    text
}

fn cell(values: &[Option<f64>], absent: &str) -> String {
    let known: Vec<f64> = values.iter().flatten().copied().collect();
    let missing = values.len() - known.len();
    if known.is_empty() {
        return absent.to_owned();
    }
    let least = known.iter().copied().fold(f64::MAX, f64::min);
    let greatest = known.iter().copied().fold(f64::MIN, f64::max);
    let count = u32::try_from(known.len()).unwrap_or(1);
    let mean = known.iter().sum::<f64>() / f64::from(count);
    let never = if missing > 0 {
        format!(", {absent} in {missing}")
    } else {
        String::new()
    };
    format!("{mean:.1} ({least:.1} to {greatest:.1}{never})")
}
