//! Upstreams that are leaving or have left, of all nodes.
//!
//! A node that restarts must not send new requests to an upstream whose
//! farewell its previous incarnation acknowledged. The store keeps that
//! information, and the other nodes do while the store is unavailable.

use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};

use displaydoc::Display;
use sailtrack_kernel::Service;
use sailtrack_log::{catalogue, emit};
use sailtrack_units::NodeName;

use crate::key::UpstreamKey;

/// The maximum number of entries: two days' worth at 220 replacements a day in a mesh.
const CAPACITY: usize = 512;

/// Why an incarnation counts as retired.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub(crate) enum Reason {
    /// goodbye
    Deregistered,
    /// leaving
    Draining,
    /// said so in a response
    Response,
    /// another upstream has its address
    Replaced,
    /// the store has its row
    Stored,
    /// told by {0}
    Told(NodeName),
}

/// Is called with each new entry.
type Observer = Box<dyn Fn(&UpstreamKey, &Reason)>;

/// Incarnations of upstreams that are leaving or have left.
#[derive(Default)]
pub(crate) struct Retired {
    by_id: RefCell<HashMap<String, Vec<UpstreamKey>>>,
    by_age: RefCell<VecDeque<UpstreamKey>>,
    observers: RefCell<Vec<Observer>>,
}

impl Service for Retired {
    const NAME: &'static str = "retired";
}

impl Retired {
    /// Calls `observer` with each entry that is added from now on.
    pub(crate) fn on_added(&self, observer: impl Fn(&UpstreamKey, &Reason) + 'static) {
        self.observers.borrow_mut().push(Box::new(observer));
    }

    /// Adds an incarnation, unless it is known.
    pub(crate) fn note(&self, upstream: &UpstreamKey, reason: &Reason) {
        let mut by_id = self.by_id.borrow_mut();
        let incarnations = by_id.entry(upstream.id().to_owned()).or_default();
        if incarnations.contains(upstream) {
            return;
        }
        incarnations.push(upstream.clone());
        drop(by_id);
        self.by_age.borrow_mut().push_back(upstream.clone());
        self.forget_oldest();
        emit(
            &catalogue::RETIREMENT_KNOWN,
            &[("upstream", upstream), ("reason", reason)],
        );
        for observer in self.observers.borrow().iter() {
            observer(upstream, reason);
        }
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
        if let Some(incarnations) = by_id.get_mut(oldest.id()) {
            incarnations.retain(|incarnation| *incarnation != oldest);
            if incarnations.is_empty() {
                by_id.remove(oldest.id());
            }
        }
    }

    /// Returns true if this incarnation is leaving or has left, or may have: a key without start
    /// time matches all incarnations with its id.
    pub(crate) fn contains(&self, upstream: &UpstreamKey) -> bool {
        self.find(upstream).is_some()
    }

    /// Returns the entry that matches an incarnation.
    pub(crate) fn find(&self, upstream: &UpstreamKey) -> Option<UpstreamKey> {
        let by_id = self.by_id.borrow();
        let mut incarnations = by_id.get(upstream.id())?.iter();
        let known = incarnations.find(|incarnation| incarnation.is_same_incarnation(upstream));
        known.cloned()
    }

    /// Returns all entries, the oldest first.
    pub(crate) fn all(&self) -> Vec<UpstreamKey> {
        self.by_age.borrow().iter().cloned().collect()
    }
}
