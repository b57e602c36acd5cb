//! A discrete-event simulation of senders and upstreams.

#![allow(dead_code, reason = "each test file uses a part of it")]
#![allow(clippy::cast_precision_loss)]

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};
use sailtrack_admission::Pressure;
use sailtrack_placement::{
    Average, Candidate, Candidates, Latencies, LoadReport, Locality, PaceReport, Sample, Shortlist,
    Speed, choose,
};
use sailtrack_units::{KindName, Pace};

/// A simulated time, in microseconds.
pub type Micros = u64;

/// The interval at which an upstream reports its pressure to all senders.
const REPORT_INTERVAL: Micros = 600_000;

/// A simulated upstream.
#[derive(Debug, Clone, Copy)]
pub struct Upstream {
    pub domain: usize,
    pub slots: u32,
    pub speed: f64,
}

/// One kind of request.
#[derive(Debug, Clone, Copy)]
pub struct Kind {
    pub name: &'static str,
    /// Requests per second from each domain.
    pub rates_per_s: [f64; 3],
    pub work_ms: f64,
    /// The share of requests that take `slow_factor` times as long.
    pub slow_share: f64,
    pub slow_factor: f64,
    pub timeout_ms: f64,
}

/// How senders choose an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// By least expected cost, as in this crate.
    LeastCost,
    /// By power of two choices on latency and load, as an earlier version did.
    PowerOfTwo,
}

/// The load and the upstreams of one simulation.
#[derive(Debug, Clone)]
pub struct Scenario {
    pub upstreams: Vec<Upstream>,
    pub kinds: Vec<Kind>,
    pub senders: usize,
    /// Noise: the share of upstreams that are slow, the factor, and the interval at which slow ones
    /// are drawn anew.
    pub noise: Option<(f64, f64, Micros)>,
    /// An upstream that is slowed by a factor between two times.
    pub slowed: Option<(usize, f64, Micros, Micros)>,
    /// How much later than an answer the load report in it arrives.
    pub report_delay: Micros,
    pub duration: Micros,
    /// The time before which nothing is measured.
    pub measured_from: Micros,
}

/// The measurements of one simulation.
#[derive(Debug, Default, Clone)]
pub struct Summary {
    /// For each kind, how many requests were sent and how many were answered in time.
    pub kinds: BTreeMap<&'static str, (u32, u32)>,
    /// For each kind, the sum of the latencies in seconds.
    pub latencies: BTreeMap<&'static str, f64>,
    /// The requests sent to each upstream in each tenth of a second.
    pub received: Vec<Vec<u32>>,
    /// The longest queue of each upstream.
    pub longest_queue: Vec<usize>,
    /// The average share of slots in use, for each upstream.
    pub utilization: Vec<f64>,
    /// The requests sent from each domain to each domain in each tenth of a second.
    pub domain_flows: Vec<[[u32; 3]; 3]>,
    /// The average queue of each upstream, as a share of its slots.
    pub mean_queue: Vec<f64>,
    /// The average number of requests that were queued at some upstreams while slots were free at
    /// others, as a share of all slots.
    pub misplaced: f64,
}

impl Summary {
    pub fn in_time(&self, kind: &str) -> f64 {
        let (sent, served) = self.kinds[kind];
        f64::from(served) / f64::from(sent.max(1))
    }

    pub fn mean_ms(&self, kind: &str) -> f64 {
        self.latencies[kind] * 1000.0 / f64::from(self.kinds[kind].1.max(1))
    }

    /// Returns an upstream's share of all requests between two times in tenths of a second.
    pub fn share(&self, upstream: usize, from: usize, to: usize) -> f64 {
        let sum = |received: &Vec<u32>| f64::from(received[from..to].iter().sum::<u32>());
        sum(&self.received[upstream]) / self.received.iter().map(sum).sum::<f64>().max(1.0)
    }
}

#[derive(Debug, Clone, Copy)]
struct Request {
    kind: usize,
    sender: usize,
    upstream: usize,
    work: f64,
    sent_at: Micros,
    done: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Issue(usize, usize),
    Arrive(usize),
    Finish(usize),
    Answer(usize, u64, u32),
    Report(usize),
    Receive(usize, usize, u64, u32),
    Timeout(usize),
}

