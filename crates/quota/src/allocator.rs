//! The tokens of one failure domain, kept by one node.

use std::collections::HashMap;
use std::time::Duration;

use sailtrack_units::{Moment, NodeName, WorkspaceName};

use crate::cache::HOLD;
use crate::limit::{Limit, Tolerance};
use crate::meter::Meter;

/// How long tokens of a node are counted after it was last heard of: longer than it holds them,
/// which it counts from an earlier moment, and by the slower of two clocks.
const COUNTED: Duration = HOLD.saturating_add(Duration::from_millis(500));
/// For how long a new allocator keeps less: nodes may still hold tokens of the allocator
/// before it that it has not heard of.
const YOUNG: Duration = COUNTED;
/// Tokens that are not needed at once are handed out from above this share of the room only,
/// so that the first node that asks does not take those that others need.
const SPARE_FROM: f64 = 0.3;
/// Over how long demand is averaged: a workspace with four requests a second in a domain is seen
/// some thirty times in it, so that its part does not follow chance.
const DEMAND_SPAN: Duration = Duration::from_secs(8);
/// The shortest and the longest time after which tokens are asked for again.
const SHORTEST_WAIT: Duration = Duration::from_millis(20);
const LONGEST_WAIT: Duration = Duration::from_secs(1);

/// What a node says and asks about the tokens of one workspace.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Want {
    /// The tokens that it has,
    pub held: u32,
    /// how many more are needed at once,
    pub needed: u32,
    /// and how many more would save it from asking again soon.
    pub spare: u32,
    /// The requests that it has seen since its last question, let in or not.
    pub seen: u32,
}

/// What a node gets.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Grant {
    /// The tokens that it gets.
    pub tokens: u32,
    /// So many of those that it had are void: with all others they are more than there is room for.
    pub recalled: u32,
    /// If that is less than needed, the time after which there are more.
    pub wait: Duration,
}

/// Who holds tokens: one life of a node. What an earlier life held counts until it lapses.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Holder {
    /// The node,
    pub node: NodeName,
    /// and its life.
    pub incarnation: u64,
}

/// What a node holds, as far as the allocator knows.
#[derive(Debug, Clone, Copy, Default)]
struct Account {
    /// The number of its last question; one that comes late is older.
    question: u64,
    held: u32,
    /// How many of these its last answer voids; they count until it says that it got the answer.
    recalled: u32,
    heard: Moment,
}

/// The tokens of one workspace.
#[derive(Debug)]
struct Pool {
    limit: Limit,
    share: f64,
    tokens: f64,
    at: Moment,
    demand: Meter,
    accounts: HashMap<Holder, Account>,
}

/// The tokens of one failure domain.
#[derive(Debug)]
pub struct Allocator {
    tolerance: Tolerance,
    began: Moment,
    pools: HashMap<WorkspaceName, Pool>,
}

impl Allocator {
    /// Begins with no tokens at all: what was there before may still be in use.
    #[must_use]
    pub fn new(tolerance: Tolerance, now: Moment) -> Self {
        Self {
            tolerance,
            began: now,
            pools: HashMap::new(),
        }
    }

    /// Puts another tolerance into force.
    pub fn set_tolerance(&mut self, tolerance: Tolerance, now: Moment) {
        // Until now the earlier one held.
        for pool in self.pools.values_mut() {
            pool.fill(&self.tolerance, self.began, now);
        }
        self.tolerance = tolerance;
        for pool in self.pools.values_mut() {
            pool.fill(&self.tolerance, self.began, now);
        }
    }

    /// Takes the limits of all workspaces in force; one that is not named has none.
    pub fn set_limits(&mut self, limits: &HashMap<WorkspaceName, Limit>, now: Moment) {
        self.pools.retain(|name, _| limits.contains_key(name));
        for (name, limit) in limits {
            let pool = self.pools.entry(name.clone()).or_insert_with(|| Pool {
                limit: *limit,
                share: 0.0,
                tokens: 0.0,
                at: now,
                demand: Meter::over(DEMAND_SPAN),
                accounts: HashMap::new(),
            });
            // Until now the earlier limit held.
            pool.fill(&self.tolerance, self.began, now);
            pool.limit = *limit;
            pool.fill(&self.tolerance, self.began, now);
        }
    }

    /// Sets the part of a workspace's limit that this domain has, from 0 to 1.
    pub fn set_share(&mut self, workspace: &WorkspaceName, share: f64, now: Moment) {
        if let Some(pool) = self.pools.get_mut(workspace) {
            pool.fill(&self.tolerance, self.began, now);
            pool.share = share;
            pool.fill(&self.tolerance, self.began, now);
        }
    }

