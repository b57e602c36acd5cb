//! The term of the node that keeps the tokens of its failure domain.
//!
//! The first of the nodes that hear from each other takes it, by a lease in
//! the store, so that there are never two in one domain. With each renewal it
//! tells the demand there and moves the domain's parts of the limits.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use displaydoc::Display;
use monoio::time::sleep;
use rand::Rng as _;
use sailtrack_kernel::Service;
use sailtrack_log::{catalogue, emit};
use sailtrack_quota::{Allocator, Claim, Holding, LEASE_DURATION, LEASE_GRACE, Lease, Now, Shares};
use sailtrack_units::{Incarnation, Moment, WorkspaceName};

use crate::clock;
use crate::peer::Peers;
use crate::quota::expiry::Expiry;
use crate::quota::{Quotas, Term};
use crate::status::Status;
use crate::store::{Content, Lookup, Store, StoreError, StoreVersion, Table};
use crate::watch::Watch;

/// The key of the row in its table.
const ROW: &str = "parts";
/// How often a node looks whether there is something to do.
const LOOK: Duration = Duration::from_millis(250);
/// How often the lease is renewed: a renewal costs two calls of the store and moves the parts.
const RENEWAL: Duration = Duration::from_millis(1500);
/// The pause after a renewal that failed, up to twice as long.
const PAUSE: Duration = Duration::from_millis(200);
/// How long a node waits after its start before it takes the role: until it has met the others.
const MEETING_TIME: Duration = Duration::from_millis(1200);
/// How much longer each further node waits, in the order of their places.
const ORDER_PAUSE: Duration = Duration::from_millis(500);

/// Why a node could not become the allocator, or stay it.
#[derive(Debug, Display)]
enum RoleError {
    /// the store failed: {0}
    Store(StoreError),
    /// another node of the domain has it: {0}
    Held(sailtrack_units::NodeName),
    /// the row cannot be read: {0}
    Row(String),
    /// the store does not tell its time
    NoTime,
    /// the node stops
    Stopping,
}

impl std::error::Error for RoleError {}

/// Takes and keeps the role, for as long as the task lives.
pub(crate) struct Election {
    pub(crate) quotas: Rc<Quotas>,
    pub(crate) peers: Rc<Peers>,
    pub(crate) watch: Rc<Watch>,
    pub(crate) status: Rc<Status>,
    pub(crate) store: Rc<dyn Store>,
    pub(crate) started: Instant,
    /// When the lease was renewed last.
    pub(crate) last_renewal: Cell<Option<Instant>>,
    /// Since when no allocator is heard of.
    pub(crate) missing_since: Cell<Option<Instant>>,
    /// Since when the row cannot be read.
    pub(crate) unreadable_since: Cell<Option<Instant>>,
    /// The node stops and takes the role no more.
    pub(crate) has_resigned: Cell<bool>,
}

impl Service for Election {
    const NAME: &'static str = "quota-allocation";
}

impl Election {
    /// Takes the role when nobody has it, and renews the lease in time.
    pub(crate) async fn run(self: Rc<Self>) {
        loop {
            sleep(LOOK).await;
            if !self.is_due() {
                continue;
            }
            match self.claim().await {
                Ok(lease) => self.note_lease(&lease),
                Err(error) => {
                    self.note_error(&error);
                    sleep(PAUSE.mul_f64(rand::rng().random_range(1.0..2.0))).await;
                }
            }
        }
    }

    /// Gives the role up, so that another node can take it at once.
    pub(crate) async fn resign(&self) {
        self.has_resigned.set(true);
        let was_allocator = self.quotas.is_allocator();
        self.leave();
        if !was_allocator {
            return;
        }
        if let Err(error) = self.release().await {
            self.note_error(&error);
        }
    }

    fn is_due(&self) -> bool {
        if self.has_resigned.get() || !self.quotas.is_needed() {
            return false;
        }
        if self.quotas.is_allocator() {
            let renewed = self.last_renewal.get();
            let is_old = renewed.is_none_or(|renewed| renewed.elapsed() >= RENEWAL);
            return is_old || self.quotas.is_part_missing.get();
        }
        self.leave();
        let domain = &self.quotas.node.domain;
        if self.peers.allocator_of(domain).is_some() {
            self.missing_since.set(None);
            return false;
        }
        let missing = self.missing_since.get().unwrap_or_else(Instant::now);
        self.missing_since.set(Some(missing));
        let before = u32::try_from(self.watch.ahead_count()).unwrap_or(u32::MAX);
        self.started.elapsed() >= MEETING_TIME
            && missing.elapsed() >= ORDER_PAUSE.saturating_mul(before)
    }

