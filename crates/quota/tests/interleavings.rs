//! The limit holds in every order of events: lost, delayed and duplicated messages, changes of the
//! allocator, and nodes that stall.

use std::time::Duration;

use proptest::prelude::*;
use sailtrack_quota::{Acquisition, Allocator, Cache, Grant, Holder, Limit, Tolerance, Want};
use sailtrack_units::{Moment, WorkspaceName};

const NODES: usize = 3;
const LIMIT: Limit = Limit {
    rate: 10.0,
    burst: 10.0,
};
const TOLERANCE: Tolerance = Tolerance {
    window: Duration::from_secs(5),
    overage: 0.1,
    slack: 20.0,
};

/// The minimum time between changes of the allocator, after which no node holds tokens of the
/// predecessor.
const MIN_REPLACE_INTERVAL: Duration = Duration::from_secs(6);

/// The maximum number of requests in a window: (10 x 5 + 10) x 1.1 + 20.
const MAX_REQUESTS: usize = 86;

/// A random event of the simulation.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// Time passes, in milliseconds.
    Wait(u64),
    /// A number of requests arrive at a node.
    Requests(usize, u8),
    /// A node sends a token request, and abandons an earlier one that is not answered.
    Ask(usize),
    /// A token request in flight arrives at the allocator, and stays in flight if it is duplicated.
    Arrive(usize, bool),
    /// A grant in flight arrives at its node.
    Answer(usize),
    /// A grant in flight is lost.
    Lose(usize),
    /// The allocator is lost and replaced by a new one.
    Replace,
}

fn step() -> impl Strategy<Value = Step> {
    let node = 0..NODES;
    prop_oneof![
        3 => prop_oneof![Just(20_u64), Just(100), Just(700), Just(3000)].prop_map(Step::Wait),
        4 => (node.clone(), 1..12_u8).prop_map(|(node, count)| Step::Requests(node, count)),
        4 => node.prop_map(Step::Ask),
        5 => (any::<usize>(), any::<bool>()).prop_map(|(place, twice)| Step::Arrive(place, twice)),
        5 => any::<usize>().prop_map(Step::Answer),
        1 => any::<usize>().prop_map(Step::Lose),
        1 => Just(Step::Replace),
    ]
}

#[derive(Debug, Clone)]
struct TokenRequest {
    node: usize,
    number: u64,
    want: Want,
    requested: Moment,
}

struct Node {
    holder: Holder,
    cache: Cache,
    /// The number of the last token request, and whether the node waits for the grant.
    request: u64,
    is_waiting: bool,
}

struct World {
    now: Moment,
    workspace: WorkspaceName,
    allocator: Allocator,
    nodes: Vec<Node>,
    requests: Vec<TokenRequest>,
    grants: Vec<(TokenRequest, Grant)>,
    ran: Vec<Moment>,
}

impl World {
    fn new() -> Self {
        let now = Moment::since_boot(Duration::from_secs(50));
        let nodes = (0..NODES).map(|number| Node {
            holder: Holder {
                node: format!("n{number}").parse().expect("valid name"),
                incarnation: 1,
            },
            cache: Cache::default(),
            request: 0,
            is_waiting: false,
        });
        let mut world = Self {
            now,
            workspace: "mills".parse().expect("valid name"),
            allocator: Allocator::new(TOLERANCE, now),
            nodes: nodes.collect(),
            requests: Vec::new(),
            grants: Vec::new(),
            ran: Vec::new(),
        };
        world.replace();
        world
    }

