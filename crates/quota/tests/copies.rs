//! Allocators of several failure domains while their store comes back from copies: no domain has two
//! at once, and the parts by which tokens are given never add up to more than there is.

use std::collections::BTreeMap;
use std::time::Duration;

use proptest::prelude::*;
use sailtrack_quota::{Claim, Holding, LEASE_DURATION, LEASE_GRACE, Now, Shares};
use sailtrack_units::{DomainName, WorkspaceName};

/// Two nodes in each of three failure domains.
const DOMAINS: usize = 3;
const NODES: usize = 6;

/// What may happen next.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// Time passes.
    Wait(u64),
    /// A node reads the row, if it has no lease or is to renew it.
    Read(usize),
    /// It writes what it made of the row; its answer may be lost.
    Write(usize, bool),
    /// The store is copied.
    Copy,
    /// It comes back from the copy of so many copies ago.
    Restore(usize),
    /// A node starts anew.
    Restart(usize),
    /// Its demand changes.
    Demand(usize, u8),
}

fn step() -> impl Strategy<Value = Step> {
    let node = 0..NODES;
    prop_oneof![
        4 => prop_oneof![Just(50_u64), Just(300), Just(1200), Just(2500)].prop_map(Step::Wait),
        8 => node.clone().prop_map(Step::Read),
        8 => (node.clone(), prop::bool::weighted(0.1)).prop_map(|(node, lost)| Step::Write(node, lost)),
        2 => Just(Step::Copy),
        1 => (0..4_usize).prop_map(Step::Restore),
        1 => node.clone().prop_map(Step::Restart),
        2 => (node, 0..50_u8).prop_map(|(node, demand)| Step::Demand(node, demand)),
    ]
}

/// The row, with the version at which it was last changed.
#[derive(Debug, Clone, Default)]
struct Stored {
    shares: Shares,
    version: u64,
}

/// What a node has read and is about to write.
#[derive(Debug, Clone)]
struct Draft {
    shares: Shares,
    version: u64,
    era: u64,
    asked: u64,
    is_claimed: bool,
}

/// The lease of a node, as it knows it.
#[derive(Debug, Clone)]
struct Term {
    number: u64,
    until: u64,
    /// The part by which it gives tokens.
    share: f64,
}

#[derive(Debug, Clone, Default)]
struct Node {
    incarnation: u64,
    /// The latest era of which it has heard, and whether it had heard of one before.
    era: Option<u64>,
    has_seen_restore: bool,
    demand: f64,
    draft: Option<Draft>,
    term: Option<Term>,
}

struct World {
    now: u64,
    era: u64,
    store: Stored,
    copies: Vec<Stored>,
    nodes: Vec<Node>,
    workspace: WorkspaceName,
    /// The domains, ends and parts of leases that are over, until the tokens given by them are too.
    ended: Vec<(usize, u64, f64)>,
}

fn domain(node: usize) -> DomainName {
    format!("d{}", node % DOMAINS)
        .parse()
        .expect("a sound name")
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).expect("a time of seconds")
}

impl World {
    fn new() -> Self {
        Self {
            now: 100_000,
            era: 1,
            store: Stored::default(),
            copies: vec![],
            nodes: vec![Node::default(); NODES],
            workspace: "mills".parse().expect("a sound name"),
            ended: Vec::new(),
        }
    }

    fn play(&mut self, step: Step) {
        match step {
            Step::Wait(time) => self.now += time,
            Step::Read(node) => self.read(node),
            Step::Write(node, is_lost) => self.write(node, is_lost),
            Step::Copy => self.copies.push(self.store.clone()),
            Step::Restore(back) => self.restore(back),
            Step::Restart(node) => self.restart(node),
            Step::Demand(node, demand) => self.nodes[node].demand = f64::from(demand),
        }
        self.end_leases();
    }

    fn restore(&mut self, back: usize) {
        let Some(place) = self.copies.len().checked_sub(1 + back) else {
            return;
        };
        // A row that was never written tells nothing of its loss to those who are new.
        if self.copies[place].version == 0 {
            return;
        }
        self.store = self.copies[place].clone();
        self.era += 1;
    }

    fn restart(&mut self, node: usize) {
        let incarnation = self.nodes[node].incarnation + 1;
        let lost = std::mem::replace(
            &mut self.nodes[node],
            Node {
                incarnation,
                ..Node::default()
            },
        );
        if let Some(term) = lost.term {
            self.ended.push((node % DOMAINS, self.now, term.share));
        }
    }