struct Sender {
    domain: usize,
    latencies: Latencies,
    speeds: Vec<Speed>,
    reports: Vec<LoadReport>,
    paces: Vec<PaceReport>,
    outstanding: Vec<u32>,
    shortlist: Shortlist,
    /// The average pressure in the same domain, and in the others.
    averages: [Average; 2],
    /// For the power of two choices: the last reported pressures.
    reported: Vec<Option<(Pressure, Instant)>>,
    same_domain: Vec<usize>,
    other_domains: Vec<usize>,
    /// For the power of two choices: the mean latencies in seconds.
    means: Vec<Option<f64>>,
}

impl Sender {
    fn receive(&mut self, scenario: &Scenario, upstream: usize, now: Instant, pressure: Pressure) {
        let is_other_domain = scenario.upstreams[upstream].domain != self.domain;
        self.averages[usize::from(is_other_domain)].record(now, pressure.0);
        let outstanding = self.outstanding[upstream];
        self.reports[upstream].record(now, pressure, outstanding);
        self.reported[upstream] = Some((pressure, now));
    }
}

struct Server {
    running: u32,
    queue: VecDeque<usize>,
    slow: bool,
    noise_interval: Micros,
}

struct Simulation<'a> {
    scenario: &'a Scenario,
    policy: Policy,
    random: SmallRng,
    start: Instant,
    now: Micros,
    order: u64,
    events: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    requests: Vec<Request>,
    senders: Vec<Sender>,
    servers: Vec<Server>,
    names: Vec<KindName>,
    summary: Summary,
}

/// Runs a simulation.
pub fn simulate(scenario: &Scenario, policy: Policy, seed: u64) -> Summary {
    let count = scenario.upstreams.len();
    let senders = (0..scenario.senders).map(|number| {
        let domain = number % 3;
        let is_same_domain = |index: &usize| scenario.upstreams[*index].domain == domain;
        let (same_domain, other_domains) = (0..count).partition(is_same_domain);
        Sender {
            domain,
            latencies: Latencies::default(),
            speeds: vec![Speed::default(); count],
            reports: vec![LoadReport::default(); count],
            paces: vec![PaceReport::default(); count],
            outstanding: vec![0; count],
            shortlist: Shortlist::default(),
            averages: [Average::default(); 2],
            reported: vec![None; count],
            same_domain,
            other_domains,
            means: vec![None; count],
        }
    });
    let servers = (0..count).map(|_| Server {
        running: 0,
        queue: VecDeque::new(),
        slow: false,
        noise_interval: 0,
    });
    let tenths = usize::try_from(scenario.duration / 100_000 + 1).expect("short enough");
    let mut simulation = Simulation {
        scenario,
        policy,
        random: SmallRng::seed_from_u64(seed),
        start: Instant::now(),
        now: 0,
        order: 0,
        events: BinaryHeap::new(),
        requests: Vec::new(),
        senders: senders.collect(),
        servers: servers.collect(),
        names: scenario
            .kinds
            .iter()
            .map(|kind| kind.name.parse().expect("valid name"))
            .collect(),
        summary: Summary {
            received: vec![vec![0; tenths]; count],
            longest_queue: vec![0; count],
            utilization: vec![0.0; count],
            mean_queue: vec![0.0; count],
            misplaced: 0.0,
            domain_flows: vec![[[0; 3]; 3]; tenths],
            kinds: scenario
                .kinds
                .iter()
                .map(|kind| (kind.name, (0, 0)))
                .collect(),
            latencies: scenario.kinds.iter().map(|kind| (kind.name, 0.0)).collect(),
        },
    };
    simulation.run();
    simulation.summary
}

