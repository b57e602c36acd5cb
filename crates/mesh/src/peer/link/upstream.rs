//! What is known of the upstream of another node.
//!
//! It is kept while the node is not connected: a node that restarts learns from the requests of its
//! peers what its upstream demanded before.

#[cfg(test)]
mod tests;

use std::cell::{Cell, RefCell};

use sailtrack_wire::{Presence, RateLimit as RateLimitMessage};

use crate::key::UpstreamKey;
use crate::rate_limit::RateLimit;
use crate::request::Response;

/// The upstream of another node, as that node reports it.
#[derive(Debug, Default)]
pub(super) struct Upstream {
    /// The incarnation that last accepted requests, empty if there was none.
    incarnation: RefCell<String>,
    slots: Cell<u32>,
    rate_limit: Cell<RateLimit>,
    /// The last incarnation that is known to be leaving.
    leaving: RefCell<Option<UpstreamKey>>,
    /// Whether that is the current one.
    is_leaving: Cell<bool>,
}

impl Upstream {
    /// Returns the incarnation that last accepted requests.
    pub(super) fn incarnation(&self) -> String {
        self.incarnation.borrow().clone()
    }

    /// Returns how many requests it processes concurrently.
    pub(super) fn slots(&self) -> u32 {
        self.slots.get()
    }

    /// Sets how many requests it processes concurrently.
    pub(super) fn set_slots(&self, slots: u32) {
        self.slots.set(slots);
    }

    /// Returns true if the current incarnation is known to be leaving.
    pub(super) fn is_leaving(&self) -> bool {
        self.is_leaving.get()
    }

    /// Returns true if its last response named no rate limit.
    pub(super) fn is_unlimited(&self) -> bool {
        self.rate_limit.get() == RateLimit::Unlimited
    }

    /// Applies a presence message; returns true if it reports another incarnation.
    pub(super) fn apply_presence(&self, presence: &Presence) -> bool {
        let is_other =
            !presence.upstream.is_empty() && *self.incarnation.borrow() != presence.upstream;
        if is_other {
            self.set_incarnation(&presence.upstream);
        }
        self.set_rate_limit(RateLimit::from_wire(presence.rate_limit.as_ref()));
        is_other
    }

    /// Applies what a response says about its upstream.
    pub(super) fn apply_response(&self, response: &Response) {
        self.set_rate_limit(response.rate_limit);
        if let Some(leaving) = &response.leaving {
            self.set_leaving(leaving);
        }
    }

    /// Records that an incarnation retired, if it is the current one.
    pub(super) fn record_retirement(&self, retired: &UpstreamKey) {
        // Most retirements concern other nodes' upstreams, and parsing a key costs more.
        if !self.incarnation.borrow().starts_with(retired.id()) {
            return;
        }
        let current = self.incarnation.borrow().parse::<UpstreamKey>();
        if current.is_ok_and(|current| current.is_same_incarnation(retired)) {
            self.set_leaving(retired);
        }
    }

    fn set_leaving(&self, leaving: &UpstreamKey) {
        self.leaving.replace(Some(leaving.clone()));
        self.update_leaving();
    }

    /// Returns the message that tells the node which rate limit its upstream named.
    pub(super) fn rate_limit_to_wire(&self) -> Option<RateLimitMessage> {
        let limited = self.rate_limit.get().rate().is_some();
        let message = self.rate_limit.get().to_wire().filter(|_| limited)?;
        Some(RateLimitMessage {
            upstream: self.incarnation(),
            ..message
        })
    }

    fn set_incarnation(&self, incarnation: &str) {
        let previous = self.incarnation.replace(incarnation.to_owned());
        let keys = (previous.parse(), incarnation.parse());
        let is_same = |previous: &UpstreamKey, current| previous.is_same_incarnation(current);
        // A start time that was not known before makes no difference.
        if !matches!(&keys, (Ok(previous), Ok(current)) if is_same(previous, current)) {
            self.rate_limit.set(RateLimit::Unknown);
        }
        self.update_leaving();
    }

    fn set_rate_limit(&self, limit: RateLimit) {
        if limit != RateLimit::Unknown {
            self.rate_limit.set(limit);
        }
    }

    fn update_leaving(&self) {
        let current = self.incarnation.borrow().parse::<UpstreamKey>().ok();
        let leaving = self.leaving.borrow();
        let is_leaving = leaving
            .as_ref()
            .zip(current.as_ref())
            .is_some_and(|(leaving, current)| leaving.is_same_incarnation(current));
        self.is_leaving.set(is_leaving);
    }
}
