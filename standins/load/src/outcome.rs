//! What became of one request as its client sees it.

use serde::Serialize;

/// What became of one request as its client sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Outcome {
    /// It completed whole.
    Complete,
    /// It did not run, and the client was told so.
    NotRun,
    /// It may or may not have run.
    Unknown,
    /// It ran and failed.
    Failed,
    /// The client got the answer to another request.
    Mixup,
}

impl Outcome {
    /// Every outcome.
    pub(crate) const ALL: [Self; 5] = [
        Self::Complete,
        Self::NotRun,
        Self::Unknown,
        Self::Failed,
        Self::Mixup,
    ];
}
