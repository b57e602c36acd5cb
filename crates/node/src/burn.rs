//! Outcomes of calls over time, for reports on error-budget burn rates.

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use sailtrack_kernel::Service;
use sailtrack_units::{KindName, Period, Timestamp};
use sailtrack_wire::Outcome;
use serde::Serialize;

use crate::call::{Answer, reason_word};

/// Duration of one step.
pub(crate) const STEP: Duration = Duration::from_secs(5);
/// Number of steps kept: 90 minutes.
const STEPS: usize = 1080;

/// The outcome counts of one kind in one step.
#[derive(Debug, Clone, Default, Serialize)]
pub(crate) struct Step {
    at: Timestamp,
    good: u64,
    failed: u64,
    unknown: u64,
    refused: BTreeMap<&'static str, u64>,
}

/// The outcome counts of each kind over time.
#[derive(Default)]
pub(crate) struct Burn {
    kinds: RefCell<BTreeMap<KindName, VecDeque<Step>>>,
}

impl Service for Burn {
    const NAME: &'static str = "burn";
}

impl Burn {
    /// Counts the final answer to a call.
    pub(crate) fn record(&self, kind: &KindName, answer: &Answer) {
        let mut kinds = self.kinds.borrow_mut();
        if !kinds.contains_key(kind) {
            kinds.insert(kind.clone(), VecDeque::new());
        }
        let Some(steps) = kinds.get_mut(kind) else {
            return;
        };
        let step = current_step(steps);
        match answer.outcome {
            Outcome::Done if answer.is_success() => step.good += 1,
            Outcome::Done => step.failed += 1,
            Outcome::Unknown => step.unknown += 1,
            Outcome::NotRun => {
                *step.refused.entry(reason_word(answer.reason)).or_default() += 1;
            }
        }
    }

    /// Returns the steps of each kind, oldest first.
    pub(crate) fn steps(&self) -> BTreeMap<KindName, Vec<Step>> {
        let kinds = self.kinds.borrow();
        let steps = kinds.iter().map(|(kind, steps)| {
            let steps = steps.iter().cloned().collect();
            (kind.clone(), steps)
        });
        steps.collect()
    }
}

/// Returns the current step, and starts a new one if necessary.
fn current_step(steps: &mut VecDeque<Step>) -> &mut Step {
    let millis = Period::as_millis(Period(STEP));
    let at = Timestamp(Timestamp::now().0 / millis * millis);
    if steps.back().is_none_or(|last| last.at < at) {
        if steps.len() >= STEPS {
            steps.pop_front();
        }
        steps.push_back(Step {
            at,
            ..Step::default()
        });
    }
    let last = steps.len() - 1;
    &mut steps[last]
}
