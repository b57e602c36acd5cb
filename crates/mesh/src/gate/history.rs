//! What a connection to the local upstream has carried.

/// What a connection to the local upstream has carried.
#[derive(Debug)]
pub(super) struct History {
    /// Identifies the connection in log events.
    number: u64,
    /// The requests that were sent on the connection.
    requests: u32,
}

impl History {
    /// Returns the history of a new connection.
    pub(super) fn new(number: u64) -> Self {
        Self {
            number,
            requests: 0,
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
}
