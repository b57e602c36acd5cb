//! Many nodes that share the rate limit of one upstream.

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};
use sailtrack_admission::{Admission, Config, Decision, Policy};
use sailtrack_units::{Period, Rank, Rate};

use crate::clock::{self, seconds};

/// The span in which the requests that the upstream got are counted.
const SPAN: Duration = Duration::from_secs(4);
/// From this time on the share of the limit that is used is counted.
const SETTLED: Duration = Duration::from_secs(3);
/// The concurrency limit, which does not bind.
const SLOTS: u32 = 1_000_000;

/// Where the limit is known and kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Keeping {
    /// At the node beside the upstream; others ask it each time.
    Gate,
    /// There, and it gives each node that it refuses a turn.
    Turns,
    /// At each node, for an equal share of the limit.
    Shares,
}

/// A limited upstream and the nodes that would send to it.
#[derive(Debug, Clone, Copy)]
pub struct Limited {
    /// The number of nodes.
    pub nodes: usize,
    /// The requests per second of each node.
    pub demand: f64,
    /// How much more the busiest node has than the others.
    pub skew: f64,
    /// What the upstream takes.
    pub limit: Rate,
    /// When the node beside the upstream is started again, if it is.
    pub restart: Option<Duration>,
    /// Whether the others tell it the limit then; it has no response for `response_time`.
    pub is_told: bool,
    /// How long the upstream takes to respond.
    pub response_time: Duration,
    /// How long the nodes send.
    pub length: Duration,
}

/// What the upstream got.
#[derive(Debug, Clone, Copy, Default)]
pub struct Usage {
    /// The requests per second that it got once settled, as a share of its limit.
    pub used: f64,
    /// The most requests within four seconds, as a share of what the limit allows in them.
    pub worst: f64,
    /// How many requests were refused beside the upstream for each that it got.
    pub refused: f64,
}

/// The state of a run.
struct Run {
    limited: Limited,
    keeping: Keeping,
    gate: Rc<Admission>,
    shares: Vec<Rc<Admission>>,
    turns: Vec<Instant>,
    /// When the gate knows the limit.
    known_from: Instant,
    arrivals: Vec<Instant>,
    refused: u32,
}

/// Plays a limited upstream.
#[must_use]
pub fn play_limited(limited: Limited, keeping: Keeping, seed: u64) -> Usage {
    let mut random = StdRng::seed_from_u64(seed);
    let began = clock::now();
    let mut run = Run::new(limited, keeping, began);
    let mut restart = limited.restart;
    let total = limited.demand * (count(limited.nodes) + limited.skew);
    let mut at = Duration::ZERO;
    while at < limited.length {
        at += seconds(-(1.0 - random.random::<f64>()).ln() / total);
        clock::set(began + at);
        if restart.take_if(|restart| at >= *restart).is_some() {
            run.restart();
        }
        let drawn = random.random_range(0.0..count(limited.nodes) + limited.skew);
        run.send(node(drawn, limited.nodes));
    }
    run.usage(began)
}

impl Run {
    fn new(limited: Limited, keeping: Keeping, began: Instant) -> Self {
        let share = Rate(limited.limit.0 / count(limited.nodes));
        let shares = (0..limited.nodes).map(|_| admission(Some(share)));
        Self {
            gate: admission(Some(limited.limit)),
            shares: shares.collect(),
            turns: vec![began; limited.nodes],
            known_from: began,
            limited,
            keeping,
            arrivals: Vec::new(),
            refused: 0,
        }
    }

    /// Replaces the gate by one that has not had a response yet.
    fn restart(&mut self) {
        let told = self.limited.is_told.then_some(self.limited.limit);
        self.gate = admission(told);
        self.known_from = clock::now() + self.limited.response_time;
    }

    fn send(&mut self, node: usize) {
        let now = clock::now();
        if self.keeping == Keeping::Turns && now < self.turns[node] {
            return;
        }
        if now >= self.known_from {
            self.gate.limit_rate(Some(self.limited.limit));
        }
        let keeper = match self.keeping {
            Keeping::Shares => &self.shares[node],
            Keeping::Gate | Keeping::Turns => &self.gate,
        };
        if keeper.has_rate_left(now) {
            let decision = keeper.submit(Rank::LOWEST, false, Duration::from_secs(1));
            assert!(matches!(decision, Decision::Admitted(_)));
            self.arrivals.push(now);
            return;
        }
        self.refused += 1;
        if let Some(turn) = keeper.rate_turn(now) {
            self.turns[node] = now + turn;
        }
    }

    fn usage(&self, began: Instant) -> Usage {
        let settled = self.arrivals.iter().filter(|at| **at >= began + SETTLED);
        let time = self.limited.length.saturating_sub(SETTLED).as_secs_f64();
        let used = count(settled.count()) / time / self.limited.limit.0;
        let mut span = VecDeque::new();
        let mut most = 0;
        for at in &self.arrivals {
            span.push_back(*at);
            while span.front().is_some_and(|first| *at - *first >= SPAN) {
                span.pop_front();
            }
            most = most.max(span.len());
        }
        Usage {
            used,
            worst: count(most) / (self.limited.limit.0 * SPAN.as_secs_f64()),
            refused: f64::from(self.refused) / count(self.arrivals.len().max(1)),
        }
    }
}

fn admission(limit: Option<Rate>) -> Rc<Admission> {
    let config = Config {
        policy: Policy::Fixed,
        fixed_limit: SLOTS,
        queue_time: Period::from_millis(100),
        nested_queue_time: Period::from_millis(200),
        warm_up: Period::default(),
    };
    let admission = Rc::new(Admission::with_clock(config, clock::now, clock::now()));
    admission.limit_rate(limit);
    admission
}

/// Returns the node of a number drawn from the demand of all; the first one has the skew.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the numbers are small and not negative"
)]
fn node(drawn: f64, nodes: usize) -> usize {
    let drawn = drawn as usize;
    if drawn < nodes { drawn } else { 0 }
}

#[allow(clippy::cast_precision_loss, reason = "the numbers are small")]
fn count(number: usize) -> f64 {
    number as f64
}
