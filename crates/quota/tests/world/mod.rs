//! Simulates nodes in several failure domains that enforce limits together under random demand.
//!
//! Messages take no time here; `interleavings.rs` tests their interleavings.

#![allow(dead_code, reason = "each test uses a part of it")]

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};
use sailtrack_quota::{
    Acquisition, Allocator, Cache, Claim, Holder, Limit, Now, Shares, Tolerance,
};
use sailtrack_units::{DomainName, Moment, WorkspaceName};

/// How often nodes prefetch tokens.
const PREFETCH_INTERVAL: Duration = Duration::from_millis(100);
/// How often allocators renew their leases.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(1500);
/// How long the allocators run before the first request.
pub const WARM_UP_TIME: Duration = Duration::from_secs(8);

/// A node with its cache.
struct Node {
    domain: usize,
    holder: Holder,
    cache: Cache,
    requests: u64,
}

/// Counts what happened to the requests of one workspace.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    pub sent: u32,
    pub rejected: u32,
    /// When requests were admitted in the current window.
    window: VecDeque<Moment>,
    /// The maximum number of requests admitted in any window.
    pub max_per_window: usize,
}

/// A simulated deployment.
pub struct World {
    pub now: Moment,
    tolerance: Tolerance,
    pub limits: HashMap<WorkspaceName, Limit>,
    nodes: Vec<Node>,
    allocators: Vec<Option<Allocator>>,
    shares: Shares,
    pub outcomes: BTreeMap<WorkspaceName, Outcome>,
    since_prefetch: Duration,
    since_renewal: Duration,
    random: StdRng,
}

/// The tolerance used in these tests.
pub const TOLERANCE: Tolerance = Tolerance {
    window: Duration::from_secs(5),
    overage: 0.1,
    slack: 20.0,
};

/// Returns limits that decrease with the number of the workspace, as for few large and many small
/// customers.
pub fn limits(count: u32, largest: f64) -> HashMap<WorkspaceName, Limit> {
    let limits = (0..count).map(|number| {
        let rate = (largest / f64::from(number + 1).powf(0.8)).round();
        let name = format!("w{number}").parse().expect("valid name");
        (name, Limit { rate, burst: rate })
    });
    limits.collect()
}

impl World {
    /// Creates a deployment with the given number of nodes in each domain.
    pub fn new(limits: HashMap<WorkspaceName, Limit>, nodes: &[usize], seed: u64) -> Self {
        let now = Moment::since_boot(Duration::from_secs(100));
        let members = nodes.iter().enumerate().flat_map(|(domain, count)| {
            (0..*count).map(move |number| Node {
                domain,
                holder: Holder {
                    node: format!("n{domain}-{number}").parse().expect("valid name"),
                    incarnation: 1,
                },
                cache: Cache::default(),
                requests: 0,
            })
        });
        let mut world = Self {
            now,
            tolerance: TOLERANCE,
            nodes: members.collect(),
            allocators: nodes.iter().map(|_| None).collect(),
            shares: Shares::default(),
            outcomes: limits
                .keys()
                .map(|name| (name.clone(), Outcome::default()))
                .collect(),
            limits,
            since_prefetch: Duration::ZERO,
            since_renewal: Duration::ZERO,
            random: StdRng::seed_from_u64(seed),
        };
        for domain in 0..nodes.len() {
            world.renew(domain);
        }
        world.advance(WARM_UP_TIME);
        world
    }

    /// Returns the name of a domain.
    pub fn domain(number: usize) -> DomainName {
        format!("d{number}").parse().expect("valid name")
    }

    /// Simulates a period in which each workspace sends requests at its rate times `load_factor`, each
    /// to a node chosen by `place`.
    pub fn run(
        &mut self,
        time: Duration,
        load_factor: impl Fn(&WorkspaceName) -> f64,
        place: impl Fn(&mut StdRng, usize) -> usize,
    ) {
        let rates: Vec<(WorkspaceName, f64)> = self
            .limits
            .iter()
            .map(|(name, limit)| (name.clone(), limit.rate * load_factor(name)))
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

    /// Sends one request to a node.
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
        let outcome = self.outcomes.get_mut(name).expect("known workspace");
        outcome.sent += 1;
        if taken != Acquisition::Token {
            outcome.rejected += 1;
            return;
        }
        outcome.window.push_back(now);
        while outcome
            .window
            .front()
            .is_some_and(|first| now.since(*first) >= window)
        {
            outcome.window.pop_front();
        }
        outcome.max_per_window = outcome.max_per_window.max(outcome.window.len());
    }

    /// Returns the fraction of all requests that were admitted since the last call.
    pub fn admitted(&mut self) -> f64 {
        let (sent, rejected) = self
            .outcomes
            .values()
            .fold((0, 0), |(sent, rejected), outcome| {
                (sent + outcome.sent, rejected + outcome.rejected)
            });
        for outcome in self.outcomes.values_mut() {
            (outcome.sent, outcome.rejected) = (0, 0);
        }
        1.0 - f64::from(rejected) / f64::from(sent)
    }

    /// Checks that no workspace exceeded its limit by more than the tolerance in any window.
    pub fn check_bounds(&self) {
        for (name, outcome) in &self.outcomes {
            let limit = self.limits[name];
            let allowed = limit.rate * self.tolerance.window.as_secs_f64() + limit.burst;
            let allowed = allowed * (1.0 + self.tolerance.overage) + self.tolerance.slack;
            #[allow(clippy::cast_precision_loss, reason = "few requests")]
            let max_per_window = outcome.max_per_window as f64;
            assert!(
                max_per_window <= allowed,
                "{name}: {max_per_window} ran, {allowed} are allowed"
            );
        }
    }

    /// Removes the allocator of a domain; a new one takes over at the next renewal.
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
            let step = PREFETCH_INTERVAL.saturating_sub(self.since_prefetch);
            let left = end.since(self.now);
            if step > left {
                self.since_prefetch += left;
                self.since_renewal += left;
                self.now = end;
                return;
            }
            self.now = self.now + step;
            self.since_prefetch = Duration::ZERO;
            self.since_renewal += step;
            for node in 0..self.nodes.len() {
                self.ask(node);
            }
            if self.since_renewal >= RENEWAL_INTERVAL {
                self.since_renewal = Duration::ZERO;
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
        node.requests += 1;
        for (name, want) in wants {
            let grant = allocator.allocate((&node.holder, node.requests), &name, want, now);
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
            node: first.expect("non-empty domain").holder.node.clone(),
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
        lease.expect("no other claimant");
        if self.allocators[domain].is_none() {
            let mut allocator = Allocator::new(self.tolerance, now);
            allocator.set_limits(&self.limits, now);
            for (workspace, demand) in &self.shares.domains[&name].demand {
                allocator.set_demand(workspace, *demand, now);
            }
            self.allocators[domain] = Some(allocator);
        }
        let allocator = self.allocators[domain].as_mut().expect("just set");
        for workspace in self.limits.keys() {
            allocator.set_share(workspace, self.shares.share(&name, workspace), now);
        }
    }
}

fn millis(moment: Moment) -> u64 {
    let time = moment.since(Moment::default());
    u64::try_from(time.as_millis()).expect("time fits")
}
