//! Messages that are lost, late or doubled, allocators that change and nodes that stand still: what
//! runs keeps to the limit in every order of events.

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

/// Allocators of this test change no sooner than this: after it nobody holds tokens of the one before.
const ALLOCATORS_APART: Duration = Duration::from_secs(6);

/// The most requests that may run in a window: (10 x 5 + 10) x 1.1 + 20.
const MOST: usize = 86;

/// What may happen next.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// Time passes.
    Wait(u64),
    /// Requests come to a node, one after the other.
    Requests(usize, u8),
    /// A node sends a question; an earlier one that is not answered is given up.
    Ask(usize),
    /// A question under way arrives, and stays under way if it is doubled.
    Arrive(usize, bool),
    /// An answer under way arrives.
    Answer(usize),
    /// An answer under way is lost.
    Lose(usize),
    /// The allocator is lost; another one takes its place.
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
struct Question {
    node: usize,
    number: u64,
    want: Want,
    asked: Moment,
}

struct Node {
    holder: Holder,
    cache: Cache,
    /// The number of the last question, and whether its answer is awaited.
    question: u64,
    awaits: bool,
}

struct World {
    now: Moment,
    workspace: WorkspaceName,
    allocator: Allocator,
    nodes: Vec<Node>,
    questions: Vec<Question>,
    answers: Vec<(Question, Grant)>,
    ran: Vec<Moment>,
}

