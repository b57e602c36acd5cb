//! Plays a graph under load.

mod choice;
mod client;
mod gate;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::rc::Rc;
use std::time::Instant;

use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};
use sailtrack_admission::{Admission, Config as AdmissionRules, Policy, Throttle, Windows};
use sailtrack_declaration::Limit;
use sailtrack_units::{KindName, Period, Rank, RequestId};

use crate::clock::{self, seconds};
use crate::graph::Graph;
use crate::process::{Client, ClientId, End, Maker, Run, RunId};
use crate::rules::{Mechanism, Rules};
use crate::run::gate::Gate;
use crate::tally::{GroupTally, Tally};

/// How often a refused request is brought to another upstream.
const MOST_REDIRECTS: usize = 2;

/// What happens next.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A client wants a request of this kind served.
    Wanted(usize),
    /// A client comes back.
    Back(ClientId),
    /// The own upstream has done its work for a request, and its calls begin.
    Worked(RunId, u64),
    /// A request has waited as long as it may.
    Waited(RunId, u64),
    /// The time of a request is over.
    Over(RunId, u64),
}

struct Model<'a> {
    graph: &'a Graph,
    rules: Rules,
    random: StdRng,
    start: Instant,
    events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    number: u64,
    gates: Vec<Gate>,
    names: Vec<KindName>,
    clients: Vec<Client>,
    /// Requests under way, each with the number that tells it from others at its place.
    runs: Vec<Option<(u64, Run)>>,
    free: Vec<RunId>,
    tally: Tally,
}

/// Plays a graph for so many seconds and returns what callers got.
#[must_use]
pub fn play(graph: &Graph, rules: Rules, seed: u64, length: f64) -> Tally {
    let start = Instant::now();
    clock::set(start);
    let mut model = Model::new(graph, rules, seed, start);
    for kind in 0..graph.kinds.len() {
        if graph.kinds[kind].rate > 0.0 {
            model.plan_next(kind);
        }
    }
    let end = start + seconds(length);
    while let Some(Reverse((moment, _, event))) = model.events.pop() {
        clock::set(moment);
        if matches!(event, Event::Wanted(_)) && moment >= end {
            continue;
        }
        model.happen(event);
    }
    model.tally
}

/// Returns the rules of nodes, for upstreams that do not warm up.
fn admission_rules() -> AdmissionRules {
    AdmissionRules {
        policy: Policy::Adaptive,
        fixed_limit: 100,
        queue_time: Period::from_millis(100),
        nested_queue_time: Period::from_millis(200),
        warm_up: Period::from_millis(0),
    }
}

impl<'a> Model<'a> {
    fn new(graph: &'a Graph, rules: Rules, seed: u64, start: Instant) -> Self {
        let mut gates = Vec::new();
        for (service, described) in graph.services.iter().enumerate() {
            for (place, upstream) in described.upstreams.iter().enumerate() {
                let admission = Admission::with_clock(admission_rules(), clock::now, start);
                admission.reset(start, Some(upstream.slots));
                admission.declare_limit(Limit::Fixed(upstream.slots));
                gates.push(Gate {
                    service,
                    place,
                    domain: upstream.domain,
                    speed: upstream.speed,
                    admission: Rc::new(admission),
                    outset: Throttle::new(Rc::new(Windows::default())),
                    waiting: Vec::new(),
                });
            }
        }
        let names = (0..graph.kinds.len()).map(|place| format!("kind-{place}"));
        let names = names.map(|name| name.parse().expect("it is a name"));
        Self {
            graph,
            rules,
            random: StdRng::seed_from_u64(seed),
            start,
            events: BinaryHeap::new(),
            number: 0,
            gates,
            names: names.collect(),
            clients: Vec::new(),
            runs: Vec::new(),
            free: Vec::new(),
            tally: Tally {
                kinds: vec![GroupTally::default(); graph.kinds.len()],
                domains: vec![GroupTally::default(); graph.domains],
                ..Tally::default()
            },
        }
    }

    fn at(&self) -> f64 {
        clock::now()
            .saturating_duration_since(self.start)
            .as_secs_f64()
    }

    fn plan(&mut self, after: f64, event: Event) {
        self.number += 1;
        let moment = clock::now() + seconds(after);
        self.events.push(Reverse((moment, self.number, event)));
    }

    fn plan_next(&mut self, kind: usize) {
        let rate = self.graph.rate(kind, self.at());
        let after = self.exponential() / rate;
        self.plan(after, Event::Wanted(kind));
    }

