//! Upstreams that leave or have left, also on behalf of other nodes.
//!
//! A node that restarts must not send new work to an upstream whose leaving
//! its earlier life acknowledged. The store remembers that, and while it is
//! away the other nodes do.

use std::cell::RefCell;
use std::collections::{HashSet, VecDeque};

use sailtrack_kernel::Service;

use crate::key::UpstreamKey;

/// The most upstreams remembered: 220 replacements a day in a mesh are two days' worth.
const CAPACITY: usize = 512;

/// Upstreams that leave or have left.
#[derive(Debug, Default)]
pub(crate) struct Retired {
    known: RefCell<HashSet<UpstreamKey>>,
    by_age: RefCell<VecDeque<UpstreamKey>>,
}

impl Service for Retired {
    const NAME: &'static str = "retired";
}

impl Retired {
    /// Remembers an upstream; returns false if it was known.
    pub(crate) fn note(&self, upstream: UpstreamKey) -> bool {
        if !self.known.borrow_mut().insert(upstream.clone()) {
            return false;
        }
        let mut by_age = self.by_age.borrow_mut();
        by_age.push_back(upstream);
        if by_age.len() > CAPACITY
            && let Some(oldest) = by_age.pop_front()
        {
            self.known.borrow_mut().remove(&oldest);
        }
        true
    }

    /// Returns true if the upstream leaves or has left.
    pub(crate) fn contains(&self, upstream: &UpstreamKey) -> bool {
        self.known.borrow().contains(upstream)
    }

    /// Returns all of them, the oldest first.
    pub(crate) fn all(&self) -> Vec<UpstreamKey> {
        self.by_age.borrow().iter().cloned().collect()
    }
}
