//! What this node holds against requests under which upstreams ended, and what it tells others.
//!
//! The node beside an upstream that crashed tells all others what ran there,
//! before it answers those requests; each node weighs the same evidence by
//! itself. Nodes that meet tell each other the verdicts that they know.

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

/// The most requests that a node tells others of after one crash, those first that were there
/// before: 26 bytes each, so 7 KB to each node, at any number of nodes.
const MOST_REPORTED: usize = 256;

/// What this node holds against requests under which upstreams ended.
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

    /// Returns what is held against a request.
    pub(crate) fn standing(&self, identity: &Identity) -> Standing {
        let ledger = self.ledger.borrow();
        // Nearly always nothing is held against any request, and no clock is read.
        if ledger.is_empty() {
            return Standing::Clear;
        }
        ledger.standing(identity, clock::now())
    }

    /// Takes in that the own upstream crashed, and tells all other nodes.
    pub(crate) fn record_crash(&self, upstream: &UpstreamKey, ran: &[Rc<Context>]) {
        self.events.log_crash(upstream, ran);
        self.metrics.record_crash();
        let now = clock::now();
        let ledger = self.ledger.borrow();
        let ran = ran.iter().map(|one| Execution {
            succeeded_recently: ledger.succeeded_recently(&one.identity, now),
            ..one.ran()
        });
        let mut ran: Vec<Execution> = ran.collect();
        drop(ledger);
        ran.sort_by_key(|one| std::cmp::Reverse(one.known_crashes));
        let is_whole = ran.len() <= MOST_REPORTED;
        ran.truncate(MOST_REPORTED);
        self.take_crash(&upstream.to_string(), &ran, is_whole);
        self.status
            .broadcast(&Body::Evidence(wire::crash(upstream, &ran, is_whole)));
    }

    /// Takes in that a life of an upstream beside another node ended under requests that this one
    /// had sent there, since the other node ended as well and could not tell.
    pub(crate) fn record_remote_crash(&self, upstream: &UpstreamKey, ran: &[Execution]) {
        self.take_crash(&upstream.to_string(), ran, false);
        self.status
            .broadcast(&Body::Evidence(wire::crash(upstream, ran, false)));
    }

    /// Takes in that a request was answered to its end.
    pub(crate) fn record_success(&self, identity: &Identity) {
        let before = self
            .ledger
            .borrow_mut()
            .record_success(identity, clock::now());
        if before.is_restricted() {
            self.events.log_cleared(identity, &"it ended well");
            self.status
                .broadcast(&Body::Evidence(wire::cleared(identity)));
        }
    }

    /// Takes in that the own upstream answered a request.
    pub(crate) fn record_answer(&self, identity: &Identity) {
        let mut ledger = self.ledger.borrow_mut();
        ledger.remember_success(identity, clock::now());
    }

    /// Clears a request on an operator's word; returns true if something was held against it.
    pub(crate) fn lift(&self, identity: &Identity) -> bool {
        let was_known = self.ledger.borrow_mut().clear(identity, clock::now());
        self.events.log_cleared(identity, &"an operator lifted it");
        self.status
            .broadcast(&Body::Evidence(wire::cleared(identity)));
        was_known
    }

    /// Takes in what another node knows.
    pub(crate) fn merge(&self, evidence: &Evidence) {
        let now = clock::now();
        let (crash, cleared, held) = wire::read(evidence);
        if let Some(crash) = crash {
            self.events.log_remote_crash(&crash.life, crash.ran.len());
            self.take_crash(&crash.life, &crash.ran, crash.is_whole);
        }
        let mut ledger = self.ledger.borrow_mut();
        for identity in &cleared {
            if ledger.clear(identity, now) {
                self.events.log_cleared(identity, &"another node said so");
            }
        }
        for record in &held {
            ledger.merge(record, now);
        }
    }

    /// Returns what a node that connects is to know, if there is anything.
    pub(crate) fn snapshot(&self) -> Option<Body> {
        let records = self.ledger.borrow().snapshot(clock::now());
        (!records.is_empty()).then(|| Body::Evidence(wire::held(&records)))
    }

    /// Returns all requests that are on trial or in quarantine, the newest first.
    pub(crate) fn records(&self) -> Vec<Record> {
        self.ledger.borrow().records(clock::now())
    }

    /// Returns how many requests are suspected, on trial or in quarantine, and in quarantine.
    pub(crate) fn counts(&self) -> (usize, usize) {
        let ledger = self.ledger.borrow();
        (ledger.len(), ledger.quarantined_count(clock::now()))
    }

    fn take_crash(&self, incarnation: &str, in_flight: &[Execution], is_complete: bool) {
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
