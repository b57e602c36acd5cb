//! Chooses the target of each call.

mod decay;
mod downstream;
mod peer_load;

use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Instant;

use rand::Rng as _;
use rand::seq::IndexedRandom as _;
use sailtrack_kernel::Service;
use sailtrack_units::{KindName, NodeName, Rank, RequestId, ServiceName, Ticket};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::call::{Answer, Call};
use crate::configuration::Configuration;
use crate::membership::{Membership, Peer};
use crate::upstream::Upstream;
pub(crate) use downstream::Downstream;
use peer_load::PeerLoad;
use sailtrack_admission::Policy;
use sailtrack_admission::{Admission, Pressure};
use sailtrack_settings::Identity;

/// Limit on the members of one service to which a node sends calls.
const SUBSET_SIZE: usize = 8;
/// Slots assumed for a member that has not reported its number.
const DEFAULT_SLOTS: f64 = 20.0;
/// Number of nodes to which a node hands over its answers at shutdown.
const SUCCESSOR_COUNT: usize = 2;
/// A member of another failure domain is preferred if its pressure is lower by at least this much.
const SPILL_MARGIN: f64 = 0.25;

/// Where a call is executed.
#[derive(Debug, Clone)]
pub(crate) enum Target {
    /// In the upstream of this node.
    Local,
    /// On another node.
    Remote(Rc<Peer>),
}

impl Target {
    /// Returns true if the target is the node with this name.
    fn is_node(&self, name: &NodeName, own: &NodeName) -> bool {
        match self {
            Self::Local => name == own,
            Self::Remote(peer) => peer.name == *name,
        }
    }
}

/// Why no target was found for a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NoTarget {
    /// No member of the service is reachable.
    Unreachable,
    /// Every member rejects calls of this rank; the value is the lowest rank admitted.
    Overload(Rank),
}

/// Chooses the targets of calls by what earlier answers reported.
pub(crate) struct Routing {
    pub(crate) policy: Policy,
    pub(crate) identity: Identity,
    pub(crate) membership: Rc<Membership>,
    pub(crate) configuration: Rc<Configuration>,
    pub(crate) admission: Rc<Admission>,
    pub(crate) upstream: Rc<Upstream>,
    pub(crate) downstream: Rc<Downstream>,
    pub(crate) loads: RefCell<HashMap<NodeName, PeerLoad>>,
}

impl Service for Routing {
    const NAME: &'static str = "routing";
}

/// A possible target with its load.
struct Candidate {
    target: Target,
    pressure: Pressure,
    level: Rank,
}

impl Routing {
    /// Returns a target for the call that is not in `tried`.
    pub(crate) fn choose(&self, call: &Call, tried: &[NodeName]) -> Result<Target, NoTarget> {
        let now = Instant::now();
        let same_domain = self.candidates(call, tried, true, now);
        if self.policy != Policy::Adaptive {
            let all = if same_domain.is_empty() {
                self.candidates(call, tried, false, now)
            } else {
                same_domain
            };
            return pick_baseline(&all).ok_or(NoTarget::Unreachable);
        }
        let best_same_domain = pick_least_loaded(&same_domain, call.rank);
        if let Some(best) = best_same_domain
            && best.pressure < Pressure::FULL
        {
            return Ok(best.target.clone());
        }
        let other_domains = self.candidates(call, tried, false, now);
        let best_other_domain = pick_least_loaded(&other_domains, call.rank);
        if let Some(best) = prefer_same_domain(best_same_domain, best_other_domain) {
            return Ok(best.target.clone());
        }
        let levels = same_domain
            .iter()
            .chain(&other_domains)
            .map(|candidate| candidate.level);
        levels.min().map_or(Err(NoTarget::Unreachable), |level| {
            Err(NoTarget::Overload(level))
        })
    }

    /// Returns a member to be the home node of a new ticket, preferably this node.
    pub(crate) fn choose_home(&self, service: &ServiceName) -> Option<Target> {
        let now = Instant::now();
        if self.is_local(service, now) {
            return Some(Target::Local);
        }
        let peers = self.membership.serving(service);
        let usable =
            |peer: &&Rc<Peer>| !self.is_drained(&peer.name) && !self.is_ejected(&peer.name, now);
        let same_domain: Vec<&Rc<Peer>> = peers
            .iter()
            .filter(usable)
            .filter(|peer| peer.domain == self.identity.domain)
            .collect();
        let all_usable: Vec<&Rc<Peer>> = peers.iter().filter(usable).collect();
        let chosen = same_domain
            .choose(&mut rand::rng())
            .or(all_usable.choose(&mut rand::rng()));
        chosen.map(|peer| Target::Remote(Rc::clone(peer)))
    }

