//! Enforces the limits of workspaces, which all nodes share.
//!
//! A node takes a token for each request from its cache and fetches more from the allocator of its
//! failure domain. The decisions are made in `sailtrack-quota`; this module connects them to peer
//! links, the store and the clock.

mod election;
mod expiry;
mod fetcher;
mod wire;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use futures::channel::{mpsc, oneshot};
use monoio::time::timeout;
use sailtrack_kernel::Service;
use sailtrack_log::{catalogue, emit};
use sailtrack_quota::{Acquisition, Allocator, Cache, Grant, Holder, Limit, Tolerance, Want};
use sailtrack_units::{DomainName, Incarnation, Moment, NodeName, WorkspaceName};
use sailtrack_wire::{TokenAnswer, TokenQuestion};

pub(crate) use election::Election;
pub(crate) use fetcher::Fetcher;

use crate::clock;
use crate::configuration::{Configuration, Current, Workspaces};
use crate::metrics::Metrics;
use crate::quota::expiry::Expiry;
use crate::store::Clock;

/// How long a request waits for a token: some hundred round trips to the allocator, and little
/// compared with the second or so within which callers expect a response.
const TOKEN_TIMEOUT: Duration = Duration::from_millis(250);
/// A token is refunded only within this time, if its request was refused. Meanwhile the allocator
/// counts it as used, so a refund adds a token; a request refused by a full upstream is refused
/// within the 0.2 s for which calls are queued.
const REFUND_TIME_LIMIT: Duration = Duration::from_millis(400);
/// The least time between two log events about the same workspace exceeding its limit.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Why a request gets no token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Shortage {
    /// The workspace exceeds its limit; a token is available after this time.
    Exhausted(Duration),
    /// The allocator cannot be reached.
    NoAllocator,
}

/// Identifies this node to allocators and in the lease.
#[derive(Debug, Clone)]
pub(crate) struct Node {
    pub(crate) name: NodeName,
    pub(crate) incarnation: Incarnation,
    pub(crate) domain: DomainName,
}

/// The term of this node as the allocator of its failure domain.
struct Term {
    allocator: Allocator,
    number: u64,
    expiry: Expiry,
}

/// Enforces the limits of workspaces.
pub(crate) struct Quotas {
    node: Node,
    tolerance: Cell<Tolerance>,
    clock: Rc<Clock>,
    current: Rc<Current>,
    metrics: Rc<Metrics>,
    cache: RefCell<Cache>,
    limits: RefCell<HashMap<WorkspaceName, Limit>>,
    term: RefCell<Option<Term>>,
    /// Requests waiting for the next reply of the allocator.
    waiters: RefCell<Vec<oneshot::Sender<()>>>,
    /// Wakes the fetcher when a request waits for a token.
    fetcher: RefCell<mpsc::Sender<()>>,
    last_logged: RefCell<HashMap<WorkspaceName, Moment>>,
    last_exchange: Cell<u64>,
    /// A workspace has a new limit of which this domain has no share yet.
    is_share_missing: Cell<bool>,
}

impl Service for Quotas {
    const NAME: &'static str = "quotas";
}

impl Quotas {
    pub(crate) fn new(
        node: Node,
        tolerance: Tolerance,
        (clock, current, metrics): (Rc<Clock>, Rc<Current>, Rc<Metrics>),
        fetcher: mpsc::Sender<()>,
    ) -> Self {
        Self {
            node,
            tolerance: Cell::new(tolerance),
            clock,
            current,
            metrics,
            cache: RefCell::default(),
            limits: RefCell::default(),
            term: RefCell::default(),
            waiters: RefCell::default(),
            fetcher: RefCell::new(fetcher),
            last_logged: RefCell::default(),
            last_exchange: Cell::new(0),
            is_share_missing: Cell::new(false),
        }
    }

    /// Acquires a token for a request of a workspace that has a limit.
    pub(crate) async fn acquire(
        self: &Rc<Self>,
        workspace: &WorkspaceName,
    ) -> Result<Token, Shortage> {
        let acquisition = self.cache.borrow_mut().acquire(workspace, clock::now());
        let acquisition = match acquisition {
            Acquisition::Fetch => self.wait_for_token(workspace).await,
            acquisition => Ok(acquisition),
        };
        match acquisition {
            Ok(Acquisition::Token) => Ok(Token::new(self, workspace)),
            Ok(Acquisition::Exhausted(wait)) => {
                self.record_exhausted(workspace);
                Err(Shortage::Exhausted(wait))
            }
            Ok(Acquisition::Fetch) | Err(_) => Err(Shortage::NoAllocator),
        }
    }

    async fn wait_for_token(
        &self,
        workspace: &WorkspaceName,
    ) -> Result<Acquisition, monoio::time::error::Elapsed> {
        let _waiter = Waiter::new(self, workspace);
        let waiting = async {
            loop {
                let (sender, notified) = oneshot::channel();
                self.waiters.borrow_mut().push(sender);
                // If the channel is full, the fetcher will wake up anyway.
                let _ = self.fetcher.borrow_mut().try_send(());
                // The fetcher runs as long as the node.
                let _ = notified.await;
                let acquisition = self
                    .cache
                    .borrow_mut()
                    .acquire_waiting(workspace, clock::now());
                if acquisition != Acquisition::Fetch {
                    return acquisition;
                }
            }
        };
        timeout(TOKEN_TIMEOUT, waiting).await
    }