    /// Stops to give tokens; it is told at once.
    fn leave(&self) {
        let term = self.quotas.term.take();
        if let Some(term) = term {
            self.last_renewal.set(None);
            self.status.quota_term.set(0);
            self.status.publish();
            emit(&catalogue::QUOTA_ALLOCATOR_ENDED, &[("term", &term.number)]);
        }
    }

    async fn claim(&self) -> Result<Lease, RoleError> {
        let asked = clock::now();
        let (mut shares, version, now) = self.read().await?;
        let claim = self.say();
        let own = &self.quotas.node;
        let is_gone = |lease: &Lease| {
            let is_own = lease.holder == own.name && lease.incarnation != own.incarnation.0;
            is_own
                || self
                    .peers
                    .has_other_incarnation(&lease.holder, Incarnation(lease.incarnation))
        };
        let before = shares.era;
        let Some(lease) = shares.claim(&claim, now, is_gone) else {
            if shares.era != before {
                self.write(&shares, version).await?;
            }
            let holder = shares.domains.get(&own.domain);
            let holder = holder.map_or_else(|| own.name.clone(), |one| one.lease.holder.clone());
            return Err(RoleError::Held(holder));
        };
        // What is lowered is given up before it is written: somebody else may take it then.
        self.set_shares(&shares, f64::min);
        self.write(&shares, version).await?;
        if self.has_resigned.get() {
            // The node has begun to stop meanwhile.
            self.release().await?;
            return Err(RoleError::Stopping);
        }
        self.enter(&lease, &shares, asked);
        self.set_shares(&shares, |next, _| next);
        Ok(lease)
    }

    async fn read(&self) -> Result<(Shares, StoreVersion, Now), RoleError> {
        let asked = clock::now();
        let reading = self.store.row(Table::Quotas, ROW).await;
        let Lookup { row, era, now } = reading.map_err(RoleError::Store)?;
        let told = now.ok_or(RoleError::NoTime)?;
        let answered = clock::now();
        if !self.quotas.clock.observe_era(era, answered) {
            return Err(RoleError::Store(StoreError::HistoryGone));
        }
        self.quotas.clock.record(asked, answered, told);
        let at_most = self.quotas.clock.upper_bound(answered);
        let now = Now {
            at_least_ms: told.millis(),
            at_most_ms: at_most.unwrap_or(told).millis(),
        };
        let Some(row) = row else {
            let version = StoreVersion { era, number: 0 };
            return Ok((Shares::default(), version, now));
        };
        let shares: Result<Shares, RoleError> = match &row.content {
            Content::Text(text) => {
                serde_json::from_str(text).map_err(|error| RoleError::Row(error.to_string()))
            }
            Content::Unreadable(reason) => Err(RoleError::Row(reason.clone())),
            Content::Removed => Ok(Shares::default()),
        };
        // What cannot be read was not written by a node, and is written anew once nobody can hold a
        // lease or tokens of before; until then the error is logged at each try.
        let shares = match shares {
            Err(_) if self.is_unreadable_for_long() => Shares::default(),
            shares => {
                self.unreadable_since
                    .set(self.unreadable_since.get().filter(|_| shares.is_err()));
                shares?
            }
        };
        Ok((shares, row.version, now))
    }

    /// Writes the row if nobody else has written it since.
    async fn write(&self, shares: &Shares, version: StoreVersion) -> Result<(), RoleError> {
        // In another era that version may be of another row.
        if version.era != self.quotas.clock.era() {
            return Err(RoleError::Store(StoreError::Conflict));
        }
        let text =
            serde_json::to_string(shares).map_err(|error| RoleError::Row(error.to_string()))?;
        let written = self.store.replace(Table::Quotas, ROW, &text, version);
        written.await.map_err(RoleError::Store)
    }

    /// Returns true if the row could not be read for longer than anything of before holds.
    fn is_unreadable_for_long(&self) -> bool {
        let since = self.unreadable_since.get().unwrap_or_else(Instant::now);
        self.unreadable_since.set(Some(since));
        since.elapsed() >= LEASE_DURATION + LEASE_GRACE
    }

