//! The shares of the limits that each failure domain has, and the leases of their allocators.
//!
//! They are stored in one row, which is replaced only if no other node has
//! written it since it was read. A domain changes only its own shares, and
//! raises them only by what no other domain has, so the shares of a workspace
//! never add up to more than one.

use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

use sailtrack_units::{DomainName, NodeName, WorkspaceName};
use serde::{Deserialize, Serialize};

use crate::cache::TOKEN_LIFETIME;

/// How long a lease lasts unless it is renewed. An allocator can miss two renewals. It is no longer
/// than the time for which other nodes serve the callers of a node that cannot reach the store.
pub const LEASE_DURATION: Duration = Duration::from_secs(4);
/// How long the shares of a domain are kept after the end of its lease: its nodes may still use
/// tokens.
pub const LEASE_GRACE: Duration = TOKEN_LIFETIME.saturating_add(Duration::from_secs(1));
/// Smoothing term in requests per second that is added to the demand of a workspace, divided among
/// the domains like the demand of all workspaces. With few requests, their distribution is
/// mostly chance, and a domain where a workspace was idle needs tokens for its first requests.
const SMOOTHING_DEMAND: f64 = 3.0;
/// A share is lowered if it exceeds its target by this factor, so that it does not follow every
/// fluctuation.
const LOWERING_THRESHOLD: f64 = 1.1;
/// A share is lowered to no less than this fraction of its value at a time, since the tokens that
/// nodes hold must fit into the remainder.
const LOWERING_LIMIT: f64 = 0.5;
/// Shares are rounded down to multiples of one in this number.
const RESOLUTION: f64 = 10_000.0;

/// The right of one node to be the allocator of a failure domain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The node that is the allocator.
    pub holder: NodeName,
    /// The incarnation of that node.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Increases with each change of the allocator.
    pub term: u64,
    /// When the lease expires, in milliseconds of the store's clock.
    pub until_ms: u64,
    /// The era of the store in which the lease was granted.
    #[serde(default)]
    pub era: u64,
}

impl Lease {
    /// Returns true if the lease has expired. A lease that ends later than any one granted now could
    /// counts as expired too, since the store's clock was reset after it was granted.
    fn has_expired(&self, now: Now) -> bool {
        let longest = now.at_most_ms + 2 * millis(LEASE_DURATION);
        self.until_ms <= now.at_least_ms || self.until_ms > longest
    }
}

/// The lease, demand and shares of one failure domain.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Domain {
    /// The lease of its allocator.
    pub lease: Lease,
    /// The demand of each workspace in requests per second.
    pub demand: BTreeMap<WorkspaceName, f64>,
    /// Its share of each workspace's limit, from 0 to 1.
    #[serde(rename = "parts")]
    pub shares: BTreeMap<WorkspaceName, f64>,
}

/// The shares of all failure domains, as stored in one row.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Shares {
    /// The domains whose lease is valid or in its grace period.
    pub domains: BTreeMap<DomainName, Domain>,
    /// The era of the store in which the row was last written.
    #[serde(default)]
    pub era: u64,
    /// When the row was first written after the store was restored from a backup, in milliseconds of
    /// the store's clock; zero if no restore was seen.
    #[serde(default, rename = "copied_ms")]
    pub restored_ms: u64,
}

/// What an allocator holds, independently of the store.
#[derive(Debug, Clone)]
pub struct Holding {
    /// The term of its lease.
    pub term: u64,
    /// The shares by which it grants tokens.
    pub shares: BTreeMap<WorkspaceName, f64>,
}