    /// Returns the node that accounts for the retries of a client's request.
    ///
    /// All nodes of a failure domain with the same view of the membership return the same node.
    pub(crate) fn accounting_node(
        &self,
        service: &ServiceName,
        request: RequestId,
    ) -> Option<Target> {
        let now = Instant::now();
        let peers = self.membership.serving(service);
        let same_domain = peers
            .iter()
            .filter(|peer| peer.domain == self.identity.domain);
        let usable = same_domain
            .filter(|peer| !self.is_drained(&peer.name) && !self.is_ejected(&peer.name, now));
        let remote =
            usable.map(|peer| (weight(&peer.name, request), Target::Remote(Rc::clone(peer))));
        let is_local = self.is_local(service, now);
        let local = is_local.then(|| (weight(&self.identity.name, request), Target::Local));
        let all = remote.chain(local);
        all.max_by_key(|(weight, _)| *weight)
            .map(|(_, target)| target)
    }

    /// Returns the nodes to which the home node of a ticket hands over its answers at shutdown.
    ///
    /// All nodes with the same view of the service's members return the same nodes.
    pub(crate) fn successors(&self, service: &ServiceName, ticket: &Ticket) -> Vec<Target> {
        let seed = xxh3_64(ticket.home.as_str().as_bytes()) ^ ticket.incarnation.0;
        let weight_of = |name: &NodeName| xxh3_64_with_seed(name.as_str().as_bytes(), seed);
        let peers = self.membership.serving(service);
        let others = peers.iter().filter(|peer| peer.name != ticket.home);
        let remote = others.map(|peer| (weight_of(&peer.name), Target::Remote(Rc::clone(peer))));
        let own = &self.identity.name;
        let is_successor = *own != ticket.home && self.is_local(service, Instant::now());
        let local = is_successor.then(|| (weight_of(own), Target::Local));
        let mut all: Vec<(u64, Target)> = remote.chain(local).collect();
        all.sort_by_key(|(weight, _)| Reverse(*weight));
        all.truncate(SUCCESSOR_COUNT);
        all.into_iter().map(|(_, target)| target).collect()
    }

    fn is_ejected(&self, name: &NodeName, now: Instant) -> bool {
        let loads = self.loads.borrow();
        loads.get(name).is_some_and(|load| load.is_ejected(now))
    }

    /// Counts a call as outstanding at a target until the guard is dropped.
    pub(crate) fn track(self: &Rc<Self>, target: &Target) -> Outstanding {
        let name = match target {
            Target::Local => None,
            Target::Remote(peer) => Some(peer.name.clone()),
        };
        if let Some(name) = &name {
            self.with_load(name, |load| load.outstanding += 1);
        }
        Outstanding {
            routing: Rc::clone(self),
            name,
        }
    }

    /// Records what an answer reports about its target.
    pub(crate) fn record_answer(&self, target: &Target, root_kind: &KindName, answer: &Answer) {
        let Target::Remote(peer) = target else {
            return;
        };
        let now = Instant::now();
        self.with_load(&peer.name, |load| load.observe(now, root_kind, answer));
    }

    /// Returns the lowest rank known to be admitted by a member of the service.
    pub(crate) fn level(&self, service: &ServiceName, root_kind: &KindName) -> Rank {
        let now = Instant::now();
        let loads = self.loads.borrow();
        let peers = self.membership.serving(service);
        let remote = peers.iter().map(|peer| {
            let load = loads.get(&peer.name);
            load.map_or(Rank::LOWEST, |load| load.level(now, root_kind))
        });
        let local = self
            .is_local(service, now)
            .then(|| self.local_level(root_kind, now));
        remote.chain(local).min().unwrap_or(Rank::LOWEST)
    }

    /// Returns the names of the members that are currently ejected.
    pub(crate) fn ejected(&self) -> Vec<NodeName> {
        let now = Instant::now();
        let loads = self.loads.borrow();
        let ejected = loads.iter().filter(|(_, load)| load.is_ejected(now));
        ejected.map(|(name, _)| name.clone()).collect()
    }

    /// Returns the rank needed to be admitted by the own upstream and the services downstream of
    /// it.
    fn local_level(&self, root_kind: &KindName, now: Instant) -> Rank {
        self.admission
            .level(now)
            .max(self.downstream.level(now, root_kind))
    }

    fn is_local(&self, service: &ServiceName, now: Instant) -> bool {
        *service == self.identity.service
            && self.upstream.is_ready(now)
            && !self.is_drained(&self.identity.name)
    }

    fn is_drained(&self, name: &NodeName) -> bool {
        let current = self.configuration.current();
        current.declaration.drained.contains(name)
    }