    /// Applies the limits of a configuration.
    pub(crate) fn set_limits(&self, configuration: Option<&Configuration>) {
        let workspaces = configuration.and_then(|known| known.workspaces.as_ref());
        let all = workspaces.into_iter().flat_map(Workspaces::all);
        let limits = all.filter_map(|one| Some((one.name.clone(), one.limit?)));
        let limits: HashMap<_, _> = limits.collect();
        let before = self.limits.replace(limits);
        let limits = self.limits.borrow();
        if limits.keys().any(|name| !before.contains_key(name)) {
            self.is_share_missing.set(true);
        }
        let mut cache = self.cache.borrow_mut();
        for name in before.keys() {
            if before.get(name) != limits.get(name) {
                cache.invalidate(name);
            }
        }
        if let Some(term) = self.term.borrow_mut().as_mut() {
            term.allocator.set_limits(&limits, clock::now());
        }
    }

    /// Replaces the tolerance.
    pub(crate) fn set_tolerance(&self, tolerance: Tolerance) {
        self.tolerance.set(tolerance);
        if let Some(term) = self.term.borrow_mut().as_mut() {
            term.allocator.set_tolerance(tolerance, clock::now());
        }
    }

    /// Replies to a token request of another node or of this one, if this node is the allocator.
    pub(crate) fn answer(&self, holder: &Holder, request: &TokenQuestion) -> TokenAnswer {
        let exchange = request.exchange;
        let now = clock::now();
        let mut term = self.term.borrow_mut();
        let term = term.as_mut().filter(|term| self.is_valid(term, now));
        let Some(term) = term else {
            return TokenAnswer {
                exchange,
                not_allocator: true,
                grants: Vec::new(),
            };
        };
        let grants = request.wants.iter().map(|want| {
            let grant = wire::want_from_wire(want).and_then(|(workspace, want)| {
                term.allocator
                    .allocate((holder, exchange), &workspace, want, now)
            });
            wire::grant_to_wire(grant)
        });
        TokenAnswer {
            exchange,
            not_allocator: false,
            grants: grants.collect(),
        }
    }

    /// Returns true if this node is the allocator of its failure domain.
    pub(crate) fn is_allocator(&self) -> bool {
        let term = self.term.borrow();
        term.as_ref()
            .is_some_and(|term| self.is_valid(term, clock::now()))
    }

    /// Returns true if any workspace has a limit.
    pub(crate) fn has_limits(&self) -> bool {
        !self.limits.borrow().is_empty()
    }

    fn is_valid(&self, term: &Term, now: Moment) -> bool {
        term.expiry.is_valid(&self.clock, now)
    }

    fn receive(&self, wants: &[(WorkspaceName, Want)], answer: &TokenAnswer, requested_at: Moment) {
        let mut cache = self.cache.borrow_mut();
        for ((workspace, want), grant) in wants.iter().zip(&answer.grants) {
            let grant = wire::grant_from_wire(grant).unwrap_or(Grant {
                // The allocator has a configuration, older or newer, without this limit.
                tokens: want.needed,
                recalled: 0,
                wait: Duration::ZERO,
            });
            cache.receive(workspace, grant, requested_at);
        }
    }

    fn wake_all(&self) {
        for waiter in self.waiters.borrow_mut().drain(..) {
            // The request may have stopped waiting.
            let _ = waiter.send(());
        }
    }

    fn record_exhausted(&self, workspace: &WorkspaceName) {
        self.metrics.record_over_quota();
        let now = clock::now();
        let mut last_logged = self.last_logged.borrow_mut();
        let last = last_logged.get(workspace).copied();
        if last.is_some_and(|last| now.since(last) < LOG_INTERVAL) {
            return;
        }
        last_logged.insert(workspace.clone(), now);
        let limit = self.limits.borrow().get(workspace).copied();
        let rate = limit.map_or(0.0, |limit| limit.rate);
        emit(
            &catalogue::WORKSPACE_OVER_LIMIT,
            &[
                ("workspace", workspace),
                ("rate", &rate),
                ("version", &self.current.version()),
            ],
        );
    }
}

/// Counts a request as waiting for a token until dropped.
struct Waiter<'a> {
    quotas: &'a Quotas,
    workspace: &'a WorkspaceName,
}

impl<'a> Waiter<'a> {
    fn new(quotas: &'a Quotas, workspace: &'a WorkspaceName) -> Self {
        quotas.cache.borrow_mut().set_waiting(workspace, true);
        Self { quotas, workspace }
    }
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        self.quotas
            .cache
            .borrow_mut()
            .set_waiting(self.workspace, false);
    }
}

/// The right to run one request.
pub(crate) struct Token {
    quotas: Rc<Quotas>,
    workspace: WorkspaceName,
    acquired_at: Moment,
}

impl Token {
    fn new(quotas: &Rc<Quotas>, workspace: &WorkspaceName) -> Self {
        Self {
            quotas: Rc::clone(quotas),
            workspace: workspace.clone(),
            acquired_at: clock::now(),
        }
    }

    /// Refunds the token, since its request did not run and never will.
    pub(crate) fn refund(self) {
        if clock::now().since(self.acquired_at) < REFUND_TIME_LIMIT {
            self.quotas.cache.borrow_mut().refund(&self.workspace);
        }
    }
}
