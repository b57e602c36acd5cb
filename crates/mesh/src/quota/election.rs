//! Elects the token allocator of a failure domain.
//!
//! The first of the connected nodes acquires the role by a lease in the store, so that a domain
//! never has two allocators. Each renewal reports the demand of the domain and adjusts its shares
//! of the limits.

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
const ROW_KEY: &str = "parts";
/// How often a node checks whether the lease has to be acquired or renewed.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// How often the lease is renewed: a renewal costs two store operations and adjusts the shares.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(1500);
/// The shortest pause after a failed attempt; the longest is twice this.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// How long a node waits after its start, to connect to its peers, before it may acquire the lease.
const STARTUP_DELAY: Duration = Duration::from_millis(1200);
/// The additional wait for each node that is ahead in the order of candidates.
const PRIORITY_DELAY: Duration = Duration::from_millis(500);

/// Why a node could not become or remain the allocator.
#[derive(Debug, Display)]
enum ElectionError {
    /// store error: {0}
    Store(StoreError),
    /// another node of the failure domain holds the lease: {0}
    Held(sailtrack_units::NodeName),
    /// unreadable row: {0}
    Row(String),
    /// the store does not report its time
    NoTime,
    /// the node is stopping
    Stopping,
}

impl std::error::Error for ElectionError {}

/// Acquires and renews the lease of the token allocator.
pub(crate) struct Election {
    pub(crate) quotas: Rc<Quotas>,
    pub(crate) peers: Rc<Peers>,
    pub(crate) watch: Rc<Watch>,
    pub(crate) status: Rc<Status>,
    pub(crate) store: Rc<dyn Store>,
    pub(crate) started: Instant,
    /// When the lease was last renewed.
    pub(crate) last_renewal: Cell<Option<Instant>>,
    /// Since when no allocator of the domain is known.
    pub(crate) missing_since: Cell<Option<Instant>>,
    /// Since when the row has been unreadable.
    pub(crate) unreadable_since: Cell<Option<Instant>>,
    /// The node is stopping and no longer tries to acquire the lease.
    pub(crate) has_resigned: Cell<bool>,
}

impl Service for Election {
    const NAME: &'static str = "quota-allocation";
}

impl Election {
    /// Acquires the lease when no other node holds it, and renews it in time.
    pub(crate) async fn run(self: Rc<Self>) {
        loop {
            sleep(CHECK_INTERVAL).await;
            if !self.is_due() {
                continue;
            }
            match self.claim().await {
                Ok(lease) => self.record_lease(&lease),
                Err(error) => {
                    if matches!(error, ElectionError::Held(_)) {
                        self.step_down();
                    }
                    self.log_error(&error);
                    sleep(RETRY_PAUSE.mul_f64(rand::rng().random_range(1.0..2.0))).await;
                }
            }
        }
    }

    /// Releases the lease, so that another node can acquire it at once.
    pub(crate) async fn resign(&self) {
        self.has_resigned.set(true);
        let was_allocator = self.quotas.is_allocator();
        self.step_down();
        if !was_allocator {
            return;
        }
        if let Err(error) = self.release().await {
            self.log_error(&error);
        }
    }

    fn is_due(&self) -> bool {
        if self.has_resigned.get() || !self.quotas.has_limits() {
            return false;
        }
        if self.quotas.is_allocator() {
            let last_renewal = self.last_renewal.get();
            let is_old = last_renewal.is_none_or(|renewed| renewed.elapsed() >= RENEWAL_INTERVAL);
            return is_old || self.quotas.is_share_missing.get();
        }
        self.step_down();
        let domain = &self.quotas.node.domain;
        if self.peers.allocator_of(domain).is_some() {
            self.missing_since.set(None);
            return false;
        }
        let missing = self.missing_since.get().unwrap_or_else(Instant::now);
        self.missing_since.set(Some(missing));
        let ahead = u32::try_from(self.watch.ahead_count()).unwrap_or(u32::MAX);
        self.started.elapsed() >= STARTUP_DELAY
            && missing.elapsed() >= PRIORITY_DELAY.saturating_mul(ahead)
    }

    /// Stops allocating tokens and notifies the peers.
    fn step_down(&self) {
        let term = self.quotas.term.take();
        if let Some(term) = term {
            self.last_renewal.set(None);
            self.status.quota_term.set(0);
            self.status.publish();
            emit(&catalogue::QUOTA_ALLOCATOR_ENDED, &[("term", &term.number)]);
        }
    }

    async fn claim(&self) -> Result<Lease, ElectionError> {
        let requested_at = clock::now();
        let (mut shares, version, now) = self.read().await?;
        let claim = self.build_claim();
        let own = &self.quotas.node;
        let is_gone = self.is_holder_gone(&shares).await;
        let previous_era = shares.era;
        let Some(lease) = shares.claim(&claim, now, |_| is_gone) else {
            if shares.era != previous_era {
                self.write(&shares, version).await?;
            }
            let holder = shares.domains.get(&own.domain);
            let holder = holder.map_or_else(|| own.name.clone(), |one| one.lease.holder.clone());
            return Err(ElectionError::Held(holder));
        };
        // Shares are lowered before the row is written: another domain may raise its own right
        // after.
        self.set_shares(&shares, f64::min);
        self.write(&shares, version).await?;
        if self.has_resigned.get() {
            // The node began to stop while the row was written.
            self.release().await?;
            return Err(ElectionError::Stopping);
        }
        self.begin_term(&lease, &shares, requested_at);
        self.set_shares(&shares, |next, _| next);
        Ok(lease)
    }

