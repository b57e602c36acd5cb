//! The tokens that one node has fetched from its allocator.

use std::collections::HashMap;
use std::time::Duration;

use sailtrack_units::{Moment, WorkspaceName};

use crate::allocator::{Grant, Want};
use crate::meter::Meter;

/// How long tokens are valid after they were requested: as long as a partition that is worth
/// bridging lasts. An allocator that hears nothing from a node counts its tokens for longer.
pub(crate) const TOKEN_LIFETIME: Duration = Duration::from_secs(5);
/// How much expected demand a node prefetches tokens for: many round trips to the allocator, so that few
/// requests wait, but little enough to leave most tokens with the allocator for all nodes.
const PREFETCH_TIME: Duration = Duration::from_millis(300);
/// The time constant over which the demand for prefetching is averaged.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_secs(1);
/// Tokens are fetched when fewer than this fraction of the prefetch target is left.
const REFILL_THRESHOLD: f64 = 0.5;
/// How long a workspace is kept after its last request.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// The result of trying to take a token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Acquisition {
    /// A token was taken.
    Token,
    /// The allocator has no tokens either; retry after this time.
    Exhausted(Duration),
    /// The cache is empty; tokens have to be fetched from the allocator.
    Fetch,
}

/// The cached tokens of one workspace.
#[derive(Debug, Clone, Copy)]
struct Bucket {
    held: u32,
    /// The number of tokens that the allocator counts as outstanding on this node. Used tokens take up
    /// capacity until they are reported: without prompt reports, 5 % of the requests of workspaces at
    /// three quarters of their limits were rejected.
    outstanding: u32,
    /// When the last grant was requested.
    requested: Moment,
    /// The number of requests waiting for a token.
    waiting: u32,
    exhausted_until: Option<Moment>,
    demand: Meter,
    /// Requests that arrived since the last report to the allocator.
    seen: u32,
    /// When the last request arrived.
    last_arrival: Moment,
}

impl Default for Bucket {
    fn default() -> Self {
        Self {
            held: 0,
            outstanding: 0,
            requested: Moment::default(),
            waiting: 0,
            exhausted_until: None,
            demand: Meter::new(DEMAND_TIME_CONSTANT),
            seen: 0,
            last_arrival: Moment::default(),
        }
    }
}

/// The tokens that one node has fetched from its allocator.
#[derive(Debug, Default)]
pub struct Cache {
    buckets: HashMap<WorkspaceName, Bucket>,
}

impl Cache {
    /// Takes a token for a new request, and counts the request as demand.
    pub fn acquire(&mut self, workspace: &WorkspaceName, now: Moment) -> Acquisition {
        if !self.buckets.contains_key(workspace) {
            self.buckets.insert(workspace.clone(), Bucket::default());
        }
        let Some(bucket) = self.buckets.get_mut(workspace) else {
            return Acquisition::Fetch;
        };
        bucket.demand.record(1, now);
        bucket.seen += 1;
        bucket.last_arrival = now;
        bucket.take(now)
    }

    /// Takes a token for a request that has waited for one, and was counted before.
    pub fn acquire_waiting(&mut self, workspace: &WorkspaceName, now: Moment) -> Acquisition {
        let bucket = self.buckets.get_mut(workspace);
        bucket.map_or(Acquisition::Fetch, |bucket| bucket.take(now))
    }

    /// Notes that a request starts or stops waiting for a token.
    pub fn set_waiting(&mut self, workspace: &WorkspaceName, is_waiting: bool) {
        if let Some(bucket) = self.buckets.get_mut(workspace) {
            bucket.waiting = if is_waiting {
                bucket.waiting + 1
            } else {
                bucket.waiting.saturating_sub(1)
            };
        }
    }

    /// Puts back the token of a request that did not run.
    pub fn refund(&mut self, workspace: &WorkspaceName) {
        if let Some(bucket) = self.buckets.get_mut(workspace) {
            bucket.held += 1;
        }
    }

    /// Returns what to request from the allocator now. Only one such request may be in flight at
    /// a time.
    pub fn wants(&mut self, now: Moment) -> Vec<(WorkspaceName, Want)> {
        self.buckets
            .retain(|_, bucket| now.since(bucket.last_arrival) < IDLE_TIMEOUT);
        let buckets = self.buckets.iter_mut();
        let wants = buckets.filter_map(|(name, bucket)| Some((name.clone(), bucket.want(now)?)));
        wants.collect()
    }

    /// Adds the tokens of a grant that was requested at `requested`.
    pub fn receive(&mut self, workspace: &WorkspaceName, grant: Grant, requested: Moment) {
        let Some(bucket) = self.buckets.get_mut(workspace) else {
            return;
        };
        bucket.held = bucket.held.saturating_sub(grant.recalled) + grant.tokens;
        bucket.outstanding += grant.tokens;
        bucket.requested = requested;
        let is_short = !grant.wait.is_zero();
        bucket.exhausted_until = is_short.then(|| requested + grant.wait);
    }

    /// Returns true if no workspace sent requests recently.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }

    /// Discards the tokens of a workspace whose limit has changed.
    pub fn invalidate(&mut self, workspace: &WorkspaceName) {
        if let Some(bucket) = self.buckets.get_mut(workspace) {
            bucket.held = 0;
            bucket.exhausted_until = None;
        }
    }

    /// Returns the number of valid tokens of a workspace.
    #[must_use]
    pub fn held(&self, workspace: &WorkspaceName, now: Moment) -> u32 {
        let bucket = self.buckets.get(workspace);
        bucket.map_or(0, |bucket| bucket.valid(now))
    }
}

impl Bucket {
    /// Returns the number of tokens that have not expired.
    fn valid(&self, now: Moment) -> u32 {
        if now.since(self.requested) < TOKEN_LIFETIME {
            self.held
        } else {
            0
        }
    }

    fn take(&mut self, now: Moment) -> Acquisition {
        self.held = self.valid(now);
        if self.held > 0 {
            self.held -= 1;
            return Acquisition::Token;
        }
        match self.exhausted_until {
            Some(until) if until > now => Acquisition::Exhausted(until.since(now)),
            _ => Acquisition::Fetch,
        }
    }

    fn want(&mut self, now: Moment) -> Option<Want> {
        self.held = self.valid(now);
        let demand = self.demand.rate(now);
        let target = demand * PREFETCH_TIME.as_secs_f64();
        let is_low = f64::from(self.held) < target * REFILL_THRESHOLD;
        let is_exhausted = self.exhausted_until.is_some_and(|until| until > now);
        let is_fetching = self.waiting > 0 || (is_low && !is_exhausted);
        if !is_fetching && self.held == self.outstanding {
            return None;
        }
        self.outstanding = self.held;
        Some(Want {
            held: self.held,
            needed: self.waiting,
            spare: if is_fetching {
                floor(target).saturating_sub(self.held)
            } else {
                0
            },
            seen: std::mem::take(&mut self.seen),
        })
    }
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "rates are not negative and far below the maximum"
)]
fn floor(number: f64) -> u32 {
    number as u32
}
