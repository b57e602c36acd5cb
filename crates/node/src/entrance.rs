//! Accounts for the retries that a client makes with the same request id.
//!
//! Every request id has one node that accounts for it, found by hashing, so
//! the bound holds whichever nodes the client sends its retries to.

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

/// How long a request id is remembered.
const MEMORY: Duration = Duration::from_mins(1);
/// The most request ids remembered at once.
const CAPACITY: usize = 50_000;

/// What is remembered about a request id.
#[derive(Clone)]
struct Seen {
    budget: Budget,
    /// Whether an attempt is running or may have run.
    may_have_run: Rc<Cell<bool>>,
}

/// Where requests of clients come in.
pub(crate) struct Entrance {
    dispatcher: Rc<Dispatcher>,
    routing: Rc<Routing>,
    peers: Rc<Peers>,
    seen: RefCell<HashMap<RequestId, Seen>>,
    by_age: RefCell<VecDeque<(Instant, RequestId)>>,
}

impl Service for Entrance {
    const NAME: &'static str = "entrance";
}

impl Entrance {
    pub(crate) fn new(dispatcher: Rc<Dispatcher>, routing: Rc<Routing>, peers: Rc<Peers>) -> Self {
        Self {
            dispatcher,
            routing,
            peers,
            seen: RefCell::default(),
            by_age: RefCell::default(),
        }
    }

    /// Brings a client's request, whose id it chose itself, to its answer.
    pub(crate) async fn request(&self, call: Call) -> Answer {
        let accountant = self.routing.accountant(&call.service, call.request);
        let Some(Target::Remote(peer)) = accountant else {
            return self.account(call).await;
        };
        let answer = self.peers.call_entry(&peer, &call).await;
        let unreachable = answer.outcome == Outcome::NotRun && answer.reason == Reason::Connection;
        if unreachable {
            return self.account(call).await;
        }
        answer
    }

    /// Accounts for one attempt and brings it to its answer.
    pub(crate) async fn account(&self, call: Call) -> Answer {
        let _held = Guard::new(&self.dispatcher.executor.in_flight);
        let seen = self.remember(&call);
        if seen.may_have_run.get() && !seen.budget.spend() {
            let answer = Answer::unknown(Reason::Allowance);
            return self.dispatcher.executor.later(answer);
        }
        let before = seen.may_have_run.replace(true);
        let answer = self.dispatcher.dispatch(call, &seen.budget).await;
        if answer.outcome != Outcome::NotRun {
            return answer;
        }
        seen.may_have_run.set(before);
        after_refusal(answer, before)
    }

    fn remember(&self, call: &Call) -> Seen {
        let now = Instant::now();
        self.forget_old(now);
        let mut seen = self.seen.borrow_mut();
        if let Some(seen) = seen.get(&call.request) {
            return seen.clone();
        }
        let fresh = Seen {
            budget: Budget::new(call.allowance),
            may_have_run: Rc::default(),
        };
        seen.insert(call.request, fresh.clone());
        self.by_age.borrow_mut().push_back((now, call.request));
        fresh
    }

    fn forget_old(&self, now: Instant) {
        let mut by_age = self.by_age.borrow_mut();
        let mut seen = self.seen.borrow_mut();
        while let Some((came, request)) = by_age.front().copied() {
            let is_old = now.saturating_duration_since(came) >= MEMORY;
            if !is_old && seen.len() < CAPACITY {
                return;
            }
            seen.remove(&request);
            by_age.pop_front();
        }
    }

    /// Returns how many request ids are remembered.
    pub(crate) fn len(&self) -> usize {
        self.seen.borrow().len()
    }
}

/// Returns what is true of the whole request after one of its attempts was refused.
///
/// Nobody may hear "not run" about a request of which an earlier attempt may have run.
fn after_refusal(answer: Answer, ran_before: bool) -> Answer {
    if !ran_before {
        return answer;
    }
    Answer {
        outcome: Outcome::Unknown,
        ..answer
    }
}
