//! Non-idempotent requests whose outcome is unknown, kept until an operator settles them.

use std::cell::RefCell;
use std::collections::BTreeMap;

use sailtrack_kernel::Service;
use sailtrack_log::{catalogue, emit};
use sailtrack_units::{KindName, NodeName, RequestId, Ticket, Timestamp};
use sailtrack_wire::Reason;
use serde::{Deserialize, Serialize};

use crate::call::{Call, reason_word};

/// Limit on the unknown outcomes kept on one node.
const MAX_OPEN: usize = 10_000;

/// A request with an unknown outcome.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Unknown {
    pub(crate) ticket: String,
    pub(crate) request: String,
    pub(crate) kind: KindName,
    pub(crate) reason: String,
    pub(crate) since: Timestamp,
    /// The node that recorded it.
    pub(crate) node: NodeName,
}

/// The unknown outcomes recorded by this node.
pub(crate) struct Unknowns {
    node: NodeName,
    open: RefCell<BTreeMap<String, Unknown>>,
    unsaved: RefCell<Vec<Unknown>>,
    resolved: RefCell<Vec<String>>,
}

impl Service for Unknowns {
    const NAME: &'static str = "unknown-outcomes";
}

impl Unknowns {
    pub(crate) fn new(node: NodeName) -> Self {
        Self {
            node,
            open: RefCell::default(),
            unsaved: RefCell::default(),
            resolved: RefCell::default(),
        }
    }

    /// Records that the outcome of a call is unknown.
    pub(crate) fn record(&self, call: &Call, ticket: &Ticket, reason: Reason) {
        let mut open = self.open.borrow_mut();
        let key = ticket.to_string();
        if open.contains_key(&key) || open.len() >= MAX_OPEN {
            return;
        }
        let unknown = Unknown {
            ticket: key.clone(),
            request: call.request.to_string(),
            kind: call.kind.clone(),
            reason: reason_word(reason).to_owned(),
            since: Timestamp::now(),
            node: self.node.clone(),
        };
        let request: RequestId = call.request;
        emit(
            &catalogue::OUTCOME_UNKNOWN,
            &[
                ("request", &request),
                ("kind", &call.kind),
                ("reason", &unknown.reason),
            ],
        );
        self.unsaved.borrow_mut().push(unknown.clone());
        open.insert(key, unknown);
    }

    /// Removes a request whose outcome has become known.
    pub(crate) fn resolve(&self, ticket: &Ticket) {
        self.forget(&ticket.to_string());
    }

    /// Removes the request with this ticket; returns true if it was recorded.
    pub(crate) fn forget(&self, ticket: &str) -> bool {
        let was_open = self.open.borrow_mut().remove(ticket).is_some();
        if was_open {
            self.resolved.borrow_mut().push(ticket.to_owned());
        }
        was_open
    }

    /// Returns the unsettled requests, oldest first.
    pub(crate) fn open(&self) -> Vec<Unknown> {
        let mut open: Vec<Unknown> = self.open.borrow().values().cloned().collect();
        open.sort_by_key(|unknown| unknown.since);
        open
    }

    /// Takes the outcomes that have not been written to the platform yet.
    pub(crate) fn drain_unsaved(&self) -> Vec<Unknown> {
        std::mem::take(&mut self.unsaved.borrow_mut())
    }

    /// Takes the tickets whose rows on the platform are to be removed.
    pub(crate) fn drain_resolved(&self) -> Vec<String> {
        std::mem::take(&mut self.resolved.borrow_mut())
    }

    /// Puts back an outcome that could not be written.
    pub(crate) fn put_back(&self, unknown: Unknown) {
        self.unsaved.borrow_mut().push(unknown);
    }
}