    fn candidates(
        &self,
        call: &Call,
        tried: &[NodeName],
        same_domain: bool,
        now: Instant,
    ) -> Vec<Candidate> {
        let mut candidates = Vec::new();
        if same_domain && self.is_local(&call.service, now) {
            candidates.push(self.local(call, now));
        }
        let peers = self.membership.serving(&call.service);
        let selected = peers.iter().filter(|peer| {
            (peer.domain == self.identity.domain) == same_domain && !self.is_drained(&peer.name)
        });
        let mut selected: Vec<&Rc<Peer>> = selected.collect();
        if selected.len() > SUBSET_SIZE {
            selected.sort_by_key(|peer| self.affinity(&peer.name));
            selected.truncate(SUBSET_SIZE);
        }
        let loads = self.loads.borrow();
        for peer in selected {
            candidates.extend(remote(peer, loads.get(&peer.name), call, now));
        }
        candidates.retain(|candidate| {
            let own = &self.identity.name;
            !tried.iter().any(|name| candidate.target.is_node(name, own))
        });
        candidates
    }

    /// Returns a hash by which this node always prefers the same members.
    fn affinity(&self, peer: &NodeName) -> u64 {
        xxh3_64(format!("{}/{peer}", self.identity.name).as_bytes())
    }

    fn local(&self, call: &Call, now: Instant) -> Candidate {
        Candidate {
            target: Target::Local,
            pressure: self.admission.pressure(now, call.rank.importance()),
            // The local queue sorts calls by rank at no cost, so only the downstream level matters
            // here.
            level: self.downstream.level(now, &call.root_kind),
        }
    }

    fn with_load(&self, name: &NodeName, update: impl FnOnce(&mut PeerLoad)) {
        let mut loads = self.loads.borrow_mut();
        update(loads.entry(name.clone()).or_default());
    }
}

/// Returns the less loaded of two random candidates that admit the rank, or the own upstream if it
/// has room.
fn pick_least_loaded(candidates: &[Candidate], rank: Rank) -> Option<&Candidate> {
    let admitting: Vec<&Candidate> = candidates
        .iter()
        .filter(|candidate| candidate.level <= rank)
        .collect();
    let idle_local = admitting.iter().find(|candidate| {
        matches!(candidate.target, Target::Local) && candidate.pressure < Pressure::FULL
    });
    if let Some(local) = idle_local {
        return Some(local);
    }
    let two = admitting.choose_multiple(&mut rand::rng(), 2).copied();
    two.min_by(|one, other| one.pressure.0.total_cmp(&other.pressure.0))
}

/// Returns the candidate in the own failure domain, unless the one elsewhere is less loaded by more
/// than the spill margin.
fn prefer_same_domain<'a>(
    same_domain: Option<&'a Candidate>,
    other_domains: Option<&'a Candidate>,
) -> Option<&'a Candidate> {
    match (same_domain, other_domains) {
        (Some(same_domain), Some(other_domains))
            if other_domains.pressure.0 + SPILL_MARGIN < same_domain.pressure.0 =>
        {
            Some(other_domains)
        }
        (same_domain, other_domains) => same_domain.or(other_domains),
    }
}

/// Returns a target for the baseline policies: the own upstream if possible, otherwise a random
/// member.
fn pick_baseline(candidates: &[Candidate]) -> Option<Target> {
    if let Some(first) = candidates.first()
        && matches!(first.target, Target::Local)
    {
        return Some(Target::Local);
    }
    if candidates.is_empty() {
        return None;
    }
    let index = rand::rng().random_range(0..candidates.len());
    Some(candidates[index].target.clone())
}

fn remote(
    peer: &Rc<Peer>,
    load: Option<&PeerLoad>,
    call: &Call,
    now: Instant,
) -> Option<Candidate> {
    let slots = if peer.slots == 0 {
        DEFAULT_SLOTS
    } else {
        f64::from(peer.slots)
    };
    let Some(load) = load else {
        return Some(Candidate {
            target: Target::Remote(Rc::clone(peer)),
            pressure: Pressure::default(),
            level: Rank::LOWEST,
        });
    };
    if !load.is_available(now) {
        return None;
    }
    Some(Candidate {
        target: Target::Remote(Rc::clone(peer)),
        pressure: load.pressure(now, slots),
        level: load.level(now, &call.root_kind),
    })
}

/// Returns the rendezvous hash of a node and a request; the node with the highest one accounts for
/// the request.
fn weight(node: &NodeName, request: RequestId) -> u64 {
    let seed = request.stable_hash();
    xxh3_64_with_seed(node.as_str().as_bytes(), seed)
}

/// Guard of a call sent to a target and not answered yet.
pub(crate) struct Outstanding {
    routing: Rc<Routing>,
    name: Option<NodeName>,
}

impl Drop for Outstanding {
    fn drop(&mut self) {
        if let Some(name) = &self.name {
            self.routing.with_load(name, |load| load.outstanding -= 1);
        }
    }
}