    fn end_leases(&mut self) {
        for (number, node) in self.nodes.iter_mut().enumerate() {
            if let Some(term) = node.term.take_if(|term| term.until <= self.now) {
                self.ended.push((number % DOMAINS, term.until, term.share));
            }
        }
        let kept = millis(LEASE_GRACE) - 1000;
        self.ended.retain(|(_, ended, _)| ended + kept > self.now);
    }

    fn read(&mut self, number: usize) {
        let era = self.era;
        let node = &mut self.nodes[number];
        node.has_seen_restore |= node.era.is_some_and(|known| known < era);
        node.era = Some(era);
        let holding = node.term.as_ref().map(|term| Holding {
            term: term.number,
            shares: [(self.workspace.clone(), term.share)].into(),
        });
        let claim = Claim {
            domain: domain(number),
            node: format!("n{number}").parse().expect("a sound name"),
            incarnation: node.incarnation,
            domain_count: DOMAINS,
            is_new: node.term.is_none(),
            era,
            has_seen_restore: node.has_seen_restore,
            holding,
            demand: BTreeMap::from([(self.workspace.clone(), node.demand)]),
            limited: vec![self.workspace.clone()],
        };
        let now = Now {
            at_least_ms: self.now,
            at_most_ms: self.now,
        };
        let mut shares = self.store.shares.clone();
        let lease = shares.claim(&claim, now, |lease| {
            lease.holder == claim.node && lease.incarnation != claim.incarnation
        });
        // What is lowered is given up before it is written.
        if let (Some(term), Some(_)) = (&mut node.term, &lease) {
            let next = shares.share(&claim.domain, &self.workspace);
            term.share = term.share.min(next);
        }
        node.draft = Some(Draft {
            is_claimed: lease.is_some(),
            shares,
            version: self.store.version,
            era,
            asked: self.now,
        });
    }

    fn write(&mut self, number: usize, is_lost: bool) {
        let Some(draft) = self.nodes[number].draft.take() else {
            return;
        };
        // A node compares eras before it writes, and gives a call two seconds.
        let is_late = self.now > draft.asked + 2000;
        if draft.era != self.era || draft.version != self.store.version || is_late {
            return;
        }
        self.store.version += 1;
        self.store.shares = draft.shares.clone();
        if draft.is_claimed {
            // The next allocator of a domain answers for the tokens of the one before: it begins with
            // less room, also if it moves the part at once.
            self.ended.retain(|ended| ended.0 != number % DOMAINS);
        }
        if is_lost || !draft.is_claimed {
            return;
        }
        let name = domain(number);
        let node = &mut self.nodes[number];
        node.term = Some(Term {
            number: draft.shares.domains[&name].lease.term,
            until: draft.asked + millis(LEASE_DURATION),
            share: draft.shares.share(&name, &self.workspace),
        });
    }

    fn allocators(&self, domain: usize) -> usize {
        let nodes = self.nodes.iter().enumerate();
        let near = nodes.filter(|(number, _)| number % DOMAINS == domain);
        near.filter(|(_, node)| node.term.is_some()).count()
    }

    /// Returns the parts by which all domains give tokens, or have given those that are still used.
    fn all_shares(&self) -> f64 {
        let shares = (0..DOMAINS).map(|domain| {
            let nodes = self.nodes.iter().enumerate();
            let near = nodes.filter(|(number, _)| number % DOMAINS == domain);
            let term = near
                .map(|(_, node)| node.term.as_ref())
                .find(Option::is_some);
            let ended = self.ended.iter().filter(|ended| ended.0 == domain);
            let ended = ended.map(|(_, _, share)| *share).fold(0.0, f64::max);
            term.flatten().map_or(ended, |term| term.share)
        });
        shares.sum()
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(4000))]

    #[test]
    fn leases_exclude(steps in prop::collection::vec(step(), 1..200)) {
        let mut world = World::new();
        for step in steps {
            world.play(step);
            for domain in 0..DOMAINS {
                prop_assert!(world.allocators(domain) <= 1, "two in domain {domain}");
            }
            prop_assert!(world.all_shares() <= 1.0 + 1e-6, "{} shares", world.all_shares());
        }
    }
}
