//! What a connection to the local upstream has carried.
//!
//! A request that was rejected is sent again under the same id, perhaps to the same upstream. A
//! late copy of the rejection would then pass for the response to the second attempt, unless that
//! goes on another connection.

use crate::key::AttemptKey;

/// The maximum number of rejected requests that are remembered; a connection that has carried more
/// is not reused.
const MAX_REJECTED: usize = 32;

/// What a connection to the local upstream has carried.
#[derive(Debug)]
pub(super) struct History {
    /// Identifies the connection in log events.
    number: u64,
    /// The requests that were sent on the connection.
    requests: u32,
    /// The requests that were rejected on the connection. No others are sent again.
    rejected: Vec<AttemptKey>,
}

impl History {
    /// Returns the history of a new connection.
    pub(super) fn new(number: u64) -> Self {
        Self {
            number,
            requests: 0,
            rejected: Vec::new(),
        }
    }

    /// Returns the number of the connection in log events.
    pub(super) fn number(&self) -> u64 {
        self.number
    }

    /// Records that a request is sent.
    pub(super) fn record_request(&mut self) {
        self.requests = self.requests.saturating_add(1);
    }

    /// Returns how many requests were sent before the last one.
    pub(super) fn earlier_requests(&self) -> u32 {
        self.requests.saturating_sub(1)
    }

    /// Records that the upstream rejected a request.
    pub(super) fn record_rejection(&mut self, attempt: &AttemptKey) {
        self.rejected.push(attempt.clone());
    }

    /// Returns true if the connection may carry a request: a response on it that names the request
    /// is then the response to this attempt to send it.
    pub(super) fn allows(&self, attempt: &AttemptKey) -> bool {
        !self.rejected.contains(attempt)
    }

    /// Returns true if the connection must not be reused.
    pub(super) fn is_full(&self) -> bool {
        self.rejected.len() > MAX_REJECTED
    }
}
