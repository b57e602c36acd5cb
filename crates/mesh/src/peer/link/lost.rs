//! The requests that were lost together with a node.
//!
//! A node that ends tells nobody whether its upstream ended before it, and
//! what ran there. Who sent the requests finds that out from the next life of
//! the node: if another life of the upstream stands there, the earlier one
//! ended meanwhile.

use std::cell::RefCell;

use sailtrack_quarantine::Execution;

use crate::key::UpstreamKey;

/// The most requests that are kept for one node.
const MOST_KEPT: usize = 256;

/// The requests that were lost together with a node.
#[derive(Debug, Default)]
pub(super) struct Lost(RefCell<Option<(UpstreamKey, Vec<Execution>)>>);

impl Lost {
    /// Keeps the requests that had been sent to this life of the upstream.
    pub(super) fn keep(&self, upstream: &str, ran: impl Iterator<Item = Execution>) {
        let ran: Vec<Execution> = ran.take(MOST_KEPT).collect();
        // Without a name the node never said what stands beside it, so nothing was sent there.
        let Ok(upstream) = upstream.parse() else {
            return;
        };
        if !ran.is_empty() {
            self.0.replace(Some((upstream, ran)));
        }
    }

    /// Takes in which life stands there now; returns the earlier one, with the requests, if it is
    /// another one.
    pub(super) fn settle(&self, present: &str) -> Option<(UpstreamKey, Vec<Execution>)> {
        let present: UpstreamKey = present.parse().ok()?;
        let (upstream, ran) = self.0.take()?;
        (!upstream.is_same_incarnation(&present)).then_some((upstream, ran))
    }
}