impl Simulation<'_> {
    fn schedule(&mut self, time: Micros, event: Event) {
        self.order += 1;
        self.events.push(Reverse((time, self.order, event)));
    }

    fn instant(&self) -> Instant {
        self.start + Duration::from_micros(self.now)
    }

    fn is_measuring(&self) -> bool {
        let end = self.scenario.duration - 2_000_000;
        (self.scenario.measured_from..end).contains(&self.now)
    }

    fn run(&mut self) {
        for kind in 0..self.scenario.kinds.len() {
            for domain in 0..3 {
                self.schedule_request(kind, domain);
            }
        }
        for upstream in 0..self.servers.len() {
            let first = self.random.random_range(0..REPORT_INTERVAL);
            self.schedule(first, Event::Report(upstream));
        }
        while let Some(Reverse((time, _, event))) = self.events.pop() {
            if time >= self.scenario.duration {
                break;
            }
            self.advance(time);
            match event {
                Event::Issue(kind, domain) => {
                    self.schedule_request(kind, domain);
                    self.issue(kind, domain);
                }
                Event::Arrive(request) => self.arrive(request),
                Event::Finish(request) => self.finish(request),
                Event::Answer(request, pressure, pace) => self.answer(request, pressure, pace),
                Event::Timeout(request) => self.time_out(request),
                Event::Report(upstream) => self.report(upstream),
                Event::Receive(sender, upstream, percent, pace) => {
                    let now = self.instant();
                    let pressure =
                        Pressure::from_percent(u32::try_from(percent).expect("small number"));
                    let own = &mut self.senders[sender];
                    own.receive(self.scenario, upstream, now, pressure);
                    own.paces[upstream].record(now, Pace::from_percent(pace).expect("valid pace"));
                }
            }
        }
    }

    /// Advances the clock to `time` and adds up what was in use and queued until then.
    fn advance(&mut self, time: Micros) {
        if self.is_measuring() {
            let span = self.scenario.duration - 2_000_000 - self.scenario.measured_from;
            let part = (time - self.now) as f64 / span as f64;
            let (mut free, mut waiting, mut all) = (0, 0, 0);
            for (index, server) in self.servers.iter().enumerate() {
                let slots = f64::from(self.scenario.upstreams[index].slots);
                self.summary.utilization[index] += part * f64::from(server.running) / slots;
                self.summary.mean_queue[index] += part * server.queue.len() as f64 / slots;
                free += self.scenario.upstreams[index].slots - server.running;
                waiting += u32::try_from(server.queue.len()).expect("small number");
                all += self.scenario.upstreams[index].slots;
            }
            self.summary.misplaced += part * f64::from(free.min(waiting)) / f64::from(all);
        }
        self.now = time;
    }

    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn schedule_request(&mut self, kind: usize, domain: usize) {
        let rate = self.scenario.kinds[kind].rates_per_s[domain];
        if rate > 0.0 {
            let draw: f64 = self.random.random_range(1e-9..1.0);
            let gap = (-draw.ln() / rate * 1e6) as Micros;
            self.schedule(self.now + gap.max(1), Event::Issue(kind, domain));
        }
    }

    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn issue(&mut self, kind: usize, domain: usize) {
        let spec = self.scenario.kinds[kind];
        let sender = self.random.random_range(0..self.scenario.senders / 3) * 3 + domain;
        let spread = self.random.random_range(0.6..1.4);
        let factor = if self.random.random_bool(spec.slow_share) {
            spec.slow_factor
        } else {
            1.0
        };
        let upstream = self.choose(sender, kind);
        let request = self.requests.len();
        self.requests.push(Request {
            kind,
            sender,
            upstream,
            work: spec.work_ms * 1000.0 * if factor > 1.0 { factor } else { spread },
            sent_at: self.now,
            done: false,
        });
        let tenth = usize::try_from(self.now / 100_000).expect("short enough");
        self.summary.received[upstream][tenth] += 1;
        self.summary.domain_flows[tenth][domain][self.scenario.upstreams[upstream].domain] += 1;
        if self.is_measuring() {
            self.summary.kinds.get_mut(spec.name).expect("known kind").0 += 1;
        }
        self.senders[sender].outstanding[upstream] += 1;
        let network_delay = self.network_delay(sender, upstream);
        self.schedule(self.now + network_delay, Event::Arrive(request));
        let timeout = (spec.timeout_ms * 1000.0) as Micros;
        self.schedule(self.now + timeout, Event::Timeout(request));
    }

    fn network_delay(&self, sender: usize, upstream: usize) -> Micros {
        if self.senders[sender].domain == self.scenario.upstreams[upstream].domain {
            200
        } else {
            900
        }
    }

    fn choose(&mut self, sender: usize, kind: usize) -> usize {
        let now = self.instant();
        let timeout = Duration::from_secs_f64(self.scenario.kinds[kind].timeout_ms / 1000.0);
        let Sender {
            latencies,
            speeds,
            reports,
            paces,
            outstanding,
            shortlist,
            same_domain,
            other_domains,
            means,
            averages,
            reported,
            ..
        } = &self.senders[sender];
        let slots = |index: usize| self.scenario.upstreams[index].slots;
        if self.policy == Policy::PowerOfTwo {
            let known: Vec<f64> = means.iter().flatten().copied().collect();
            let usual = known.iter().sum::<f64>() / known.len().max(1) as f64;
            let cost = |index: usize| {
                let share = f64::from(outstanding[index] + 1) / f64::from(slots(index));
                means[index].unwrap_or(usual.max(1e-6)) * (0.2 + share)
            };
            let pressure = |index: usize| {
                let own = Pressure::of(outstanding[index] as usize, slots(index) as usize);
                let reported = reported[index]
                    .map(|(reported, received_at)| reported.decayed(received_at, now));
                reported.unwrap_or_default().max(own)
            };
            let mut pick = |of: &Vec<usize>| {
                let first = of.get(self.random.random_range(0..of.len().max(1)))?;
                let second = of[self.random.random_range(0..of.len())];
                Some(if cost(*first) <= cost(second) {
                    *first
                } else {
                    second
                })
            };
            return match (pick(same_domain), pick(other_domains)) {
                (Some(same_domain), Some(other_domains))
                    if pressure(same_domain).spills_to(pressure(other_domains)) =>
                {
                    other_domains
                }
                (same_domain, other_domains) => same_domain
                    .or(other_domains)
                    .expect("at least one upstream"),
            };
        }
        let upstream_at = |locality, index: usize| match locality {
            Locality::SameDomain => same_domain[index],
            Locality::OtherDomain => other_domains[index],
        };
        let candidates = Candidates {
            same_domain: same_domain.len(),
            other_domains: other_domains.len(),
            lookup: |locality, at| {
                let at = upstream_at(locality, at);
                let average = &averages[usize::from(locality == Locality::OtherDomain)];
                Some(Candidate {
                    is_available: true,
                    pressure: reports[at]
                        .pressure(now, outstanding[at], slots(at), average)
                        .0,
                    failure_rate: 0.0,
                    slowness: speeds[at].slowness(now) * paces[at].factor(now),
                    uncertainty: speeds[at].uncertainty(),
                })
            },
            pressure_gap: averages[0].at(now) - averages[1].at(now),
            shortlist,
        };
        let estimate = latencies.estimate(&self.names[kind], timeout);
        let (locality, at) =
            choose(&candidates, &estimate, &mut self.random).expect("at least one upstream");
        upstream_at(locality, at)
    }

    /// Returns the factor by which work currently takes longer than usual.
    fn pace(&mut self, upstream: usize) -> f64 {
        if let Some((slowed, by, from, to)) = self.scenario.slowed
            && slowed == upstream
            && (from..to).contains(&self.now)
        {
            return by;
        }
        let Some((share, by, every)) = self.scenario.noise else {
            return 1.0;
        };
        let interval = self.now / every + 1;
        if self.servers[upstream].noise_interval != interval {
            self.servers[upstream].noise_interval = interval;
            self.servers[upstream].slow = self.random.random_bool(share);
        }
        if self.servers[upstream].slow { by } else { 1.0 }
    }

    fn arrive(&mut self, request: usize) {
        if self.requests[request].done {
            return;
        }
        let upstream = self.requests[request].upstream;
        let server = &mut self.servers[upstream];
        if server.running < self.scenario.upstreams[upstream].slots {
            self.start(request);
        } else {
            server.queue.push_back(request);
            let waiting = server.queue.len();
            if self.is_measuring() {
                let longest_queue = &mut self.summary.longest_queue[upstream];
                *longest_queue = (*longest_queue).max(waiting);
            }
        }
    }

    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn start(&mut self, request: usize) {
        let upstream = self.requests[request].upstream;
        self.servers[upstream].running += 1;
        let pace = self.pace(upstream);
        let time = self.requests[request].work / self.scenario.upstreams[upstream].speed * pace;
        self.schedule(self.now + time as Micros, Event::Finish(request));
    }

    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn finish(&mut self, request: usize) {
        let Request {
            upstream, sender, ..
        } = self.requests[request];
        self.servers[upstream].running -= 1;
        while let Some(next) = self.servers[upstream].queue.pop_front() {
            if !self.requests[next].done {
                self.start(next);
                break;
            }
        }
        if self.requests[request].done {
            return;
        }
        let percent = self.percent(upstream);
        let pace = (self.pace(upstream) * 100.0) as u32;
        let network_delay = self.network_delay(sender, upstream);
        let received_at = self.now + network_delay + self.scenario.report_delay;
        self.schedule(received_at, Event::Receive(sender, upstream, percent, pace));
        self.schedule(
            self.now + network_delay,
            Event::Answer(request, percent, pace),
        );
    }

    fn answer(&mut self, request: usize, percent: u64, pace: u32) {
        let Some(ended) = self.end(request) else {
            return;
        };
        let Request {
            upstream,
            sender,
            kind,
            sent_at,
            ..
        } = ended;
        let time = Duration::from_micros(self.now - sent_at);
        if (self.scenario.measured_from..self.scenario.duration - 2_000_000).contains(&sent_at) {
            let name = self.scenario.kinds[kind].name;
            self.summary.kinds.get_mut(name).expect("known kind").1 += 1;
            *self.summary.latencies.get_mut(name).expect("known kind") += time.as_secs_f64();
        }
        let pressure = Pressure::from_percent(u32::try_from(percent).expect("small number"));
        let sample = Sample {
            time,
            pressure: pressure.0,
            pace: f64::from(pace) / 100.0,
            is_answered: true,
        };
        let mean = &mut self.senders[sender].means[upstream];
        let known = mean.unwrap_or(time.as_secs_f64());
        *mean = Some(known + (time.as_secs_f64() - known) * 0.1);
        self.learn(&ended, sample);
    }

    fn percent(&self, upstream: usize) -> u64 {
        let server = &self.servers[upstream];
        let calls = u64::from(server.running) + server.queue.len() as u64;
        calls * 100 / u64::from(self.scenario.upstreams[upstream].slots)
    }

    /// Reports the pressure of an upstream to all senders.
    fn report(&mut self, upstream: usize) {
        self.schedule(self.now + REPORT_INTERVAL, Event::Report(upstream));
        let percent = u32::try_from(self.percent(upstream)).expect("small number");
        let now = self.instant();
        for sender in &mut self.senders {
            sender.receive(
                self.scenario,
                upstream,
                now,
                Pressure::from_percent(percent),
            );
        }
    }

    fn time_out(&mut self, request: usize) {
        let Some(ended) = self.end(request) else {
            return;
        };
        let pace = self.senders[ended.sender].paces[ended.upstream].factor(self.instant());
        let sample = Sample {
            time: Duration::from_micros(self.now - ended.sent_at),
            pressure: 0.0,
            pace,
            is_answered: false,
        };
        self.learn(&ended, sample);
    }

    /// Marks a request as done; returns it the first time.
    fn end(&mut self, request: usize) -> Option<Request> {
        let ended = self.requests[request];
        if ended.done {
            return None;
        }
        self.requests[request].done = true;
        self.senders[ended.sender].outstanding[ended.upstream] -= 1;
        Some(ended)
    }

    /// Records the latency of a request in the statistics of its sender.
    fn learn(&mut self, ended: &Request, sample: Sample) {
        let now = self.instant();
        let own = &mut self.senders[ended.sender];
        let speed = &mut own.speeds[ended.upstream];
        own.latencies
            .record(&self.names[ended.kind], speed, now, sample);
    }
}
