//! Which failure domain has which part of the limits, and which node keeps it.
//!
//! One row of the store holds it, written under the condition that nobody
//! else wrote it meanwhile. A domain lowers only its own part and raises it
//! only by what nobody has, so the parts of a workspace never add up to more
//! than one.

use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

use sailtrack_units::{DomainName, NodeName, WorkspaceName};
use serde::{Deserialize, Serialize};

use crate::cache::HOLD;

/// How long an allocator may go without renewing its lease: two lost renewals, and no longer than
/// callers of a node that has lost the store are served on its behalf.
pub const LEASE_DURATION: Duration = Duration::from_secs(4);
/// How long after the end of a lease the parts of a domain are left alone: its nodes may still
/// use tokens.
pub const LEASE_GRACE: Duration = HOLD.saturating_add(Duration::from_secs(1));
/// The demand of a workspace is taken for that of this many requests a second more, divided as
/// the demand of all workspaces is: of few requests, how they divide is mostly chance, and a domain
/// where a workspace was quiet has something for its first requests.
const COMMON_DEMAND: f64 = 3.0;
/// A part is lowered when it is this much too large, so that parts do not follow each wave.
const LOWER_FROM: f64 = 1.1;
/// The most by which a part is lowered at once: what nodes hold must fit into the rest.
const LOWEST_STEP: f64 = 0.5;
/// Parts are written in steps of one in so many.
const STEPS: f64 = 10_000.0;

/// Which node keeps the tokens of a failure domain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The allocator,
    pub holder: NodeName,
    /// and its life.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Grows with each allocator of the domain.
    pub term: u64,
    /// When it ends, in milliseconds of the store's clock.
    pub until_ms: u64,
    /// The era of the store in which it was given.
    #[serde(default)]
    pub era: u64,
}

impl Lease {
    /// Returns true if it has ended, or ends later than any lease that is given now: the clock of
    /// the store has begun anew since then.
    fn has_ended(&self, now: Now) -> bool {
        let longest = now.at_most_ms + 2 * millis(LEASE_DURATION);
        self.until_ms <= now.at_least_ms || self.until_ms > longest
    }
}

/// One failure domain.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Domain {
    /// Who keeps its tokens.
    pub lease: Lease,
    /// The requests a second that its nodes see.
    pub demand: BTreeMap<WorkspaceName, f64>,
    /// Its parts of the limits, from 0 to 1.
    #[serde(rename = "parts")]
    pub shares: BTreeMap<WorkspaceName, f64>,
}

/// All failure domains.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Shares {
    /// The domains that had an allocator lately.
    pub domains: BTreeMap<DomainName, Domain>,
    /// The era of the store in which it was last written.
    #[serde(default)]
    pub era: u64,
    /// When it was first written after the store came back from a copy, in milliseconds of the store's
    /// clock; zero if that was not seen.
    #[serde(default, rename = "copied_ms")]
    pub restored_ms: u64,
}

/// What an allocator has, as it knows itself.
#[derive(Debug, Clone)]
pub struct Holding {
    /// Its term,
    pub term: u64,
    /// and the parts by which it gives tokens.
    pub shares: BTreeMap<WorkspaceName, f64>,
}

/// What an allocator, or a node that wants to be one, says of itself.
#[derive(Debug, Clone)]
pub struct Claim {
    /// Where it is.
    pub domain: DomainName,
    /// Who it is,
    pub node: NodeName,
    /// and its life.
    pub incarnation: u64,
    /// How many failure domains it knows, its own included.
    pub domain_count: usize,
    /// It is not the allocator yet, so it knows no demand.
    pub is_new: bool,
    /// The era of the store,
    pub era: u64,
    /// and whether the node has seen an earlier one.
    pub has_seen_restore: bool,
    /// What it has while its lease holds.
    pub holding: Option<Holding>,
    /// The requests a second that nodes of its domain see.
    pub demand: BTreeMap<WorkspaceName, f64>,
    /// The workspaces that have limits.
    pub limited: Vec<WorkspaceName>,
}

/// What the clock of the store shows at present, at least and at most, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Now {
    /// At least.
    pub at_least_ms: u64,
    /// At most.
    pub at_most_ms: u64,
}