/// A request to renew or take over the lease of a domain.
#[derive(Debug, Clone)]
pub struct Claim {
    /// The failure domain of the node.
    pub domain: DomainName,
    /// The node that makes the claim.
    pub node: NodeName,
    /// The incarnation of the node.
    pub incarnation: u64,
    /// The number of failure domains that the node knows, including its own.
    pub domain_count: usize,
    /// The node is not the allocator yet, so it has not measured any demand.
    pub is_new: bool,
    /// The current era of the store.
    pub era: u64,
    /// The node has seen an earlier era, so the store was restored from a backup.
    pub has_seen_restore: bool,
    /// What the node holds as the allocator, if it has a valid lease.
    pub holding: Option<Holding>,
    /// The demand of each workspace in the domain, in requests per second.
    pub demand: BTreeMap<WorkspaceName, f64>,
    /// The workspaces that have a limit.
    pub limited: Vec<WorkspaceName>,
}

/// Bounds on the current time of the store's clock, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Now {
    /// The earliest possible time.
    pub at_least_ms: u64,
    /// The latest possible time.
    pub at_most_ms: u64,
}

impl Shares {
    /// Renews the lease of a domain or takes it over, and adjusts the domain's shares to the demand.
    /// Returns the lease, or `None` if another node holds it.
    ///
    /// `is_gone` returns true if the holder of a lease has certainly terminated.
    pub fn claim(
        &mut self,
        claim: &Claim,
        now: Now,
        is_gone: impl Fn(&Lease) -> bool,
    ) -> Option<Lease> {
        self.detect_restore(claim, now);
        self.remove_expired(claim, now);
        let claim = &self.with_stored_demand(claim);
        let before = self.domains.get(&claim.domain);
        let lease = before.map(|domain| &domain.lease);
        let is_unknown = self.is_recovering(now) && lease.is_none_or(|lease| lease.era != self.era);
        let term = match lease {
            // The backup may lack the latest lease; only its holder may continue with it.
            _ if is_unknown => claim.holding.as_ref()?.term,
            None => 1,
            Some(lease) if lease.holder == claim.node && lease.incarnation == claim.incarnation => {
                lease.term
            }
            Some(lease) if lease.has_expired(now) || is_gone(lease) => lease.term + 1,
            Some(_) => return None,
        };
        let lease = Lease {
            holder: claim.node.clone(),
            incarnation: claim.incarnation,
            term,
            until_ms: now.at_most_ms + millis(LEASE_DURATION),
            era: self.era,
        };
        let shares = claim.limited.iter().map(|workspace| {
            let share = if self.is_recovering(now) {
                self.recovery_share(claim, workspace)
            } else {
                self.next_share(claim, workspace)
            };
            (workspace.clone(), share)
        });
        let domain = Domain {
            lease: lease.clone(),
            shares: shares.collect(),
            demand: claim.demand.clone(),
        };
        self.domains.insert(claim.domain.clone(), domain);
        Some(lease)
    }

    /// Ends the lease of a node that shuts down, so that another one can take over at once. The
    /// domain keeps its shares, as after an expiry. Returns false if the node has no lease.
    pub fn release(
        &mut self,
        domain: &DomainName,
        node: &NodeName,
        incarnation: u64,
        now: Now,
    ) -> bool {
        let known = self.domains.get_mut(domain);
        let own = known
            .filter(|known| known.lease.holder == *node && known.lease.incarnation == incarnation);
        let is_own = own.is_some();
        if let Some(domain) = own {
            domain.lease.until_ms = domain.lease.until_ms.min(now.at_least_ms);
        }
        is_own
    }

    /// Returns a domain's share of a workspace's limit.
    #[must_use]
    pub fn share(&self, domain: &DomainName, workspace: &WorkspaceName) -> f64 {
        let domain = self.domains.get(domain);
        let share = domain.and_then(|domain| domain.shares.get(workspace));
        share.copied().unwrap_or(0.0)
    }

    /// Returns the claim with the demand stored for the domain if the node is a new allocator.
    ///
    /// A new allocator has not seen any requests yet. Without this its domain would give up half of
    /// its shares at once: on a day when five of six allocators were lost or rejected, a third of
    /// all requests was rejected because of the domains' limits alone.
    fn with_stored_demand(&self, claim: &Claim) -> Claim {
        let mut claim = claim.clone();
        let before = self.domains.get(&claim.domain);
        if let Some(before) = before.filter(|_| claim.is_new) {
            claim.demand.clone_from(&before.demand);
        }
        claim
    }

