//! Plays a graph under load.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};
use sailtrack_admission::{
    Admission, Arrival, Hold, Met, Outset, Permit, Policy, Pressure, Rules as AdmissionRules,
    Waiting, Windows,
};
use sailtrack_declaration::Limit;
use sailtrack_units::{KindName, Period, Rank, RequestId};

use crate::clock::{self, seconds};
use crate::graph::Graph;
use crate::process::{Client, ClientId, End, Maker, Run, RunId};
use crate::rules::{Mechanism, Rules};
use crate::tally::{KindTally, Tally};

/// How often a refused request is brought to another upstream.
const MOST_REDIRECTS: usize = 2;
/// The tries that a client makes.
const MOST_TRIES: u32 = 2;
/// An upstream of another failure domain is taken if it is emptier by this share.
const SPILL_MARGIN: f64 = 0.25;
/// Returns after absence, in seconds: the least, and by how much more at most.
const ABSENCE_RETURN: (f64, f64) = (0.9, 0.6);
/// The least time of a return after overload, in seconds.
const SHORTEST_RETURN: f64 = 0.2;
/// The part of the time left after which a client comes back at the latest.
const RETURN_SHARE: f64 = 3.0;

/// One upstream with what is decided before it.
struct Gate {
    service: usize,
    place: usize,
    domain: usize,
    speed: f64,
    admission: Rc<Admission>,
    outset: Rc<Outset>,
    waiting: Vec<RunId>,
}

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

