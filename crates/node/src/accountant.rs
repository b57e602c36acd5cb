//! Accounts for the retries that a client makes with the same request id.
//!
//! Each request id is assigned to one node by rendezvous hashing, so the limit holds whichever
//! nodes the client sends its retries to.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

use sailtrack_kernel::Service;
use sailtrack_net::task::Guard;
use sailtrack_units::RequestId;
use sailtrack_wire::{Outcome, Reason};

use crate::call::{Answer, Call};
use crate::dispatch::Dispatcher;
use crate::peer::Peers;
use crate::retry::Budget;
use crate::routing::{Routing, Target};

/// How long a request id is kept.
const RETENTION: Duration = Duration::from_mins(1);
/// Limit on the request ids kept.
const MAX_RECORDS: usize = 50_000;

/// The record of a request id.
#[derive(Clone)]
struct Record {
    budget: Budget,
    /// Whether an attempt is running or may have run.
    may_have_run: Rc<Cell<bool>>,
}

/// Accounts for client requests and dispatches them.
pub(crate) struct Accountant {
    dispatcher: Rc<Dispatcher>,
    routing: Rc<Routing>,
    peers: Rc<Peers>,
    records: RefCell<HashMap<RequestId, Record>>,
    by_arrival: RefCell<VecDeque<(Instant, RequestId)>>,
}

impl Service for Accountant {
    const NAME: &'static str = "entrance";
}

impl Accountant {
    pub(crate) fn new(dispatcher: Rc<Dispatcher>, routing: Rc<Routing>, peers: Rc<Peers>) -> Self {
        Self {
            dispatcher,
            routing,
            peers,
            records: RefCell::default(),
            by_arrival: RefCell::default(),
        }
    }

    /// Handles a client's request with an id chosen by the client, on the node that accounts for
    /// the id if that is reachable.
    pub(crate) async fn submit(&self, call: Call) -> Answer {
        let accounting_node = self.routing.accounting_node(&call.service, call.request);
        let Some(Target::Remote(peer)) = accounting_node else {
            return self.account(call).await;
        };
        let answer = self.peers.call_entry(&peer, &call).await;
        let unreachable = answer.outcome == Outcome::NotRun && answer.reason == Reason::Connection;
        if unreachable {
            return self.account(call).await;
        }
        answer
    }

    /// Accounts for one attempt and dispatches it.
    pub(crate) async fn account(&self, call: Call) -> Answer {
        let _held = Guard::new(&self.dispatcher.executor.in_flight);
        let record = self.record_for(&call);
        if record.may_have_run.get() && !record.budget.spend() {
            let answer = Answer::unknown(Reason::Allowance);
            return self.dispatcher.executor.retry_later(answer);
        }
        let had_run = record.may_have_run.replace(true);
        let answer = self.dispatcher.dispatch(call, &record.budget).await;
        if answer.outcome != Outcome::NotRun {
            return answer;
        }
        record.may_have_run.set(had_run);
        after_refusal(answer, had_run)
    }

    fn record_for(&self, call: &Call) -> Record {
        let now = Instant::now();
        self.evict_old(now);
        let mut records = self.records.borrow_mut();
        if let Some(record) = records.get(&call.request) {
            return record.clone();
        }
        let fresh = Record {
            budget: Budget::new(call.allowance),
            may_have_run: Rc::default(),
        };
        records.insert(call.request, fresh.clone());
        self.by_arrival.borrow_mut().push_back((now, call.request));
        fresh
    }

    fn evict_old(&self, now: Instant) {
        let mut by_arrival = self.by_arrival.borrow_mut();
        let mut records = self.records.borrow_mut();
        while let Some((arrived, request)) = by_arrival.front().copied() {
            let is_old = now.saturating_duration_since(arrived) >= RETENTION;
            if !is_old && records.len() < MAX_RECORDS {
                return;
            }
            records.remove(&request);
            by_arrival.pop_front();
        }
    }

    /// Returns the number of request ids kept.
    pub(crate) fn len(&self) -> usize {
        self.records.borrow().len()
    }
}

/// Returns the answer to report after an attempt was refused.
///
/// "Not run" must not be reported for a request of which an earlier attempt may have run.
fn after_refusal(answer: Answer, had_run: bool) -> Answer {
    if !had_run {
        return answer;
    }
    Answer {
        outcome: Outcome::Unknown,
        ..answer
    }
}
