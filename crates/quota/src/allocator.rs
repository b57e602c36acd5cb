//! The token pools of one failure domain, managed by one node.

use std::collections::HashMap;
use std::time::Duration;

use sailtrack_units::{Moment, NodeName, WorkspaceName};

use crate::bucket::Bucket;
use crate::cache::TOKEN_LIFETIME;
use crate::limit::{Limit, Tolerance};
use crate::meter::Meter;

/// How long the tokens of a silent node are counted as outstanding. This exceeds the lifetime of
/// tokens, which the node measures from an earlier moment and possibly with a slower clock.
const HOLDER_TIMEOUT: Duration = TOKEN_LIFETIME.saturating_add(Duration::from_millis(500));
/// How long a new allocator uses a smaller capacity: nodes may still hold tokens of its predecessor
/// that it does not know of.
const STARTUP_TIME: Duration = HOLDER_TIMEOUT;
/// The fraction of the capacity that is reserved for requests that are already waiting. Nodes that
/// prefetch get tokens above it only, so that the first one does not take what others need.
const PREFETCH_RESERVE: f64 = 0.3;
/// The time constant over which demand is averaged. A workspace with four requests per second in a
/// domain has about thirty in it, so its share does not follow random fluctuations.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_secs(8);
/// Bounds of the time after which a node asks again for tokens.
const MIN_WAIT: Duration = Duration::from_millis(20);
const MAX_WAIT: Duration = Duration::from_secs(1);

/// A node's request for tokens of one workspace, with a report of its state.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Want {
    /// Tokens that the node holds.
    pub held: u32,
    /// Additional tokens needed by requests that are waiting.
    pub needed: u32,
    /// Additional tokens to prefetch for expected requests.
    pub spare: u32,
    /// Requests that arrived since the last report, whether admitted or not.
    pub seen: u32,
}

/// The answer to a request for tokens.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Grant {
    /// Tokens that the node receives.
    pub tokens: u32,
    /// Tokens that the node has to discard, since all nodes together hold more than the capacity.
    pub recalled: u32,
    /// The time after which to ask again, if fewer tokens were granted than needed.
    pub wait: Duration,
}

/// One incarnation of a node that holds tokens. Those of an earlier incarnation count as outstanding
/// until they expire.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Holder {
    /// The name of the node.
    pub node: NodeName,
    /// The incarnation of the node.
    pub incarnation: u64,
}

/// The tokens of one holder, as far as the allocator knows.
#[derive(Debug, Clone, Copy, Default)]
struct Account {
    /// The sequence number of the last token request. Requests with the same or a lower number are
    /// duplicates or were delayed.
    sequence: u64,
    held: u32,
    /// How many of these the last grant recalled. They stay outstanding until the next token
    /// request confirms that the grant arrived.
    recalled: u32,
    last_heard: Moment,
}

/// The tokens of one workspace in this failure domain.
#[derive(Debug)]
struct Pool {
    limit: Limit,
    share: f64,
    bucket: Bucket,
    updated: Moment,
    demand: Meter,
    accounts: HashMap<Holder, Account>,
}

/// Grants the tokens of one failure domain to its nodes.
#[derive(Debug)]
pub struct Allocator {
    tolerance: Tolerance,
    started: Moment,
    pools: HashMap<WorkspaceName, Pool>,
}

impl Allocator {
    /// Creates an allocator without tokens, since those of its predecessor may still be in use.
    #[must_use]
    pub fn new(tolerance: Tolerance, now: Moment) -> Self {
        Self {
            tolerance,
            started: now,
            pools: HashMap::new(),
        }
    }

    /// Changes the tolerance.
    pub fn set_tolerance(&mut self, tolerance: Tolerance, now: Moment) {
        // Refill under the old tolerance up to now.
        for pool in self.pools.values_mut() {
            pool.refill(&self.tolerance, self.started, now);
        }
        self.tolerance = tolerance;
        for pool in self.pools.values_mut() {
            pool.refill(&self.tolerance, self.started, now);
        }
    }

    /// Replaces the limits of all workspaces. A workspace that is not listed has no limit.
    pub fn set_limits(&mut self, limits: &HashMap<WorkspaceName, Limit>, now: Moment) {
        self.pools.retain(|name, _| limits.contains_key(name));
        for (name, limit) in limits {
            let pool = self.pools.entry(name.clone()).or_insert_with(|| Pool {
                limit: *limit,
                share: 0.0,
                bucket: Bucket::default(),
                updated: now,
                demand: Meter::new(DEMAND_TIME_CONSTANT),
                accounts: HashMap::new(),
            });
            // Refill at the old limit up to now.
            pool.refill(&self.tolerance, self.started, now);
            pool.limit = *limit;
            pool.refill(&self.tolerance, self.started, now);
        }
    }

    /// Sets this domain's share of a workspace's limit, from 0 to 1.
    pub fn set_share(&mut self, workspace: &WorkspaceName, share: f64, now: Moment) {
        if let Some(pool) = self.pools.get_mut(workspace) {
            pool.refill(&self.tolerance, self.started, now);
            pool.share = share;
            pool.refill(&self.tolerance, self.started, now);
        }
    }

