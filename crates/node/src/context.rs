//! The context of each call that executes in the node's upstream.
//!
//! The upstream copies one opaque token into the calls that it makes. Everything else is kept here,
//! so an upstream cannot multiply the allowance of a request.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::future::{LocalBoxFuture, Shared};
use rand::Rng as _;
use sailtrack_kernel::Service;
use sailtrack_units::{KindName, Rank, RequestId};

use crate::call::{Answer, Call};
use crate::retry::Budget;
use sailtrack_admission::Pressure;

/// Identifies a call among those that one execution makes.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct SubcallKey(pub(crate) u128);

/// The answer of a call, which several callers may await.
pub(crate) type SharedAnswer = Shared<LocalBoxFuture<'static, Answer>>;

/// One execution in the own upstream.
pub(crate) struct Context {
    pub(crate) request: RequestId,
    pub(crate) root_kind: KindName,
    pub(crate) rank: Rank,
    pub(crate) depth: u32,
    pub(crate) deadline: Instant,
    pub(crate) budget: Budget,
    /// The highest admission level that its nested calls met.
    pub(crate) level: Cell<Rank>,
    /// The highest pressure that its nested calls met.
    pub(crate) pressure: Cell<Pressure>,
    outside: RefCell<SubcallTime>,
    call_count: Cell<u32>,
    /// The nested calls that failed; making one of them again is a retry.
    failed: RefCell<HashSet<SubcallKey>>,
    /// The answers of the non-idempotent nested calls.
    pub(crate) once: RefCell<HashMap<SubcallKey, SharedAnswer>>,
}

/// The time during which at least one nested call was open.
#[derive(Debug, Default)]
struct SubcallTime {
    open: u32,
    since: Option<Instant>,
    total: Duration,
}

impl Context {
    /// Marks a nested call as open until the guard is dropped; this time is not counted as the
    /// upstream's own.
    pub(crate) fn begin_subcall(self: &Rc<Self>) -> SubcallGuard {
        let mut outside = self.outside.borrow_mut();
        if outside.open == 0 {
            outside.since = Some(Instant::now());
        }
        outside.open += 1;
        SubcallGuard(Rc::clone(self))
    }

    /// Returns the time spent in nested calls.
    pub(crate) fn subcall_time(&self) -> Duration {
        let outside = self.outside.borrow();
        let running = outside
            .since
            .map_or(Duration::ZERO, |since| since.elapsed());
        outside.total + running
    }

    /// Returns true if the upstream has made no nested calls for the execution.
    pub(crate) fn made_no_calls(&self) -> bool {
        self.call_count.get() == 0
    }

    /// Records the admission level and pressure in the answer to a nested call.
    pub(crate) fn record_answer(&self, answer: &Answer) {
        self.level.set(self.level.get().max(answer.level));
        let pressure = self.pressure.get().max(answer.observed_pressure());
        self.pressure.set(pressure);
    }

    /// Counts a nested call; returns false if it is a retry and the budget is spent.
    pub(crate) fn register_call(&self, key: &SubcallKey) -> bool {
        self.call_count.set(self.call_count.get() + 1);
        !self.failed.borrow().contains(key) || self.budget.spend()
    }

    /// Records that a nested call failed.
    pub(crate) fn record_failed_call(&self, key: SubcallKey) {
        self.failed.borrow_mut().insert(key);
    }
}

/// Guard of an open nested call.
pub(crate) struct SubcallGuard(Rc<Context>);

impl Drop for SubcallGuard {
    fn drop(&mut self) {
        let mut outside = self.0.outside.borrow_mut();
        outside.open -= 1;
        if outside.open > 0 {
            return;
        }
        if let Some(since) = outside.since.take() {
            outside.total += since.elapsed();
        }
    }
}

/// The contexts of all executions in the own upstream, by token.
#[derive(Default)]
pub(crate) struct Contexts {
    open: RefCell<HashMap<u64, Rc<Context>>>,
}

impl Service for Contexts {
    const NAME: &'static str = "contexts";
}

impl Contexts {
    /// Registers an execution until the guard is dropped.
    pub(crate) fn open(self: &Rc<Self>, call: &Call) -> Registration {
        let context = Rc::new(Context {
            request: call.request,
            root_kind: call.root_kind.clone(),
            rank: call.rank,
            depth: call.depth,
            deadline: call.deadline,
            budget: Budget::new(call.allowance),
            level: Cell::new(Rank::LOWEST),
            pressure: Cell::default(),
            outside: RefCell::default(),
            call_count: Cell::new(0),
            failed: RefCell::default(),
            once: RefCell::default(),
        });
        let token = rand::rng().random();
        self.open.borrow_mut().insert(token, Rc::clone(&context));
        Registration {
            contexts: Rc::clone(self),
            token,
            context,
        }
    }

    /// Returns the execution with this token.
    pub(crate) fn find(&self, token: &str) -> Option<Rc<Context>> {
        let token = u64::from_str_radix(token, 16).ok()?;
        self.open.borrow().get(&token).cloned()
    }
}

/// Guard of a registered execution, which removes it when dropped.
pub(crate) struct Registration {
    contexts: Rc<Contexts>,
    token: u64,
    pub(crate) context: Rc<Context>,
}

impl Registration {
    /// Returns the token as written into the header.
    pub(crate) fn token(&self) -> String {
        format!("{:016x}", self.token)
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.contexts.open.borrow_mut().remove(&self.token);
    }
}