impl Shares {
    /// Renews the lease of a domain or takes it over, and moves its parts towards the demand;
    /// returns the lease, or nothing if another node has it.
    ///
    /// `is_gone` tells of a life of a node that it surely has ended.
    pub fn claim(
        &mut self,
        claim: &Claim,
        now: Now,
        is_gone: impl Fn(&Lease) -> bool,
    ) -> Option<Lease> {
        self.note_era(claim, now);
        self.forget_lapsed(claim, now);
        let claim = &self.complete(claim);
        let before = self.domains.get(&claim.domain);
        let lease = before.map(|domain| &domain.lease);
        let is_lost = self.is_settling(now) && lease.is_none_or(|lease| lease.era != self.era);
        let term = match lease {
            // The copy does not know who had the role last; that node does.
            _ if is_lost => claim.holding.as_ref()?.term,
            None => 1,
            Some(lease) if lease.holder == claim.node && lease.incarnation == claim.incarnation => {
                lease.term
            }
            Some(lease) if lease.has_ended(now) || is_gone(lease) => lease.term + 1,
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
            let share = if self.is_settling(now) {
                self.settled_share(claim, workspace)
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

    /// Ends the lease of a node that stops, so that another one can take it over at once; the
    /// parts stay those of the domain, as after any other end.
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

    /// Returns the part of a workspace's limit that a domain has.
    #[must_use]
    pub fn share(&self, domain: &DomainName, workspace: &WorkspaceName) -> f64 {
        let domain = self.domains.get(domain);
        let share = domain.and_then(|domain| domain.shares.get(workspace));
        share.copied().unwrap_or(0.0)
    }

    /// Returns a claim with the demand that was known before, if its node has seen none yet.
    ///
    /// A node that has just become the allocator has heard of no requests. Its domain would give up
    /// half of its parts at once: on a day on which five of six allocators were lost or turned away,
    /// a third of all requests was refused, by the domains' limits alone.
    fn complete(&self, claim: &Claim) -> Claim {
        let mut claim = claim.clone();
        let before = self.domains.get(&claim.domain);
        if let Some(before) = before.filter(|_| claim.is_new) {
            claim.demand.clone_from(&before.demand);
        }
        claim
    }

    /// Takes in the era of the store. What was written in an earlier one is a copy: it may lack the
    /// last allocators of domains, and the last parts that they took.
    fn note_era(&mut self, claim: &Claim, now: Now) {
        if self.era == claim.era {
            return;
        }
        // A row that nobody wrote may be the first one, or lost.
        let is_copy = self.era > 0 || claim.has_seen_restore;
        self.era = claim.era;
        self.restored_ms = if is_copy { now.at_most_ms } else { 0 };
    }

    /// Returns true for as long as what the copy lacks may be in use: until the leases of before have
    /// ended, and the tokens given by them. Until then only those who hold a lease go on, each with
    /// the parts that it has, and those whom they hand it over.
    fn is_settling(&self, now: Now) -> bool {
        let end = self.restored_ms + millis(LEASE_DURATION) + millis(LEASE_GRACE);
        self.restored_ms > 0 && now.at_least_ms < end
    }

    /// Returns the part of a domain while parts are not moved.
    fn settled_share(&self, claim: &Claim, workspace: &WorkspaceName) -> f64 {
        let holding = claim
            .holding
            .as_ref()
            .map(|holding| holding.shares.get(workspace));
        match holding {
            Some(share) => share.copied().unwrap_or(0.0),
            None => self.share(&claim.domain, workspace),
        }
    }

    fn forget_lapsed(&mut self, claim: &Claim, now: Now) {
        self.domains.retain(|name, domain| {
            let end = domain.lease.until_ms + millis(LEASE_GRACE);
            *name == claim.domain || end > now.at_least_ms
        });
    }

    /// Returns the part that the domain is to have next: lowered at once, raised by what is free.
    fn next_share(&self, claim: &Claim, workspace: &WorkspaceName) -> f64 {
        let share = self.share(&claim.domain, workspace);
        let others = self.domains.keys().filter(|name| **name != claim.domain);
        let taken: f64 = others.map(|name| self.share(name, workspace)).sum();
        let free = (1.0 - taken - share).max(0.0);
        let wanted = self.wanted_share(claim, workspace);
        let next = if wanted * LOWER_FROM < share {
            wanted.max(share * LOWEST_STEP)
        } else if wanted <= share {
            return share;
        } else {
            wanted.min(share + free)
        };
        (next * STEPS).floor() / STEPS
    }

    /// Returns the part that the demand in the domain stands for.
    fn wanted_share(&self, claim: &Claim, workspace: &WorkspaceName) -> f64 {
        let own = claim.demand.get(workspace).copied().unwrap_or(0.0);
        let others = self.others(claim);
        let others = others.filter_map(|domain| domain.demand.get(workspace));
        let all = own + others.sum::<f64>();
        let common = COMMON_DEMAND * self.common_share(claim);
        (own + common) / (all + COMMON_DEMAND)
    }

    /// Returns the part of the demand of all workspaces that is in the domain.
    #[allow(clippy::cast_precision_loss, reason = "domains are few")]
    fn common_share(&self, claim: &Claim) -> f64 {
        let own: f64 = claim.demand.values().sum();
        let others = self.others(claim).flat_map(|domain| domain.demand.values());
        let all = own + others.sum::<f64>();
        let names = self.domains.keys().chain([&claim.domain]);
        let names = names.collect::<HashSet<_>>().len().max(claim.domain_count) as f64;
        // A little for each, since a domain may have had no demand yet.
        (own + COMMON_DEMAND) / (all + COMMON_DEMAND * names)
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