    /// Detects a restore by a change of the store's era. A row from an earlier era comes from a
    /// backup and may lack the latest leases and shares.
    fn detect_restore(&mut self, claim: &Claim, now: Now) {
        if self.era == claim.era {
            return;
        }
        // A row that was never written is either new, or missing from the backup.
        let was_restored = self.era > 0 || claim.has_seen_restore;
        self.era = claim.era;
        self.restored_ms = if was_restored { now.at_most_ms } else { 0 };
    }

    /// Returns true while leases and tokens that the restored backup lacks may still be in use.
    /// Until they have expired, only nodes that hold a lease go on, with the shares that they have,
    /// and their successors once they release it.
    fn is_recovering(&self, now: Now) -> bool {
        let end = self.restored_ms + millis(LEASE_DURATION) + millis(LEASE_GRACE);
        self.restored_ms > 0 && now.at_least_ms < end
    }

    /// Returns the share of a domain during recovery, when shares do not change.
    fn recovery_share(&self, claim: &Claim, workspace: &WorkspaceName) -> f64 {
        let holding = claim
            .holding
            .as_ref()
            .map(|holding| holding.shares.get(workspace));
        match holding {
            Some(share) => share.copied().unwrap_or(0.0),
            None => self.share(&claim.domain, workspace),
        }
    }

    /// Removes other domains whose lease and grace period are over.
    fn remove_expired(&mut self, claim: &Claim, now: Now) {
        self.domains.retain(|name, domain| {
            let end = domain.lease.until_ms + millis(LEASE_GRACE);
            *name == claim.domain || end > now.at_least_ms
        });
    }

    /// Returns the next share of the domain. It is lowered towards the target, or raised by what no
    /// other domain has.
    fn next_share(&self, claim: &Claim, workspace: &WorkspaceName) -> f64 {
        let share = self.share(&claim.domain, workspace);
        let others = self.domains.keys().filter(|name| **name != claim.domain);
        let others_total: f64 = others.map(|name| self.share(name, workspace)).sum();
        let free = (1.0 - others_total - share).max(0.0);
        let target = self.target_share(claim, workspace);
        let next = if target * LOWERING_THRESHOLD < share {
            target.max(share * LOWERING_LIMIT)
        } else if target <= share {
            return share;
        } else {
            target.min(share + free)
        };
        (next * RESOLUTION).floor() / RESOLUTION
    }

    /// Returns the share that corresponds to the domain's fraction of the workspace's demand.
    fn target_share(&self, claim: &Claim, workspace: &WorkspaceName) -> f64 {
        let own = claim.demand.get(workspace).copied().unwrap_or(0.0);
        let others = self.others(claim);
        let others = others.filter_map(|domain| domain.demand.get(workspace));
        let all = own + others.sum::<f64>();
        let smoothing = SMOOTHING_DEMAND * self.total_demand_fraction(claim);
        (own + smoothing) / (all + SMOOTHING_DEMAND)
    }

    /// Returns the domain's fraction of the total demand of all workspaces.
    #[allow(clippy::cast_precision_loss, reason = "there are few domains")]
    fn total_demand_fraction(&self, claim: &Claim) -> f64 {
        let own: f64 = claim.demand.values().sum();
        let others = self.others(claim).flat_map(|domain| domain.demand.values());
        let all = own + others.sum::<f64>();
        let names = self.domains.keys().chain([&claim.domain]);
        let names = names.collect::<HashSet<_>>().len().max(claim.domain_count) as f64;
        // Smoothed, since a domain may not have had any demand yet.
        (own + SMOOTHING_DEMAND) / (all + SMOOTHING_DEMAND * names)
    }

    fn others<'a>(&'a self, claim: &'a Claim) -> impl Iterator<Item = &'a Domain> {
        let others = self.domains.iter();
        let others = others.filter(|(name, _)| **name != claim.domain);
        others.map(|(_, domain)| domain)
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