    /// Returns true if the holder of this domain's lease has certainly ended.
    async fn is_holder_gone(&self, shares: &Shares) -> bool {
        let own = &self.quotas.node;
        let Some(domain) = shares.domains.get(&own.domain) else {
            return false;
        };
        let lease = &domain.lease;
        let incarnation = Incarnation(lease.incarnation);
        if lease.holder == own.name {
            return incarnation != own.incarnation;
        }
        self.peers
            .runs_as_other_incarnation(&lease.holder, incarnation)
            .await
    }

    async fn read(&self) -> Result<(Shares, StoreVersion, Now), ElectionError> {
        let requested_at = clock::now();
        let lookup = self.store.row(Table::Quotas, ROW_KEY).await;
        let Lookup { row, era, now } = lookup.map_err(ElectionError::Store)?;
        let reported = now.ok_or(ElectionError::NoTime)?;
        let responded_at = clock::now();
        if !self.quotas.clock.observe_era(era, responded_at) {
            return Err(ElectionError::Store(StoreError::HistoryGone));
        }
        self.quotas
            .clock
            .record(requested_at, responded_at, reported);
        let upper_bound = self.quotas.clock.upper_bound(responded_at);
        let now = Now {
            at_least_ms: reported.millis(),
            at_most_ms: upper_bound.unwrap_or(reported).millis(),
        };
        let Some(row) = row else {
            let version = StoreVersion { era, number: 0 };
            return Ok((Shares::default(), version, now));
        };
        let shares: Result<Shares, ElectionError> = match &row.content {
            Content::Text(text) => {
                serde_json::from_str(text).map_err(|error| ElectionError::Row(error.to_string()))
            }
            Content::Unreadable(reason) => Err(ElectionError::Row(reason.clone())),
            Content::Removed => Ok(Shares::default()),
        };
        // Nodes write only readable rows. An unreadable one is replaced once all earlier leases and
        // tokens have expired; until then the error is logged at each attempt.
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

    /// Writes the row unless it has changed since it was read.
    async fn write(&self, shares: &Shares, version: StoreVersion) -> Result<(), ElectionError> {
        // In another era, the same version may belong to a different row.
        if version.era != self.quotas.clock.era() {
            return Err(ElectionError::Store(StoreError::Conflict));
        }
        let text =
            serde_json::to_string(shares).map_err(|error| ElectionError::Row(error.to_string()))?;
        let written = self.store.replace(Table::Quotas, ROW_KEY, &text, version);
        written.await.map_err(ElectionError::Store)
    }

    /// Returns true if the row has been unreadable for longer than any earlier lease or token is
    /// valid.
    fn is_unreadable_for_long(&self) -> bool {
        let since = self.unreadable_since.get().unwrap_or_else(Instant::now);
        self.unreadable_since.set(Some(since));
        since.elapsed() >= LEASE_DURATION + LEASE_GRACE
    }

    fn build_claim(&self) -> Claim {
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
            demand: round_demands(demand),
            limited,
        }
    }

    /// Returns what this node holds as the allocator, regardless of the store.
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

    fn begin_term(&self, lease: &Lease, shares: &Shares, requested_at: Moment) {
        let now = clock::now();
        let expiry = Expiry::new(lease, requested_at);
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

    /// Sets each share to what `choose` returns for the share in the row and the current one.
    fn set_shares(&self, shares: &Shares, choose: impl Fn(f64, f64) -> f64) {
        let now = clock::now();
        let domain = &self.quotas.node.domain;
        let mut term = self.quotas.term.borrow_mut();
        let Some(term) = term.as_mut() else {
            return;
        };
        for workspace in self.quotas.limits.borrow().keys() {
            let next = shares.share(domain, workspace);
            let current = term.allocator.share(workspace);
            term.allocator
                .set_share(workspace, choose(next, current), now);
        }
    }

    async fn release(&self) -> Result<(), ElectionError> {
        let (mut shares, version, now) = self.read().await?;
        let node = &self.quotas.node;
        if !shares.release(&node.domain, &node.name, node.incarnation.0, now) {
            return Ok(());
        }
        self.write(&shares, version).await
    }

    fn record_lease(&self, lease: &Lease) {
        self.last_renewal.set(Some(Instant::now()));
        self.quotas.is_share_missing.set(false);
        self.missing_since.set(None);
        if self.status.quota_term.replace(lease.term) != lease.term {
            self.status.publish();
            emit(&catalogue::QUOTA_ALLOCATOR_BEGAN, &[("term", &lease.term)]);
        }
    }

    #[allow(clippy::unused_self, reason = "events are written through one service")]
    fn log_error(&self, error: &ElectionError) {
        // Nodes take turns writing; the one that loses the race retries.
        if matches!(error, ElectionError::Store(StoreError::Conflict)) {
            return;
        }
        emit(
            &catalogue::STORE_FAILED,
            &[("operation", &"keep tokens"), ("reason", error)],
        );
    }
}

/// Rounds demands to tenths: precise enough, and short in the row.
fn round_demands(
    demand: std::collections::HashMap<WorkspaceName, f64>,
) -> BTreeMap<WorkspaceName, f64> {
    let demand = demand.into_iter();
    let demand = demand.map(|(name, demand)| (name, (demand * 10.0).round() / 10.0));
    demand.collect()
}
