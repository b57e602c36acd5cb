//! Nodes of several failure domains that keep limits together, with drawn demand.
//!
//! Messages take no time here; whole interleavings of them are in `interleavings.rs`.

#![allow(dead_code, reason = "each test uses its own part")]

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};
use sailtrack_quota::{
    Acquisition, Allocator, Cache, Claim, Holder, Limit, Now, Shares, Tolerance,
};
use sailtrack_units::{DomainName, Moment, WorkspaceName};

/// How often nodes fetch ahead, and allocators renew their leases.
const LOOK: Duration = Duration::from_millis(100);
const RENEWAL: Duration = Duration::from_millis(1500);
/// How long allocators work before the first request comes.
pub const LEAD: Duration = Duration::from_secs(8);

/// One node.
struct Node {
    domain: usize,
    holder: Holder,
    cache: Cache,
    questions: u64,
}

/// What became of the requests of one workspace.
#[derive(Debug, Clone, Default)]
pub struct Ends {
    pub asked: u32,
    pub refused: u32,
    /// The requests let in during the present window,
    window: VecDeque<Moment>,
    /// and the most that there were in one.
    pub most: usize,
}

/// A whole deployment.
pub struct World {
    pub now: Moment,
    tolerance: Tolerance,
    pub limits: HashMap<WorkspaceName, Limit>,
    nodes: Vec<Node>,
    allocators: Vec<Option<Allocator>>,
    shares: Shares,
    pub ends: BTreeMap<WorkspaceName, Ends>,
    looked: Duration,
    renewed: Duration,
    random: StdRng,
}

/// The tolerance that these tests keep to.
pub const TOLERANCE: Tolerance = Tolerance {
    window: Duration::from_secs(5),
    overage: 0.1,
    slack: 20.0,
};

/// Returns limits that fall off with the number of the workspace, as few large and many small
/// customers have them.
pub fn limits(count: u32, largest: f64) -> HashMap<WorkspaceName, Limit> {
    let limits = (0..count).map(|number| {
        let rate = (largest / f64::from(number + 1).powf(0.8)).round();
        let name = format!("w{number}").parse().expect("a sound name");
        (name, Limit { rate, burst: rate })
    });
    limits.collect()
}

impl World {
    /// Returns a deployment whose domains have so many nodes each.
    pub fn new(limits: HashMap<WorkspaceName, Limit>, nodes: &[usize], seed: u64) -> Self {
        let now = Moment::since_boot(Duration::from_secs(100));
        let members = nodes.iter().enumerate().flat_map(|(domain, count)| {
            (0..*count).map(move |number| Node {
                domain,
                holder: Holder {
                    node: format!("n{domain}-{number}").parse().expect("a sound name"),
                    incarnation: 1,
                },
                cache: Cache::default(),
                questions: 0,
            })
        });
        let mut world = Self {
            now,
            tolerance: TOLERANCE,
            nodes: members.collect(),
            allocators: nodes.iter().map(|_| None).collect(),
            shares: Shares::default(),
            ends: limits
                .keys()
                .map(|name| (name.clone(), Ends::default()))
                .collect(),
            limits,
            looked: Duration::ZERO,
            renewed: Duration::ZERO,
            random: StdRng::seed_from_u64(seed),
        };
        for domain in 0..nodes.len() {
            world.renew(domain);
        }
        world.advance(LEAD);
        world
    }

    /// Returns the name of a domain.
    pub fn domain(number: usize) -> DomainName {
        format!("d{number}").parse().expect("a sound name")
    }

    /// Plays a time in which each workspace asks for this share of its rate at a node drawn by
    /// `place`.
    pub fn play(
        &mut self,
        time: Duration,
        share: impl Fn(&WorkspaceName) -> f64,
        place: impl Fn(&mut StdRng, usize) -> usize,
    ) {
        let rates: Vec<(WorkspaceName, f64)> = self
            .limits
            .iter()
            .map(|(name, limit)| (name.clone(), limit.rate * share(name)))
            .collect();
        let end = self.now + time;
        let mut arrivals = Vec::new();
        for (name, rate) in rates {
            let mut at = self.now;
            loop {
                let gap = -self.random.random_range(f64::EPSILON..1.0_f64).ln() / rate.max(1e-6);
                at = at + Duration::from_secs_f64(gap.min(1e6));
                if at >= end {
                    break;
                }
                let node = place(&mut self.random, self.nodes.len());
                arrivals.push((at, node, name.clone()));
            }
        }
        arrivals.sort();
        for (at, node, name) in arrivals {
            self.advance(at.since(self.now));
            self.request(node, &name);
        }
        self.advance(end.since(self.now));
    }

