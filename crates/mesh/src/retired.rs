//! Upstreams that leave or have left, also on behalf of other nodes.
//!
//! A node that restarts must not send new work to an upstream whose leaving
//! its earlier life acknowledged. The store remembers that, and while it is
//! away the other nodes do.

use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};

use sailtrack_kernel::Service;

use crate::key::UpstreamKey;

/// The most upstreams remembered: 220 replacements a day in a mesh are two days' worth.
const CAPACITY: usize = 512;

/// Lives of upstreams that leave or have left.
#[derive(Debug, Default)]
pub(crate) struct Retired {
    by_id: RefCell<HashMap<String, Vec<UpstreamKey>>>,
    by_age: RefCell<VecDeque<UpstreamKey>>,
}

impl Service for Retired {
    const NAME: &'static str = "retired";
}

impl Retired {
    /// Remembers a life; returns false if it was known.
    pub(crate) fn note(&self, upstream: UpstreamKey) -> bool {
        let mut by_id = self.by_id.borrow_mut();
        let lives = by_id.entry(upstream.id().to_owned()).or_default();
        if lives.contains(&upstream) {
            return false;
        }
        lives.push(upstream.clone());
        drop(by_id);
        self.by_age.borrow_mut().push_back(upstream);
        self.forget_oldest();
        true
    }

    fn forget_oldest(&self) {
        let mut by_age = self.by_age.borrow_mut();
        if by_age.len() <= CAPACITY {
            return;
        }
        let Some(oldest) = by_age.pop_front() else {
            return;
        };
        let mut by_id = self.by_id.borrow_mut();
        if let Some(lives) = by_id.get_mut(oldest.id()) {
            lives.retain(|life| *life != oldest);
            if lives.is_empty() {
                by_id.remove(oldest.id());
            }
        }
    }

    /// Returns true if this life leaves or has left, or may have: one that does not tell its start
    /// may be any with its id.
    pub(crate) fn contains(&self, upstream: &UpstreamKey) -> bool {
        let by_id = self.by_id.borrow();
        let lives = by_id.get(upstream.id());
        lives.is_some_and(|lives| lives.iter().any(|life| life.is_same_incarnation(upstream)))
    }

    /// Returns all of them, the oldest first.
    pub(crate) fn all(&self) -> Vec<UpstreamKey> {
        self.by_age.borrow().iter().cloned().collect()
    }
}
