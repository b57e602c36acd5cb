//! Lets requests in by the limits of their workspaces, which all nodes keep together.
//!
//! A node takes a token for each request out of its cache and fetches more
//! from the allocator of its failure domain. What is decided is in
//! `sailtrack-quota`; here it meets links, the store and the clock.

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

/// How long a request waits for a token: some hundred times the way to the allocator and back, and
/// little beside the second or so within which callers hope for an answer.
const ASK_TIME: Duration = Duration::from_millis(250);
/// A token whose request was refused is given back if it was taken this lately. Until then the
/// allocator takes it for used, so it is one more; what is refused by a full upstream is refused
/// within the 0.2 s for which calls wait.
const GIVE_BACK_TIME: Duration = Duration::from_millis(400);
/// A workspace that goes on being over its limit is logged this often.
const LOG_PAUSE: Duration = Duration::from_secs(5);

/// Why a request gets no token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Shortage {
    /// Its workspace asks more than it may; there is a token after this time.
    Over(Duration),
    /// The allocator cannot be reached.
    NoAllocator,
}

/// Who this node is among those that keep and fetch tokens.
#[derive(Debug, Clone)]
pub(crate) struct Node {
    pub(crate) name: NodeName,
    pub(crate) incarnation: Incarnation,
    pub(crate) domain: DomainName,
}

/// The term of this node as the allocator of its domain.
struct Term {
    allocator: Allocator,
    number: u64,
    expiry: Expiry,
}

/// Lets requests in by the limits of their workspaces.
pub(crate) struct Quotas {
    node: Node,
    tolerance: Cell<Tolerance>,
    clock: Rc<Clock>,
    current: Rc<Current>,
    metrics: Rc<Metrics>,
    cache: RefCell<Cache>,
    limits: RefCell<HashMap<WorkspaceName, Limit>>,
    term: RefCell<Option<Term>>,
    /// Who waits for the next answer of the allocator.
    waiting: RefCell<Vec<oneshot::Sender<()>>>,
    /// Tells the asker that something waits.
    wanted: RefCell<mpsc::Sender<()>>,
    logged: RefCell<HashMap<WorkspaceName, Moment>>,
    questions: Cell<u64>,
    /// A workspace has got a limit of which this domain has no part yet.
    is_part_missing: Cell<bool>,
}

impl Service for Quotas {
    const NAME: &'static str = "quotas";
}