    /// Lets a request come to a node.
    pub fn request(&mut self, node: usize, name: &WorkspaceName) {
        let now = self.now;
        let mut taken = self.nodes[node].cache.acquire(name, now);
        if taken == Acquisition::Fetch {
            self.nodes[node].cache.set_waiting(name, true);
            self.ask(node);
            taken = self.nodes[node].cache.acquire_waiting(name, now);
            self.nodes[node].cache.set_waiting(name, false);
        }
        let window = self.tolerance.window;
        let ends = self.ends.get_mut(name).expect("the workspace is known");
        ends.asked += 1;
        if taken != Acquisition::Token {
            ends.refused += 1;
            return;
        }
        ends.window.push_back(now);
        while ends
            .window
            .front()
            .is_some_and(|first| now.since(*first) >= window)
        {
            ends.window.pop_front();
        }
        ends.most = ends.most.max(ends.window.len());
    }

    /// Returns the share of all requests that were let in since the last call.
    pub fn let_in(&mut self) -> f64 {
        let (asked, refused) = self.ends.values().fold((0, 0), |(asked, refused), ends| {
            (asked + ends.asked, refused + ends.refused)
        });
        for ends in self.ends.values_mut() {
            (ends.asked, ends.refused) = (0, 0);
        }
        1.0 - f64::from(refused) / f64::from(asked)
    }

    /// Checks that no workspace ran more in any window than it may.
    pub fn check_bounds(&self) {
        for (name, ends) in &self.ends {
            let limit = self.limits[name];
            let allowed = limit.rate * self.tolerance.window.as_secs_f64() + limit.burst;
            let allowed = allowed * (1.0 + self.tolerance.overage) + self.tolerance.slack;
            #[allow(clippy::cast_precision_loss, reason = "requests of seconds")]
            let most = ends.most as f64;
            assert!(most <= allowed, "{name}: {most} ran, {allowed} are allowed");
        }
    }

    /// Ends the allocator of a domain; another node takes its place with the next renewal.
    pub fn lose_allocator(&mut self, domain: usize) {
        self.allocators[domain] = None;
        let name = Self::domain(domain);
        if let Some(domain) = self.shares.domains.get_mut(&name) {
            domain.lease.until_ms = millis(self.now);
        }
    }

    fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        loop {
            let look = LOOK.saturating_sub(self.looked);
            let left = end.since(self.now);
            if look > left {
                self.looked += left;
                self.renewed += left;
                self.now = end;
                return;
            }
            self.now = self.now + look;
            self.looked = Duration::ZERO;
            self.renewed += look;
            for node in 0..self.nodes.len() {
                self.ask(node);
            }
            if self.renewed >= RENEWAL {
                self.renewed = Duration::ZERO;
                for domain in 0..self.allocators.len() {
                    self.renew(domain);
                }
            }
        }
    }

    fn ask(&mut self, number: usize) {
        let now = self.now;
        let node = &mut self.nodes[number];
        let wants = node.cache.wants(now);
        let Some(allocator) = self.allocators[node.domain].as_mut() else {
            return;
        };
        node.questions += 1;
        for (name, want) in wants {
            let grant = allocator.allocate((&node.holder, node.questions), &name, want, now);
            if let Some(grant) = grant {
                node.cache.receive(&name, grant, now);
            }
        }
    }

    fn renew(&mut self, domain: usize) {
        let now = self.now;
        let name = Self::domain(domain);
        let first = self.nodes.iter().find(|node| node.domain == domain);
        let demand = self.allocators[domain].as_ref();
        let demand = demand
            .map(|allocator| allocator.demand(now))
            .unwrap_or_default();
        let claim = Claim {
            domain: name.clone(),
            node: first.expect("each domain has a node").holder.node.clone(),
            incarnation: 1,
            is_new: self.allocators[domain].is_none(),
            domain_count: self.allocators.len(),
            era: 0,
            has_seen_restore: false,
            holding: None,
            demand: demand.into_iter().collect(),
            limited: self.limits.keys().cloned().collect(),
        };
        let millis = millis(now);
        let clock = Now {
            at_least_ms: millis,
            at_most_ms: millis,
        };
        let lease = self.shares.claim(&claim, clock, |_| false);
        lease.expect("nobody else wants it");
        if self.allocators[domain].is_none() {
            let mut allocator = Allocator::new(self.tolerance, now);
            allocator.set_limits(&self.limits, now);
            for (workspace, demand) in &self.shares.domains[&name].demand {
                allocator.set_demand(workspace, *demand, now);
            }
            self.allocators[domain] = Some(allocator);
        }
        let allocator = self.allocators[domain].as_mut().expect("it is there");
        for workspace in self.limits.keys() {
            allocator.set_share(workspace, self.shares.share(&name, workspace), now);
        }
    }
}

fn millis(moment: Moment) -> u64 {
    let time = moment.since(Moment::default());
    u64::try_from(time.as_millis()).expect("a time of seconds")
}
