//! What one node tells another about a request.

use std::time::Duration;

use crate::identity::Identity;

/// What one node holds against a request, in times that need no common clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Record {
    /// The request.
    pub identity: Identity,
    /// How many crashes followed each other under it.
    pub consecutive_crashes: u8,
    /// How long ago the last crash was.
    pub age: Duration,
    /// How much of its quarantine is left, if it is in any.
    pub remaining: Duration,
    /// How often it was put into quarantine.
    pub quarantine_count: u8,
    /// It ended well lately before an upstream ended under it.
    pub succeeded_recently: bool,
}