impl Quotas {
    pub(crate) fn new(
        node: Node,
        tolerance: Tolerance,
        (clock, current, metrics): (Rc<Clock>, Rc<Current>, Rc<Metrics>),
        wanted: mpsc::Sender<()>,
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
            waiting: RefCell::default(),
            wanted: RefCell::new(wanted),
            logged: RefCell::default(),
            questions: Cell::new(0),
            is_part_missing: Cell::new(false),
        }
    }

    /// Takes a token for a request of a workspace that has a limit.
    pub(crate) async fn admit(
        self: &Rc<Self>,
        workspace: &WorkspaceName,
    ) -> Result<Token, Shortage> {
        let taken = self.cache.borrow_mut().acquire(workspace, clock::now());
        let taken = match taken {
            Acquisition::Fetch => self.wait_for_token(workspace).await,
            taken => Ok(taken),
        };
        match taken {
            Ok(Acquisition::Token) => Ok(Token::new(self, workspace)),
            Ok(Acquisition::Exhausted(wait)) => {
                self.note_over(workspace);
                Err(Shortage::Over(wait))
            }
            Ok(Acquisition::Fetch) | Err(_) => Err(Shortage::NoAllocator),
        }
    }

    async fn wait_for_token(
        &self,
        workspace: &WorkspaceName,
    ) -> Result<Acquisition, monoio::time::error::Elapsed> {
        let _waiting = Waiting::new(self, workspace);
        let waiting = async {
            loop {
                let (sender, answered) = oneshot::channel();
                self.waiting.borrow_mut().push(sender);
                // A full channel holds the same wish.
                let _ = self.wanted.borrow_mut().try_send(());
                // The asker lives as long as the node.
                let _ = answered.await;
                let taken = self
                    .cache
                    .borrow_mut()
                    .acquire_waiting(workspace, clock::now());
                if taken != Acquisition::Fetch {
                    return taken;
                }
            }
        };
        timeout(ASK_TIME, waiting).await
    }

    /// Takes the limits of a configuration into force.
    pub(crate) fn set_limits(&self, configuration: Option<&Configuration>) {
        let workspaces = configuration.and_then(|known| known.workspaces.as_ref());
        let all = workspaces.into_iter().flat_map(Workspaces::all);
        let limits = all.filter_map(|one| Some((one.name.clone(), one.limit?)));
        let limits: HashMap<_, _> = limits.collect();
        let before = self.limits.replace(limits);
        let limits = self.limits.borrow();
        if limits.keys().any(|name| !before.contains_key(name)) {
            self.is_part_missing.set(true);
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

    /// Puts another tolerance into force.
    pub(crate) fn set_tolerance(&self, tolerance: Tolerance) {
        self.tolerance.set(tolerance);
        if let Some(term) = self.term.borrow_mut().as_mut() {
            term.allocator.set_tolerance(tolerance, clock::now());
        }
    }

    /// Answers a question of another node, or of this one, if it keeps the tokens.
    pub(crate) fn answer(&self, holder: &Holder, question: &TokenQuestion) -> TokenAnswer {
        let exchange = question.exchange;
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
        let grants = question.wants.iter().map(|want| {
            let grant = wire::want(want).and_then(|(workspace, want)| {
                term.allocator
                    .allocate((holder, exchange), &workspace, want, now)
            });
            wire::grant(grant)
        });
        TokenAnswer {
            exchange,
            not_allocator: false,
            grants: grants.collect(),
        }
    }

    /// Returns true if this node keeps the tokens of its domain.
    pub(crate) fn is_allocator(&self) -> bool {
        let term = self.term.borrow();
        term.as_ref()
            .is_some_and(|term| self.is_valid(term, clock::now()))
    }

    /// Returns true if a workspace has a limit.
    pub(crate) fn is_needed(&self) -> bool {
        !self.limits.borrow().is_empty()
    }

    fn is_valid(&self, term: &Term, now: Moment) -> bool {
        term.expiry.is_ahead(&self.clock, now)
    }

    fn receive(&self, wants: &[(WorkspaceName, Want)], answer: &TokenAnswer, asked: Moment) {
        let mut cache = self.cache.borrow_mut();
        for ((workspace, want), grant) in wants.iter().zip(&answer.grants) {
            let grant = wire::granted(grant).unwrap_or(Grant {
                // The allocator has an older configuration, or a newer one, without this limit.
                tokens: want.needed,
                recalled: 0,
                wait: Duration::ZERO,
            });
            cache.receive(workspace, grant, asked);
        }
    }

    fn wake_all(&self) {
        for waiting in self.waiting.borrow_mut().drain(..) {
            // Who waited may have given up.
            let _ = waiting.send(());
        }
    }

    fn note_over(&self, workspace: &WorkspaceName) {
        self.metrics.record_over_quota();
        let now = clock::now();
        let mut logged = self.logged.borrow_mut();
        let last = logged.get(workspace).copied();
        if last.is_some_and(|last| now.since(last) < LOG_PAUSE) {
            return;
        }
        logged.insert(workspace.clone(), now);
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

/// Tells the allocator, while it lives, that a request waits for a token.
struct Waiting<'a> {
    quotas: &'a Quotas,
    workspace: &'a WorkspaceName,
}

impl<'a> Waiting<'a> {
    fn new(quotas: &'a Quotas, workspace: &'a WorkspaceName) -> Self {
        quotas.cache.borrow_mut().set_waiting(workspace, true);
        Self { quotas, workspace }
    }
}

impl Drop for Waiting<'_> {
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
    taken: Moment,
}

impl Token {
    fn new(quotas: &Rc<Quotas>, workspace: &WorkspaceName) -> Self {
        Self {
            quotas: Rc::clone(quotas),
            workspace: workspace.clone(),
            taken: clock::now(),
        }
    }

    /// Gives it back, since its request did not run and never will.
    pub(crate) fn give_back(self) {
        if clock::now().since(self.taken) < GIVE_BACK_TIME {
            self.quotas.cache.borrow_mut().refund(&self.workspace);
        }
    }
}
