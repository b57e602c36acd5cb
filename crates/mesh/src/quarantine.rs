//! Evidence against requests during which upstreams crashed, and its exchange
//! between nodes.
//!
//! Before it answers the requests that ran in a crashed upstream, the node next
//! to that upstream broadcasts their identities to all other nodes. Each node
//! evaluates the same evidence on its own. Nodes that connect to each other
//! exchange the verdicts that they know.

mod wire;

use std::cell::RefCell;
use std::rc::Rc;

use sailtrack_kernel::Service;
use sailtrack_log::{catalogue, emit};
use sailtrack_quarantine::{Crash, Execution, Identity, Ledger, Record, Standing};
use sailtrack_wire::{Body, Evidence};

use crate::clock;
use crate::contexts::Context;
use crate::events::Events;
use crate::key::UpstreamKey;
use crate::metrics::Metrics;
use crate::status::Status;

/// The maximum number of requests reported after a crash; those with the most known crashes take
/// precedence. At 26 bytes each this is 7 KB per receiving node, whatever the number of nodes.
const MAX_REPORTED: usize = 256;

/// Evidence of this node against requests during which upstreams crashed.
pub(crate) struct Quarantine {
    ledger: RefCell<Ledger>,
    status: Rc<Status>,
    events: Rc<Events>,
    metrics: Rc<Metrics>,
}

impl Service for Quarantine {
    const NAME: &'static str = "quarantine";
}

impl Quarantine {
    pub(crate) fn new(status: Rc<Status>, events: Rc<Events>, metrics: Rc<Metrics>) -> Self {
        Self {
            ledger: RefCell::default(),
            status,
            events,
            metrics,
        }
    }

    /// Returns whether a request is clear, a suspect, on trial or in quarantine.
    pub(crate) fn standing(&self, identity: &Identity) -> Standing {
        let ledger = self.ledger.borrow();
        // Fast path without reading the clock: nearly always there is no evidence at all.
        if ledger.is_empty() {
            return Standing::Clear;
        }
        ledger.standing(identity, clock::now())
    }

    /// Records a crash of the local upstream and broadcasts the evidence to all other nodes.
    pub(crate) fn record_crash(&self, upstream: &UpstreamKey, in_flight: &[Rc<Context>]) {
        self.events.log_crash(upstream, in_flight);
        self.metrics.record_crash();
        let now = clock::now();
        let ledger = self.ledger.borrow();
        let in_flight = in_flight.iter().map(|context| Execution {
            succeeded_recently: ledger.succeeded_recently(&context.identity, now),
            ..context.execution()
        });
        let mut in_flight: Vec<Execution> = in_flight.collect();
        drop(ledger);
        in_flight.sort_by_key(|execution| std::cmp::Reverse(execution.known_crashes));
        let is_complete = in_flight.len() <= MAX_REPORTED;
        in_flight.truncate(MAX_REPORTED);
        self.apply_crash(&upstream.to_string(), &in_flight, is_complete);
        self.status.broadcast(&Body::Evidence(wire::encode_crash(
            upstream,
            &in_flight,
            is_complete,
        )));
    }

    /// Records and broadcasts a crash of another node's upstream, from the requests that this node
    /// had sent there: that node has failed as well and can't report the crash.
    pub(crate) fn record_remote_crash(&self, upstream: &UpstreamKey, in_flight: &[Execution]) {
        self.apply_crash(&upstream.to_string(), in_flight, false);
        self.status.broadcast(&Body::Evidence(wire::encode_crash(
            upstream, in_flight, false,
        )));
    }

    /// Records that a request was answered completely, which clears it.
    pub(crate) fn record_success(&self, identity: &Identity) {
        let before = self
            .ledger
            .borrow_mut()
            .record_success(identity, clock::now());
        if before.is_restricted() {
            self.events.log_cleared(identity, &"it succeeded");
            self.status
                .broadcast(&Body::Evidence(wire::encode_cleared(identity)));
        }
    }

    /// Records that the local upstream answered a request, without clearing it.
    pub(crate) fn record_response(&self, identity: &Identity) {
        let mut ledger = self.ledger.borrow_mut();
        ledger.remember_success(identity, clock::now());
    }

    /// Clears a request on an operator's command; returns true if there was evidence against it.
    pub(crate) fn lift(&self, identity: &Identity) -> bool {
        let had_evidence = self.ledger.borrow_mut().clear(identity, clock::now());
        self.events.log_cleared(identity, &"lifted by an operator");
        self.status
            .broadcast(&Body::Evidence(wire::encode_cleared(identity)));
        had_evidence
    }

    /// Merges evidence from another node.
    pub(crate) fn merge(&self, evidence: &Evidence) {
        let now = clock::now();
        let (crash, cleared, verdicts) = wire::decode(evidence);
        if let Some(crash) = crash {
            self.events
                .log_remote_crash(&crash.incarnation, crash.in_flight.len());
            self.apply_crash(&crash.incarnation, &crash.in_flight, crash.is_complete);
        }
        let mut ledger = self.ledger.borrow_mut();
        for identity in &cleared {
            if ledger.clear(identity, now) {
                self.events
                    .log_cleared(identity, &"cleared by another node");
            }
        }
        for record in &verdicts {
            ledger.merge(record, now);
        }
    }

    /// Returns the verdicts for a node that connects, or `None` if there are none.
    pub(crate) fn snapshot(&self) -> Option<Body> {
        let records = self.ledger.borrow().snapshot(clock::now());
        (!records.is_empty()).then(|| Body::Evidence(wire::encode_verdicts(&records)))
    }

    /// Returns all requests that are on trial or in quarantine, the newest first.
    pub(crate) fn records(&self) -> Vec<Record> {
        self.ledger.borrow().records(clock::now())
    }

    /// Returns how many requests are suspected, on trial or in quarantine, and how many of these
    /// are in quarantine.
    pub(crate) fn counts(&self) -> (usize, usize) {
        let ledger = self.ledger.borrow();
        (ledger.len(), ledger.quarantined_count(clock::now()))
    }

    fn apply_crash(&self, incarnation: &str, in_flight: &[Execution], is_complete: bool) {
        let crash = Crash {
            incarnation,
            in_flight,
            is_complete,
        };
        let verdicts = self.ledger.borrow_mut().record_crash(crash, clock::now());
        for identity in verdicts {
            let standing = self.standing(&identity);
            if let Standing::Quarantined { remaining } = standing {
                emit(
                    &catalogue::REQUEST_QUARANTINED,
                    &[
                        ("identity", &identity),
                        ("upstream", &incarnation),
                        ("time_s", &remaining.as_secs()),
                    ],
                );
                self.metrics.record_quarantine();
            }
        }
    }
}
