//! Requests that were lost together with the connection to a node.
//!
//! A node that crashes cannot report whether its upstream crashed first, or
//! which requests were running there. The sender of these requests learns it
//! after reconnecting: if the node then reports another incarnation of its
//! upstream, the earlier incarnation ended in the meantime.

use std::cell::RefCell;

use sailtrack_quarantine::Execution;

use crate::key::UpstreamKey;

/// Maximum number of requests kept per node.
const MAX_REQUESTS: usize = 256;

/// The requests lost together with a connection, and the upstream incarnation they were sent to.
#[derive(Debug, Default)]
pub(super) struct Lost(RefCell<Option<(UpstreamKey, Vec<Execution>)>>);

impl Lost {
    /// Stores the requests that were in flight to an incarnation of the upstream.
    pub(super) fn store(&self, upstream: &str, executions: impl Iterator<Item = Execution>) {
        let executions: Vec<Execution> = executions.take(MAX_REQUESTS).collect();
        // Without an identity the node has not reported an upstream, so no requests were sent.
        let Ok(upstream) = upstream.parse() else {
            return;
        };
        if !executions.is_empty() {
            self.0.replace(Some((upstream, executions)));
        }
    }

    /// Compares the current incarnation with the stored one; returns the stored one, with its
    /// requests, if they differ.
    pub(super) fn settle(&self, current: &str) -> Option<(UpstreamKey, Vec<Execution>)> {
        let current: UpstreamKey = current.parse().ok()?;
        let (upstream, executions) = self.0.take()?;
        (!upstream.is_same_incarnation(&current)).then_some((upstream, executions))
    }
}