impl World {
    fn new() -> Self {
        let now = Moment::since_boot(Duration::from_secs(50));
        let nodes = (0..NODES).map(|number| Node {
            holder: Holder {
                node: format!("n{number}").parse().expect("a sound name"),
                incarnation: 1,
            },
            cache: Cache::default(),
            question: 0,
            awaits: false,
        });
        let mut world = Self {
            now,
            workspace: "mills".parse().expect("a sound name"),
            allocator: Allocator::new(TOLERANCE, now),
            nodes: nodes.collect(),
            questions: Vec::new(),
            answers: Vec::new(),
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

    fn play(&mut self, step: Step) {
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
                if !self.answers.is_empty() {
                    let place = place % self.answers.len();
                    self.answers.remove(place);
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
        node.question += 1;
        node.awaits = true;
        for (_, want) in wants {
            self.questions.push(Question {
                node: number,
                number: node.question,
                want: Want {
                    needed: want.needed + 5,
                    ..want
                },
                asked: self.now,
            });
        }
    }

    fn arrive(&mut self, place: usize, twice: bool) {
        if self.questions.is_empty() {
            return;
        }
        let place = place % self.questions.len();
        let question = self.questions[place].clone();
        if !twice {
            self.questions.remove(place);
        }
        let holder = &self.nodes[question.node].holder;
        let asked = (holder, question.number);
        let grant = self
            .allocator
            .allocate(asked, &self.workspace, question.want, self.now);
        self.answers
            .push((question, grant.expect("it has a limit")));
    }

    fn answer(&mut self, place: usize) {
        if self.answers.is_empty() {
            return;
        }
        let place = place % self.answers.len();
        let (question, grant) = self.answers.remove(place);
        let node = &mut self.nodes[question.node];
        // Only the answer to the last question counts, and only once.
        if node.awaits && node.question == question.number {
            node.awaits = false;
            node.cache.receive(&self.workspace, grant, question.asked);
        }
    }

    /// Lets a node ask and be answered at once.
    fn fetch(&mut self, node: usize) {
        self.play(Step::Ask(node));
        self.play(Step::Arrive(0, false));
        self.play(Step::Answer(0));
    }

    /// Returns the tokens that are somewhere: free, in caches, or in answers that would be taken.
    fn tokens(&self) -> f64 {
        let held = self.nodes.iter();
        let held = held.map(|node| node.cache.held(&self.workspace, self.now));
        let coming = self.answers.iter().filter(|(question, _)| {
            let node = &self.nodes[question.node];
            node.awaits && node.question == question.number
        });
        // Of answers to one question only one is taken.
        let mut given = [0; NODES];
        for (question, grant) in coming {
            if self.now.since(question.asked) < Duration::from_secs(5) {
                given[question.node] = grant.tokens.max(given[question.node]);
            }
        }
        let all = held.sum::<u32>() + given.iter().sum::<u32>();
        self.allocator.available(&self.workspace) + f64::from(all)
    }

    /// Returns the most requests that ran in any window.
    fn most(&self) -> usize {
        let windows = self.ran.iter().enumerate().map(|(first, began)| {
            let within = self.ran[first..].iter();
            within
                .take_while(|at| at.since(*began) < TOLERANCE.window)
                .count()
        });
        windows.max().unwrap_or(0)
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(3000))]

    /// There are never more tokens than there is room for; beside those of a new allocator there may
    /// be some of the one before. One change of allocators falls into a window.
    #[test]
    fn limit_holds(steps in prop::collection::vec(step(), 1..250)) {
        let mut world = World::new();
        let mut replaced = world.now;
        let room = LIMIT.capacity(&TOLERANCE);
        let young = LIMIT.startup_capacity(&TOLERANCE);
        for step in steps {
            let since = world.now.since(replaced);
            if matches!(step, Step::Replace) {
                if since < ALLOCATORS_APART {
                    continue;
                }
                replaced = world.now;
            }
            world.play(step);
            let is_alone = world.now.since(replaced) >= ALLOCATORS_APART;
            let allowed = if is_alone { room } else { room + young };
            prop_assert!(world.tokens() <= allowed + 1e-6, "{} tokens", world.tokens());
        }
        prop_assert!(world.most() <= MOST, "{} ran", world.most());
    }
}

/// Tokens that their nodes renew at each new allocator, before it knows of them, do not add up.
#[test]
fn renewed_tokens_counted() {
    let mut world = World::new();
    for node in 0..NODES {
        world.play(Step::Requests(node, 1));
    }
    for first in 0..NODES {
        // One node takes what the allocator gives while it has not heard of the others,
        world.play(Step::Wait(1000));
        world.fetch(first);
        world.fetch(first);
        // and all renew what they have until the next allocator comes.
        for _ in 0..2 {
            (0..NODES).for_each(|node| world.fetch(node));
            world.play(Step::Wait(2600));
        }
        let room = LIMIT.capacity(&TOLERANCE);
        assert!(world.tokens() <= room, "{} tokens", world.tokens());
        (0..NODES).for_each(|node| world.fetch(node));
        world.play(Step::Replace);
    }
    // All of it is used at once, and then whatever comes.
    for _ in 0..50 {
        for node in 0..NODES {
            world.play(Step::Requests(node, 40));
            world.fetch(node);
        }
        world.play(Step::Wait(100));
    }
    assert!(world.most() <= MOST, "{} ran", world.most());
}

/// A question that arrives twice has two answers; whichever is taken voids what is too much.
#[test]
fn both_answers_recall() {
    let mut world = World::new();
    world.play(Step::Requests(0, 1));
    world.play(Step::Wait(100));
    world.fetch(0);
    world.play(Step::Wait(3000));
    world.play(Step::Requests(1, 1));
    world.play(Step::Requests(2, 1));
    world.fetch(1);
    // This question is under way until the allocator no longer counts what its node has.
    world.play(Step::Ask(0));
    world.play(Step::Wait(3000));
    for node in [2, 1] {
        world.play(Step::Ask(node));
        world.play(Step::Arrive(1, false));
        world.play(Step::Answer(0));
    }
    world.play(Step::Arrive(0, true));
    world.play(Step::Arrive(0, false));
    world.play(Step::Lose(0));
    world.play(Step::Answer(0));
    let room = LIMIT.capacity(&TOLERANCE);
    assert!(world.tokens() <= room, "{} tokens", world.tokens());
}