fn admission_rules() -> AdmissionRules {
    AdmissionRules {
        policy: Policy::Adaptive,
        fixed_limit: 100,
        queue_time: Period::from_millis(100),
        begun_queue_time: Period::from_millis(400),
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
                    outset: Outset::new(Rc::new(Windows::default())),
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
                kinds: vec![KindTally::default(); graph.kinds.len()],
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

    fn want(&mut self, kind: usize) {
        self.tally.kinds[kind].asked += 1;
        let domain = self.random.random_range(0..self.graph.domains);
        self.clients.push(Client {
            kind,
            domain,
            first: clock::now(),
            tries: 0,
        });
        self.try_client(self.clients.len() - 1);
    }

    fn try_client(&mut self, client: ClientId) {
        let known = &mut self.clients[client];
        known.tries += 1;
        let (kind, domain, first) = (known.kind, known.domain, known.first);
        let described = &self.graph.kinds[kind];
        let id = RequestId::draw(&mut self.random);
        let rank = Rank::new(described.importance, id);
        let patience = first + described.patience;
        let deadline = patience.min(clock::now() + described.timeout);
        self.make(kind, Maker::Client(client), rank, deadline, domain);
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

    fn run(&mut self, id: RunId) -> &mut Run {
        let (_, run) = self.runs[id].as_mut().expect("it is under way");
        run
    }

    /// Brings a request to upstreams of its service until one takes it.
    fn dispatch(&mut self, id: RunId) {
        loop {
            let run = self.run(id);
            let (service, domain) = (run.kind, run.domain);
            let service = self.graph.kinds[service].service;
            let refused_by = self.run(id).refused_by.clone();
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

    /// Returns the better of two drawn upstreams, near ones first while they have room.
    fn choose(&mut self, service: usize, domain: usize, refused_by: &[usize]) -> Option<usize> {
        let at = self.at();
        let usable: Vec<usize> = (0..self.gates.len())
            .filter(|place| {
                let gate = &self.gates[*place];
                gate.service == service
                    && !self.graph.is_gone(service, gate.place, at)
                    && !refused_by.contains(place)
            })
            .collect();
        let is_near = |place: &usize| self.gates[*place].domain == domain;
        let (near, far): (Vec<usize>, Vec<usize>) = usable.into_iter().partition(is_near);
        let (near, far) = (self.emptier(&near), self.emptier(&far));
        match (near, far) {
            (Some(near), Some(far)) => {
                let (full, emptier) = (self.pressure(near), self.pressure(far));
                let is_worth_it = full >= 1.0 && emptier + SPILL_MARGIN < full;
                Some(if is_worth_it { far } else { near })
            }
            (near, far) => near.or(far),
        }
    }

    fn emptier(&mut self, places: &[usize]) -> Option<usize> {
        if places.is_empty() {
            return None;
        }
        let one = places[self.random.random_range(0..places.len())];
        let other = places[self.random.random_range(0..places.len())];
        let cost = |place: usize| self.pressure(place) / self.gates[place].speed;
        Some(if cost(one) <= cost(other) { one } else { other })
    }

    fn pressure(&self, gate: usize) -> f64 {
        let admission = &self.gates[gate].admission;
        let calls = admission.in_flight() + admission.waiting();
        Pressure::of(calls, admission.limit(clock::now())).0
    }

    /// Brings a request to an upstream; returns false if it is refused there at once.
    fn enter(&mut self, id: RunId, gate: usize) -> bool {
        let now = clock::now();
        let (outset, admission) = {
            let gate = &self.gates[gate];
            (Rc::clone(&gate.outset), Rc::clone(&gate.admission))
        };
        let run = self.run(id);
        let (kind, rank, deadline) = (run.kind, run.rank, run.deadline);
        let begun = matches!(run.maker, Maker::Run(_));
        if !begun && self.rules.has(Mechanism::Windows) {
            match outset.begin(&self.names[kind], now) {
                Ok(place) => self.run(id).place = Some(place),
                Err(hold) => {
                    self.run(id).found_nobody |= hold == Hold::Path;
                    return false;
                }
            }
        }
        let left = deadline.saturating_duration_since(now);
        let goes_first = begun && self.rules.has(Mechanism::BegunFirst);
        match admission.arrive(rank, goes_first, left) {
            Arrival::Admitted(permit) => self.start(id, permit),
            Arrival::Refused(_) => {
                self.run(id).place = None;
                self.run(id).below = Pressure::REFUSING.0;
                return false;
            }
            Arrival::Waiting(waiting) => {
                let longest = waiting.longest().as_secs_f64();
                self.run(id).waiting = Some(waiting);
                self.gates[gate].waiting.push(id);
                let number = self.runs[id].as_ref().map_or(0, |(number, _)| *number);
                self.plan(longest, Event::Waited(id, number));
                // It may have taken the place of another one.
                self.settle(gate);
            }
        }
        true
    }

    /// Takes in what was decided about the requests that wait at an upstream.
    fn settle(&mut self, gate: usize) {
        let waiting = std::mem::take(&mut self.gates[gate].waiting);
        let mut decided = Vec::new();
        for id in waiting {
            let is_decided = self
                .run(id)
                .waiting
                .as_mut()
                .is_none_or(Waiting::is_decided);
            if is_decided {
                decided.push(id);
            } else {
                self.gates[gate].waiting.push(id);
            }
        }
        for id in decided {
            self.conclude(id);
        }
    }

    fn stop_waiting(&mut self, id: RunId) {
        if self.run(id).waiting.is_some() {
            let gate = self.run(id).gate;
            self.gates[gate].waiting.retain(|other| *other != id);
            self.conclude(id);
        }
    }

    fn conclude(&mut self, id: RunId) {
        let Some(waiting) = self.run(id).waiting.take() else {
            return;
        };
        if let Ok(permit) = waiting.end() {
            return self.start(id, permit);
        }
        let run = self.run(id);
        let gate = run.gate;
        run.place = None;
        run.below = Pressure::REFUSING.0;
        run.refused_by.push(gate);
        self.dispatch(id);
    }

    fn start(&mut self, id: RunId, permit: Permit) {
        let gate = self.run(id).gate;
        let kind = self.run(id).kind;
        let draw = 0.4 + 0.6 * self.exponential();
        let service = self.gates[gate].service;
        let slowness = self.graph.slowness(service, self.at()) / self.gates[gate].speed;
        let own_time = self.graph.kinds[kind].work.as_secs_f64() * draw * slowness;
        let light = self.gates[gate].admission.is_light(clock::now());
        self.tally.runs += 1;
        let run = self.run(id);
        run.permit = Some(permit);
        run.entered = clock::now();
        run.own_time = own_time;
        run.light = light;
        let number = self.runs[id].as_ref().map_or(0, |(number, _)| *number);
        self.plan(own_time, Event::Worked(id, number));
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

    /// Notes the end of a request that ran and returns how full its upstream is.
    fn leave(&mut self, run: &mut Run, end: End, now: Instant) -> f64 {
        let held = now.saturating_duration_since(run.entered).as_secs_f64();
        self.tally.held += held;
        if end != End::Done {
            self.tally.thrown_away += held;
        }
        let gate = &self.gates[run.gate];
        let here = gate.admission.pressure(now, run.rank.importance());
        if let Some(place) = &run.place {
            let met = Met {
                here: if self.rules.has(Mechanism::OwnPressure) {
                    gate.admission.shared_pressure(now, run.rank.importance())
                } else {
                    Pressure(0.0)
                },
                below: Pressure(run.below),
                found_nobody: self.rules.has(Mechanism::Breaker)
                    && run.found_nobody
                    && end != End::Done,
            };
            place.note(now, met);
        }
        if end == End::Done {
            let own_time = seconds(run.own_time);
            let kind = &self.names[run.kind];
            gate.admission
                .note_completed(now, kind, own_time, run.light);
        }
        here.0
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

    fn end_client(&mut self, client: ClientId, end: End, run: &Run) {
        let Client {
            kind, first, tries, ..
        } = self.clients[client];
        let described = &self.graph.kinds[kind];
        let age = clock::now().saturating_duration_since(first);
        let left = described.patience.saturating_sub(age);
        let comes_back = tries < MOST_TRIES && !left.is_zero();
        let tally = &mut self.tally.kinds[kind];
        match end {
            End::Done if age <= described.objective => tally.in_time += 1,
            End::Done => tally.late += 1,
            End::Refused if comes_back => {
                let after = self.return_after(run, left);
                self.plan(after, Event::Back(client));
            }
            End::Refused => tally.refused += 1,
            End::Failed if comes_back && described.idempotent => {
                self.plan(0.0, Event::Back(client));
            }
            End::Failed => tally.failed += 1,
        }
    }

    /// Returns after how many seconds a refused client comes back.
    fn return_after(&mut self, run: &Run, left: Duration) -> f64 {
        let draw: f64 = self.random.random();
        let after = if run.found_nobody {
            ABSENCE_RETURN.0 + ABSENCE_RETURN.1 * draw
        } else {
            let spread = self.gates[run.gate].admission.return_spread(clock::now());
            SHORTEST_RETURN + spread.as_secs_f64() * draw
        };
        after.min(left.as_secs_f64() / RETURN_SHARE)
    }
}
