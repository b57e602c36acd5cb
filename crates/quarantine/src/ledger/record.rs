//! The exchange format for crash evidence between nodes.

use std::time::Duration;

use crate::identity::Identity;

/// A request on trial or in quarantine, as one node reports it to another. Times are relative, so
/// the nodes need no common clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Record {
    /// The request.
    pub identity: Identity,
    /// The number of consecutive crashes it was in flight at.
    pub consecutive_crashes: u8,
    /// The time since the last crash.
    pub age: Duration,
    /// The remaining quarantine, zero if there is none.
    pub remaining: Duration,
    /// How often it was put into quarantine.
    pub quarantine_count: u8,
    /// It succeeded shortly before an upstream crashed while running it.
    pub succeeded_recently: bool,
}