    /// Takes in what a node says and gives it tokens; nothing for a workspace without a limit.
    ///
    /// The questions of a life are numbered from 1 on, and each is asked once all earlier ones are
    /// answered or given up.
    pub fn allocate(
        &mut self,
        (holder, question): (&Holder, u64),
        workspace: &WorkspaceName,
        want: Want,
        now: Moment,
    ) -> Option<Grant> {
        let pool = self.pools.get_mut(workspace)?;
        let account = pool.accounts.entry(holder.clone()).or_default();
        if question <= account.question {
            return Some(Grant {
                tokens: 0,
                // The answer to the same question may be the only one that arrives.
                recalled: account.recalled,
                wait: SHORTEST_WAIT,
            });
        }
        *account = Account {
            question,
            held: want.held,
            recalled: 0,
            heard: now,
        };
        pool.demand.note(want.seen, now);
        pool.fill(&self.tolerance, self.began, now);
        let room = pool.room(&self.tolerance, self.began, now);
        let needed = whole(pool.tokens).min(want.needed);
        let left = pool.tokens - f64::from(needed) - room * SPARE_FROM;
        let tokens = needed + whole(left).min(want.spare);
        pool.tokens -= f64::from(tokens);
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

    /// Takes over the requests a second that the allocator before saw.
    pub fn set_demand(&mut self, workspace: &WorkspaceName, demand: f64, now: Moment) {
        if let Some(pool) = self.pools.get_mut(workspace) {
            pool.demand.set(demand, now);
        }
    }

    /// Returns the part of a workspace's limit that this domain has.
    #[must_use]
    pub fn share(&self, workspace: &WorkspaceName) -> f64 {
        self.pools.get(workspace).map_or(0.0, |pool| pool.share)
    }

    /// Returns the requests a second that all nodes of the domain see, by workspace.
    #[must_use]
    pub fn demand(&self, now: Moment) -> HashMap<WorkspaceName, f64> {
        let demands = self.pools.iter();
        let demands = demands.map(|(name, pool)| (name.clone(), pool.demand.rate(now)));
        demands.filter(|(_, demand)| *demand > 0.0).collect()
    }

    /// Returns the tokens of a workspace that nobody has been given.
    #[must_use]
    pub fn available(&self, workspace: &WorkspaceName) -> f64 {
        self.pools.get(workspace).map_or(0.0, |pool| pool.tokens)
    }
}

impl Pool {
    fn rate(&self, tolerance: &Tolerance) -> f64 {
        self.limit.refill_rate(tolerance) * self.share
    }

    /// Returns the most tokens that may be here and with nodes.
    fn room(&self, tolerance: &Tolerance, began: Moment, now: Moment) -> f64 {
        let room = if now.since(began) < YOUNG {
            self.limit.startup_capacity(tolerance)
        } else {
            self.limit.capacity(tolerance)
        };
        room * self.share
    }

    fn handed_out(&self) -> f64 {
        let held = self.accounts.values().map(|account| account.held);
        held.map(f64::from).sum()
    }

    /// Returns how many tokens too many nodes have.
    ///
    /// An answer renews what its node has, so that tokens of an allocator before this one would never
    /// lapse, and those of several would add up.
    fn excess(&self, tolerance: &Tolerance) -> u32 {
        let kept = self.accounts.values();
        let kept = kept.map(|account| f64::from(account.held - account.recalled));
        let kept = kept.sum::<f64>();
        whole((kept - self.limit.capacity(tolerance) * self.share).ceil())
    }

    /// Adds what came in since the last time, up to what may be there.
    fn fill(&mut self, tolerance: &Tolerance, began: Moment, now: Moment) {
        self.accounts
            .retain(|_, account| now.since(account.heard) <= COUNTED);
        let room = self.room(tolerance, began, now) - self.handed_out();
        let came = self.rate(tolerance) * now.since(self.at).as_secs_f64();
        self.tokens = (self.tokens + came).min(room.max(0.0));
        self.at = now;
    }

    /// Returns the time after which a node that lacks tokens finds some.
    fn wait(&self, tolerance: &Tolerance, missing: u32, now: Moment) -> Duration {
        let rate = self.rate(tolerance);
        if missing == 0 || rate <= 0.0 {
            return if missing == 0 {
                Duration::ZERO
            } else {
                LONGEST_WAIT
            };
        }
        // The more is asked beyond the rate, the longer until it is somebody's turn.
        let excess = (self.demand.rate(now) / rate).max(1.0);
        let first = (1.0 - self.tokens).max(0.0) / rate;
        let wait = Duration::try_from_secs_f64(first * excess).unwrap_or(LONGEST_WAIT);
        wait.clamp(SHORTEST_WAIT, LONGEST_WAIT)
    }
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a number below 0 is none, and no limit comes near the greatest"
)]
fn whole(tokens: f64) -> u32 {
    tokens.max(0.0) as u32
}