    /// Grants tokens to a node; returns `None` for a workspace without a limit.
    ///
    /// The token requests of one holder are numbered from 1, and it sends each only after the earlier
    /// ones are answered or abandoned.
    pub fn allocate(
        &mut self,
        (holder, sequence): (&Holder, u64),
        workspace: &WorkspaceName,
        want: Want,
        now: Moment,
    ) -> Option<Grant> {
        let pool = self.pools.get_mut(workspace)?;
        let account = pool.accounts.entry(holder.clone()).or_default();
        if sequence <= account.sequence {
            return Some(Grant {
                tokens: 0,
                // Repeats the recall in case the first grant for this request is lost.
                recalled: account.recalled,
                wait: MIN_WAIT,
            });
        }
        *account = Account {
            sequence,
            held: want.held,
            recalled: 0,
            last_heard: now,
        };
        pool.demand.record(want.seen, now);
        pool.refill(&self.tolerance, self.started, now);
        let capacity = pool.capacity(&self.tolerance, self.started, now);
        let available = pool.bucket.tokens();
        let needed = floor(available).min(want.needed);
        let left = available - f64::from(needed) - capacity * PREFETCH_RESERVE;
        let tokens = needed + floor(left).min(want.spare);
        pool.bucket.take(f64::from(tokens));
        let recalled = pool.excess(&self.tolerance).min(want.held);
        if let Some(account) = pool.accounts.get_mut(holder) {
            account.held += tokens;
            account.recalled = recalled;
        }
        Some(Grant {
            tokens,
            recalled,
            wait: pool.wait(&self.tolerance, want.needed - needed, now),
        })
    }

    /// Sets the demand in requests per second, as measured by the previous allocator.
    pub fn set_demand(&mut self, workspace: &WorkspaceName, demand: f64, now: Moment) {
        if let Some(pool) = self.pools.get_mut(workspace) {
            pool.demand.set(demand, now);
        }
    }

    /// Returns this domain's share of a workspace's limit.
    #[must_use]
    pub fn share(&self, workspace: &WorkspaceName) -> f64 {
        self.pools.get(workspace).map_or(0.0, |pool| pool.share)
    }

    /// Returns the demand of each workspace in this domain, in requests per second.
    #[must_use]
    pub fn demand(&self, now: Moment) -> HashMap<WorkspaceName, f64> {
        let demands = self.pools.iter();
        let demands = demands.map(|(name, pool)| (name.clone(), pool.demand.rate(now)));
        demands.filter(|(_, demand)| *demand > 0.0).collect()
    }

    /// Returns the tokens of a workspace that are not granted to any node.
    #[must_use]
    pub fn available(&self, workspace: &WorkspaceName) -> f64 {
        self.pools
            .get(workspace)
            .map_or(0.0, |pool| pool.bucket.tokens())
    }
}

impl Pool {
    fn rate(&self, tolerance: &Tolerance) -> f64 {
        self.limit.refill_rate(tolerance) * self.share
    }

    /// Returns the maximum number of tokens in this domain's pool and caches.
    fn capacity(&self, tolerance: &Tolerance, started: Moment, now: Moment) -> f64 {
        let capacity = if now.since(started) < STARTUP_TIME {
            self.limit.startup_capacity(tolerance)
        } else {
            self.limit.capacity(tolerance)
        };
        capacity * self.share
    }

    fn outstanding(&self) -> f64 {
        let held = self.accounts.values().map(|account| account.held);
        held.map(f64::from).sum()
    }

    /// Returns by how many tokens the nodes exceed the capacity.
    ///
    /// A grant renews the tokens that its node already holds. If the excess were not recalled, tokens
    /// of previous allocators would never expire, and those of several allocators would add up.
    fn excess(&self, tolerance: &Tolerance) -> u32 {
        let kept = self.accounts.values();
        let kept = kept.map(|account| f64::from(account.held - account.recalled));
        let kept = kept.sum::<f64>();
        floor((kept - self.limit.capacity(tolerance) * self.share).ceil())
    }

    /// Drops holders that have timed out, and adds the tokens due since the last refill, up to the
    /// capacity.
    fn refill(&mut self, tolerance: &Tolerance, started: Moment, now: Moment) {
        self.accounts
            .retain(|_, account| now.since(account.last_heard) <= HOLDER_TIMEOUT);
        let free = self.capacity(tolerance, started, now) - self.outstanding();
        let elapsed = now.since(self.updated);
        self.bucket
            .refill(self.rate(tolerance), free.max(0.0), elapsed);
        self.updated = now;
    }

    /// Returns the time after which a node that lacks tokens should ask again.
    fn wait(&self, tolerance: &Tolerance, missing: u32, now: Moment) -> Duration {
        let rate = self.rate(tolerance);
        if missing == 0 || rate <= 0.0 {
            return if missing == 0 {
                Duration::ZERO
            } else {
                MAX_WAIT
            };
        }
        // If demand exceeds the rate, nodes compete for each token, and wait longer in proportion.
        let excess = (self.demand.rate(now) / rate).max(1.0);
        let first = self.bucket.time_until(1.0, rate / excess);
        first.unwrap_or(MAX_WAIT).clamp(MIN_WAIT, MAX_WAIT)
    }
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "negative numbers are clamped to zero, and limits are far below the maximum"
)]
fn floor(tokens: f64) -> u32 {
    tokens.max(0.0) as u32
}