    fn replace(&mut self) {
        let limits = [(self.workspace.clone(), LIMIT)].into();
        self.allocator = Allocator::new(TOLERANCE, self.now);
        self.allocator.set_limits(&limits, self.now);
        self.allocator.set_share(&self.workspace, 1.0, self.now);
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Wait(millis) => self.now = self.now + Duration::from_millis(millis),
            Step::Requests(node, count) => {
                for _ in 0..count {
                    let taken = self.nodes[node].cache.acquire(&self.workspace, self.now);
                    if taken == Acquisition::Token {
                        self.ran.push(self.now);
                    }
                }
            }
            Step::Ask(node) => self.ask(node),
            Step::Arrive(place, twice) => self.arrive(place, twice),
            Step::Answer(place) => self.answer(place),
            Step::Lose(place) => {
                if !self.grants.is_empty() {
                    let place = place % self.grants.len();
                    self.grants.remove(place);
                }
            }
            Step::Replace => self.replace(),
        }
    }

    fn ask(&mut self, number: usize) {
        let node = &mut self.nodes[number];
        node.cache.set_waiting(&self.workspace, true);
        let wants = node.cache.wants(self.now);
        node.cache.set_waiting(&self.workspace, false);
        node.request += 1;
        node.is_waiting = true;
        for (_, want) in wants {
            self.requests.push(TokenRequest {
                node: number,
                number: node.request,
                want: Want {
                    needed: want.needed + 5,
                    ..want
                },
                requested: self.now,
            });
        }
    }

    fn arrive(&mut self, place: usize, twice: bool) {
        if self.requests.is_empty() {
            return;
        }
        let place = place % self.requests.len();
        let request = self.requests[place].clone();
        if !twice {
            self.requests.remove(place);
        }
        let holder = &self.nodes[request.node].holder;
        let requested = (holder, request.number);
        let grant = self
            .allocator
            .allocate(requested, &self.workspace, request.want, self.now);
        self.grants.push((request, grant.expect("it has a limit")));
    }

    fn answer(&mut self, place: usize) {
        if self.grants.is_empty() {
            return;
        }
        let place = place % self.grants.len();
        let (request, grant) = self.grants.remove(place);
        let node = &mut self.nodes[request.node];
        // Only the grant for the last token request counts, and only once.
        if node.is_waiting && node.request == request.number {
            node.is_waiting = false;
            node.cache
                .receive(&self.workspace, grant, request.requested);
        }
    }

    /// Lets a node request tokens and receive the grant immediately.
    fn fetch(&mut self, node: usize) {
        self.apply(Step::Ask(node));
        self.apply(Step::Arrive(0, false));
        self.apply(Step::Answer(0));
    }

    /// Returns the total number of tokens: with the allocator, in caches, and in grants in flight that
    /// would be accepted.
    fn tokens(&self) -> f64 {
        let held = self.nodes.iter();
        let held = held.map(|node| node.cache.held(&self.workspace, self.now));
        let coming = self.grants.iter().filter(|(request, _)| {
            let node = &self.nodes[request.node];
            node.is_waiting && node.request == request.number
        });
        // Only one grant for the same token request is accepted.
        let mut given = [0; NODES];
        for (request, grant) in coming {
            if self.now.since(request.requested) < Duration::from_secs(5) {
                given[request.node] = grant.tokens.max(given[request.node]);
            }
        }
        let all = held.sum::<u32>() + given.iter().sum::<u32>();
        self.allocator.available(&self.workspace) + f64::from(all)
    }

    /// Returns the maximum number of requests that ran in any window.
    fn max_requests(&self) -> usize {
        let windows = self.ran.iter().enumerate().map(|(first, first_ran)| {
            let within = self.ran[first..].iter();
            within
                .take_while(|at| at.since(*first_ran) < TOLERANCE.window)
                .count()
        });
        windows.max().unwrap_or(0)
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(3000))]

    /// The number of tokens never exceeds the capacity, to which that of a new allocator is added
    /// while tokens of its predecessor may remain. At most one change of the allocator falls into a
    /// window.
    #[test]
    fn limit_holds(steps in prop::collection::vec(step(), 1..250)) {
        let mut world = World::new();
        let mut last_replaced = world.now;
        let capacity = LIMIT.capacity(&TOLERANCE);
        let startup = LIMIT.startup_capacity(&TOLERANCE);
        for step in steps {
            let since = world.now.since(last_replaced);
            if matches!(step, Step::Replace) {
                if since < MIN_REPLACE_INTERVAL {
                    continue;
                }
                last_replaced = world.now;
            }
            world.apply(step);
            let is_settled = world.now.since(last_replaced) >= MIN_REPLACE_INTERVAL;
            let allowed = if is_settled { capacity } else { capacity + startup };
            prop_assert!(world.tokens() <= allowed + 1e-6, "{} tokens", world.tokens());
        }
        prop_assert!(world.max_requests() <= MAX_REQUESTS, "{} ran", world.max_requests());
    }
}

/// Tokens do not accumulate when nodes renew them with each new allocator before it knows of all of
/// them.
#[test]
fn renewed_tokens_counted() {
    let mut world = World::new();
    for node in 0..NODES {
        world.apply(Step::Requests(node, 1));
    }
    for first in 0..NODES {
        // One node takes what the allocator grants before it has heard from the others.
        world.apply(Step::Wait(1000));
        world.fetch(first);
        world.fetch(first);
        // Then all nodes renew their tokens until the next allocator starts.
        for _ in 0..2 {
            (0..NODES).for_each(|node| world.fetch(node));
            world.apply(Step::Wait(2600));
        }
        let capacity = LIMIT.capacity(&TOLERANCE);
        assert!(world.tokens() <= capacity, "{} tokens", world.tokens());
        (0..NODES).for_each(|node| world.fetch(node));
        world.apply(Step::Replace);
    }
    // All tokens are used at once, and new ones as they are granted.
    for _ in 0..50 {
        for node in 0..NODES {
            world.apply(Step::Requests(node, 40));
            world.fetch(node);
        }
        world.apply(Step::Wait(100));
    }
    assert!(
        world.max_requests() <= MAX_REQUESTS,
        "{} ran",
        world.max_requests()
    );
}

/// A duplicated token request gets two grants, and both recall the tokens in excess.
#[test]
fn both_answers_recall() {
    let mut world = World::new();
    world.apply(Step::Requests(0, 1));
    world.apply(Step::Wait(100));
    world.fetch(0);
    world.apply(Step::Wait(3000));
    world.apply(Step::Requests(1, 1));
    world.apply(Step::Requests(2, 1));
    world.fetch(1);
    // This token request is delayed until the allocator no longer counts the node's tokens.
    world.apply(Step::Ask(0));
    world.apply(Step::Wait(3000));
    for node in [2, 1] {
        world.apply(Step::Ask(node));
        world.apply(Step::Arrive(1, false));
        world.apply(Step::Answer(0));
    }
    world.apply(Step::Arrive(0, true));
    world.apply(Step::Arrive(0, false));
    world.apply(Step::Lose(0));
    world.apply(Step::Answer(0));
    let capacity = LIMIT.capacity(&TOLERANCE);
    assert!(world.tokens() <= capacity, "{} tokens", world.tokens());
}
