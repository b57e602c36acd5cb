//! Call counts in one time step.

use std::collections::BTreeMap;

use sailtrack_units::Timestamp;
use serde::{Deserialize, Serialize};

/// The call counts of one kind of request in one time step.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(crate) struct Step {
    /// The time of the step.
    pub(crate) at: Timestamp,
    /// Calls that ran and did not fail.
    pub(crate) good: u64,
    /// Calls that ran and failed.
    pub(crate) failed: u64,
    /// Calls whose outcome is unknown.
    pub(crate) unknown: u64,
    /// Calls that did not run, by reason.
    pub(crate) refused: BTreeMap<String, u64>,
}

impl Step {
    /// Returns the number of calls that were not good.
    pub(crate) fn bad(&self) -> u64 {
        self.failed + self.unknown + self.refused.values().sum::<u64>()
    }

    /// Adds the counts of another step.
    pub(crate) fn add(&mut self, other: &Self) {
        self.good += other.good;
        self.failed += other.failed;
        self.unknown += other.unknown;
        for (reason, count) in &other.refused {
            *self.refused.entry(reason.clone()).or_default() += count;
        }
    }
}