    fn say(&self) -> Claim {
        let node = &self.quotas.node;
        let term = self.quotas.term.borrow();
        let demand = term
            .as_ref()
            .map(|term| term.allocator.demand(clock::now()))
            .unwrap_or_default();
        let limited = self.quotas.limits.borrow().keys().cloned().collect();
        Claim {
            domain: node.domain.clone(),
            node: node.name.clone(),
            incarnation: node.incarnation.0,
            is_new: term.is_none(),
            era: self.quotas.clock.era().0,
            has_seen_restore: self.quotas.clock.restored_at().is_some(),
            holding: self.holding(term.as_ref()),
            domain_count: self.peers.other_domain_count(&node.domain) + 1,
            demand: rounded(demand),
            limited,
        }
    }

    /// Returns what this node has as the allocator, whatever the store has.
    fn holding(&self, term: Option<&Term>) -> Option<Holding> {
        let now = clock::now();
        let term = term.filter(|term| self.quotas.is_valid(term, now))?;
        let shares = self.quotas.limits.borrow();
        let shares = shares.keys().map(|workspace| {
            let share = term.allocator.share(workspace);
            (workspace.clone(), share)
        });
        Some(Holding {
            term: term.number,
            shares: shares.collect(),
        })
    }

    fn enter(&self, lease: &Lease, shares: &Shares, asked: Moment) {
        let now = clock::now();
        let expiry = Expiry::new(lease, asked);
        let mut term = self.quotas.term.borrow_mut();
        match term.as_mut() {
            Some(term) if term.number == lease.term => {
                term.expiry = expiry;
            }
            _ => {
                let mut allocator = Allocator::new(self.quotas.tolerance.get(), now);
                allocator.set_limits(&self.quotas.limits.borrow(), now);
                let domain = shares.domains.get(&self.quotas.node.domain);
                for (workspace, demand) in domain.iter().flat_map(|domain| &domain.demand) {
                    allocator.set_demand(workspace, *demand, now);
                }
                *term = Some(Term {
                    allocator,
                    number: lease.term,
                    expiry,
                });
            }
        }
    }

    /// Sets each part to what `choose` makes of the next and the present one.
    fn set_shares(&self, shares: &Shares, choose: impl Fn(f64, f64) -> f64) {
        let now = clock::now();
        let domain = &self.quotas.node.domain;
        let mut term = self.quotas.term.borrow_mut();
        let Some(term) = term.as_mut() else {
            return;
        };
        for workspace in self.quotas.limits.borrow().keys() {
            let next = shares.share(domain, workspace);
            let present = term.allocator.share(workspace);
            term.allocator
                .set_share(workspace, choose(next, present), now);
        }
    }

    async fn release(&self) -> Result<(), RoleError> {
        let (mut shares, version, now) = self.read().await?;
        let node = &self.quotas.node;
        if !shares.release(&node.domain, &node.name, node.incarnation.0, now) {
            return Ok(());
        }
        self.write(&shares, version).await
    }

    fn note_lease(&self, lease: &Lease) {
        self.last_renewal.set(Some(Instant::now()));
        self.quotas.is_part_missing.set(false);
        self.missing_since.set(None);
        if self.status.quota_term.replace(lease.term) != lease.term {
            self.status.publish();
            emit(&catalogue::QUOTA_ALLOCATOR_BEGAN, &[("term", &lease.term)]);
        }
    }

    #[allow(clippy::unused_self, reason = "events are written through one service")]
    fn note_error(&self, error: &RoleError) {
        // Nodes write in turn, and the one that comes second tries again.
        if matches!(error, RoleError::Store(StoreError::Conflict)) {
            return;
        }
        emit(
            &catalogue::STORE_FAILED,
            &[("operation", &"keep tokens"), ("reason", error)],
        );
    }
}

/// Returns demands in tenths, which is close enough and short to write.
fn rounded(demand: std::collections::HashMap<WorkspaceName, f64>) -> BTreeMap<WorkspaceName, f64> {
    let demand = demand.into_iter();
    let demand = demand.map(|(name, demand)| (name, (demand * 10.0).round() / 10.0));
    demand.collect()
}