    /// Returns a draw with mean one of the time between independent arrivals.
    fn exponential(&mut self) -> f64 {
        -self.random.random_range(f64::MIN_POSITIVE..1.0).ln()
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Wanted(kind) => {
                self.plan_next(kind);
                self.want(kind);
            }
            Event::Back(client) => self.try_client(client),
            Event::Worked(run, number) if self.is_current(run, number) => self.call_next(run),
            Event::Waited(run, number) if self.is_current(run, number) => self.stop_waiting(run),
            Event::Over(run, number) if self.is_current(run, number) => self.end(run, End::Failed),
            Event::Worked(..) | Event::Waited(..) | Event::Over(..) => {}
        }
    }

    /// Makes a request and brings it to an upstream.
    fn make(&mut self, kind: usize, maker: Maker, rank: Rank, deadline: Instant, domain: usize) {
        let now = clock::now();
        let run = Run {
            kind,
            maker,
            rank,
            deadline,
            domain,
            refused_by: Vec::new(),
            gate: 0,
            permit: None,
            place: None,
            waiting: None,
            entered: now,
            own_time: 0.0,
            light: false,
            calls_made: 0,
            below: 0.0,
            found_nobody: false,
        };
        let id = self.free.pop().unwrap_or_else(|| {
            self.runs.push(None);
            self.runs.len() - 1
        });
        self.number += 1;
        let number = self.number;
        self.runs[id] = Some((number, run));
        let left = deadline.saturating_duration_since(now).as_secs_f64();
        self.plan(left, Event::Over(id, number));
        self.dispatch(id);
    }

    fn is_current(&self, run: RunId, number: u64) -> bool {
        matches!(&self.runs[run], Some((known, _)) if *known == number)
    }

    /// Returns the number that tells a request from others at its place.
    fn number_of(&self, id: RunId) -> u64 {
        let (number, _) = self.runs[id].as_ref().expect("it is under way");
        *number
    }

    fn run(&mut self, id: RunId) -> &mut Run {
        let (_, run) = self.runs[id].as_mut().expect("it is under way");
        run
    }

    /// Brings a request to upstreams of its service until one takes it.
    fn dispatch(&mut self, id: RunId) {
        loop {
            let run = self.run(id);
            let (kind, domain, refused_by) = (run.kind, run.domain, run.refused_by.clone());
            let service = self.graph.kinds[kind].service;
            let most = if self.rules.has(Mechanism::Redirects) {
                MOST_REDIRECTS
            } else {
                0
            };
            let is_spent = refused_by.len() > most;
            let gate = (!is_spent).then(|| self.choose(service, domain, &refused_by));
            let Some(gate) = gate.flatten() else {
                self.run(id).found_nobody |= refused_by.is_empty();
                return self.end(id, End::Refused);
            };
            self.run(id).gate = gate;
            if self.enter(id, gate) {
                return;
            }
            self.run(id).refused_by.push(gate);
        }
    }

    /// Makes the next call of a request, or ends it after the last one.
    fn call_next(&mut self, id: RunId) {
        let run = self.run(id);
        let (kind, made, rank, deadline, gate) =
            (run.kind, run.calls_made, run.rank, run.deadline, run.gate);
        run.calls_made += 1;
        let calls = &self.graph.kinds[kind].calls;
        let mut until = 0;
        let next = calls.iter().find(|call| {
            until += call.times;
            made < until
        });
        let Some(call) = next else {
            return self.end(id, End::Done);
        };
        let own = &self.graph.kinds[call.kind];
        let rank = rank.max(Rank::new(own.importance, RequestId::draw(&mut self.random)));
        let deadline = deadline.min(clock::now() + own.timeout);
        let domain = self.gates[gate].domain;
        self.make(call.kind, Maker::Run(id), rank, deadline, domain);
    }

    /// Ends a request and tells who made it.
    fn end(&mut self, id: RunId, end: End) {
        let Some((_, mut run)) = self.runs[id].take() else {
            return;
        };
        self.free.push(id);
        let now = clock::now();
        let gate = run.gate;
        if run.waiting.take().is_some() {
            self.gates[gate].waiting.retain(|other| *other != id);
        }
        let mut met = run.below;
        if run.permit.is_some() {
            met = met.max(self.leave(&mut run, end, now));
        }
        match run.maker {
            Maker::Client(client) => self.end_client(client, end, &run),
            Maker::Run(parent) => self.end_call(parent, end, met, run.found_nobody),
        }
        if run.permit.take().is_some() {
            self.settle(gate);
        }
    }

    fn end_call(&mut self, parent: RunId, end: End, met: f64, found_nobody: bool) {
        if self.runs[parent].is_none() {
            return;
        }
        let run = self.run(parent);
        run.below = run.below.max(met);
        if end == End::Done {
            return self.call_next(parent);
        }
        run.found_nobody |= found_nobody;
        self.end(parent, End::Failed);
    }
}
