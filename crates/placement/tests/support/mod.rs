//! Plays senders and upstreams under a clock of its own.

#![allow(dead_code, reason = "each test file uses a part")]
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

/// A step of a play, in microseconds.
pub type Micros = u64;

/// How often an upstream tells everybody how full it is.
const PRESENCE: Micros = 600_000;

/// One upstream.
#[derive(Debug, Clone, Copy)]
pub struct Upstream {
    pub domain: usize,
    pub slots: u32,
    pub speed: f64,
}

/// One kind of requests.
#[derive(Debug, Clone, Copy)]
pub struct Kind {
    pub name: &'static str,
    /// Requests in a second, from each domain.
    pub rates: [f64; 3],
    pub work_ms: f64,
    /// The share of requests that takes `tail_x` times as long.
    pub tail: f64,
    pub tail_x: f64,
    pub timeout_ms: f64,
}

/// How senders choose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rule {
    /// By expected finish.
    Finish,
    /// The better of two drawn by time and load, as nodes did before.
    TwoDrawn,
}

/// What is played.
#[derive(Debug, Clone)]
pub struct Load {
    pub upstreams: Vec<Upstream>,
    pub kinds: Vec<Kind>,
    pub senders: usize,
    /// The share of instances that are slower at a moment, by how much, and for how long.
    pub noise: Option<(f64, f64, Micros)>,
    /// An upstream that is slower between two moments.
    pub slowed: Option<(usize, f64, Micros, Micros)>,
    /// How much later than the answers what they tell comes.
    pub late: Micros,
    pub length: Micros,
    /// What comes earlier is not counted.
    pub counted_from: Micros,
}

/// What came of a play.
#[derive(Debug, Default, Clone)]
pub struct Tally {
    /// For each kind how many were asked and answered in time.
    pub kinds: BTreeMap<&'static str, (u32, u32)>,
    /// For each kind the sum of the times in seconds.
    pub times: BTreeMap<&'static str, f64>,
    /// How many each upstream got in each tenth of a second.
    pub got: Vec<Vec<u32>>,
    /// The greatest queue of each upstream.
    pub queued: Vec<usize>,
    /// Slots used, over time, of each upstream, as a share.
    pub used: Vec<f64>,
    /// How many went from one domain to another in each tenth of a second.
    pub swapped: Vec<[[u32; 3]; 3]>,
    /// The sum of what waited, over time and as a share of the slots, of each upstream.
    pub waited: Vec<f64>,
    /// What waited at some upstreams while as many slots were free at others, over time and as a
    /// share of all slots.
    pub misplaced: f64,
}

impl Tally {
    pub fn in_time(&self, kind: &str) -> f64 {
        let (asked, served) = self.kinds[kind];
        f64::from(served) / f64::from(asked.max(1))
    }

    pub fn mean_ms(&self, kind: &str) -> f64 {
        self.times[kind] * 1000.0 / f64::from(self.kinds[kind].1.max(1))
    }

    /// Returns the share of all requests that an upstream got between two tenths of a second.
    pub fn share(&self, upstream: usize, from: usize, to: usize) -> f64 {
        let sum = |got: &Vec<u32>| f64::from(got[from..to].iter().sum::<u32>());
        sum(&self.got[upstream]) / self.got.iter().map(sum).sum::<f64>().max(1.0)
    }
}

#[derive(Debug, Clone, Copy)]
struct Request {
    kind: usize,
    sender: usize,
    upstream: usize,
    work: f64,
    began: Micros,
    done: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Ask(usize, usize),
    Arrive(usize),
    Finish(usize),
    Answer(usize, u64, u32),
    Tell(usize),
    Hear(usize, usize, u64, u32),
    GiveUp(usize),
}

struct Sender {
    domain: usize,
    times: Latencies,
    speeds: Vec<Speed>,
    news: Vec<LoadReport>,
    paces: Vec<PaceReport>,
    outstanding: Vec<u32>,
    shortlist: Shortlist,
    /// How full the upstreams of the own domain are, and those of the others.
    levels: [Average; 2],
    /// What two draws know of the pressure.
    told: Vec<Option<(Pressure, Instant)>>,
    near: Vec<usize>,
    far: Vec<usize>,
    /// What two draws know: the mean time, and when it was learned.
    means: Vec<Option<f64>>,
}

impl Sender {
    fn hear(&mut self, load: &Load, upstream: usize, now: Instant, pressure: Pressure) {
        let is_far = load.upstreams[upstream].domain != self.domain;
        self.levels[usize::from(is_far)].record(now, pressure.0);
        let outstanding = self.outstanding[upstream];
        self.news[upstream].record(now, pressure, outstanding);
        self.told[upstream] = Some((pressure, now));
    }
}

struct Serving {
    running: u32,
    queue: VecDeque<usize>,
    slow: bool,
    drawn: Micros,
}

struct Play<'a> {
    load: &'a Load,
    rule: Rule,
    random: SmallRng,
    start: Instant,
    now: Micros,
    order: u64,
    events: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    requests: Vec<Request>,
    senders: Vec<Sender>,
    serving: Vec<Serving>,
    names: Vec<KindName>,
    tally: Tally,
}

/// Plays a load.
pub fn play(load: &Load, rule: Rule, seed: u64) -> Tally {
    let count = load.upstreams.len();
    let senders = (0..load.senders).map(|number| {
        let domain = number % 3;
        let is_near = |place: &usize| load.upstreams[*place].domain == domain;
        let (near, far) = (0..count).partition(is_near);
        Sender {
            domain,
            times: Latencies::default(),
            speeds: vec![Speed::default(); count],
            news: vec![LoadReport::default(); count],
            paces: vec![PaceReport::default(); count],
            outstanding: vec![0; count],
            shortlist: Shortlist::default(),
            levels: [Average::default(); 2],
            told: vec![None; count],
            near,
            far,
            means: vec![None; count],
        }
    });
    let serving = (0..count).map(|_| Serving {
        running: 0,
        queue: VecDeque::new(),
        slow: false,
        drawn: 0,
    });
    let tenths = usize::try_from(load.length / 100_000 + 1).expect("a short play");
    let mut play = Play {
        load,
        rule,
        random: SmallRng::seed_from_u64(seed),
        start: Instant::now(),
        now: 0,
        order: 0,
        events: BinaryHeap::new(),
        requests: Vec::new(),
        senders: senders.collect(),
        serving: serving.collect(),
        names: load
            .kinds
            .iter()
            .map(|kind| kind.name.parse().expect("a name"))
            .collect(),
        tally: Tally {
            got: vec![vec![0; tenths]; count],
            queued: vec![0; count],
            used: vec![0.0; count],
            waited: vec![0.0; count],
            misplaced: 0.0,
            swapped: vec![[[0; 3]; 3]; tenths],
            kinds: load.kinds.iter().map(|kind| (kind.name, (0, 0))).collect(),
            times: load.kinds.iter().map(|kind| (kind.name, 0.0)).collect(),
        },
    };
    play.run();
    play.tally
}

impl Play<'_> {
    fn at(&mut self, time: Micros, event: Event) {
        self.order += 1;
        self.events.push(Reverse((time, self.order, event)));
    }

    fn instant(&self) -> Instant {
        self.start + Duration::from_micros(self.now)
    }

    fn counts(&self) -> bool {
        let end = self.load.length - 2_000_000;
        (self.load.counted_from..end).contains(&self.now)
    }

    fn run(&mut self) {
        for kind in 0..self.load.kinds.len() {
            for domain in 0..3 {
                self.next_ask(kind, domain);
            }
        }
        for upstream in 0..self.serving.len() {
            let first = self.random.random_range(0..PRESENCE);
            self.at(first, Event::Tell(upstream));
        }
        while let Some(Reverse((time, _, event))) = self.events.pop() {
            if time >= self.load.length {
                break;
            }
            self.pass(time);
            match event {
                Event::Ask(kind, domain) => {
                    self.next_ask(kind, domain);
                    self.ask(kind, domain);
                }
                Event::Arrive(request) => self.arrive(request),
                Event::Finish(request) => self.finish(request),
                Event::Answer(request, pressure, pace) => self.answer(request, pressure, pace),
                Event::GiveUp(request) => self.give_up(request),
                Event::Tell(upstream) => self.tell(upstream),
                Event::Hear(sender, upstream, percent, pace) => {
                    let now = self.instant();
                    let pressure = Pressure::from_percent(u32::try_from(percent).expect("small"));
                    let own = &mut self.senders[sender];
                    own.hear(self.load, upstream, now, pressure);
                    own.paces[upstream].record(now, Pace::from_percent(pace).expect("sound"));
                }
            }
        }
    }

    /// Adds up what is used and waits until `time`.
    fn pass(&mut self, time: Micros) {
        if self.counts() {
            let span = self.load.length - 2_000_000 - self.load.counted_from;
            let part = (time - self.now) as f64 / span as f64;
            let (mut free, mut waiting, mut all) = (0, 0, 0);
            for (place, serving) in self.serving.iter().enumerate() {
                let slots = f64::from(self.load.upstreams[place].slots);
                self.tally.used[place] += part * f64::from(serving.running) / slots;
                self.tally.waited[place] += part * serving.queue.len() as f64 / slots;
                free += self.load.upstreams[place].slots - serving.running;
                waiting += u32::try_from(serving.queue.len()).expect("few");
                all += self.load.upstreams[place].slots;
            }
            self.tally.misplaced += part * f64::from(free.min(waiting)) / f64::from(all);
        }
        self.now = time;
    }

    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn next_ask(&mut self, kind: usize, domain: usize) {
        let rate = self.load.kinds[kind].rates[domain];
        if rate > 0.0 {
            let draw: f64 = self.random.random_range(1e-9..1.0);
            let gap = (-draw.ln() / rate * 1e6) as Micros;
            self.at(self.now + gap.max(1), Event::Ask(kind, domain));
        }
    }

    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn ask(&mut self, kind: usize, domain: usize) {
        let drawn = self.load.kinds[kind];
        let sender = self.random.random_range(0..self.load.senders / 3) * 3 + domain;
        let spread = self.random.random_range(0.6..1.4);
        let tail = if self.random.random_bool(drawn.tail) {
            drawn.tail_x
        } else {
            1.0
        };
        let upstream = self.choose(sender, kind);
        let request = self.requests.len();
        self.requests.push(Request {
            kind,
            sender,
            upstream,
            work: drawn.work_ms * 1000.0 * if tail > 1.0 { tail } else { spread },
            began: self.now,
            done: false,
        });
        let tenth = usize::try_from(self.now / 100_000).expect("a short play");
        self.tally.got[upstream][tenth] += 1;
        self.tally.swapped[tenth][domain][self.load.upstreams[upstream].domain] += 1;
        if self.counts() {
            self.tally.kinds.get_mut(drawn.name).expect("known").0 += 1;
        }
        self.senders[sender].outstanding[upstream] += 1;
        let way = self.way(sender, upstream);
        self.at(self.now + way, Event::Arrive(request));
        let timeout = (drawn.timeout_ms * 1000.0) as Micros;
        self.at(self.now + timeout, Event::GiveUp(request));
    }

    fn way(&self, sender: usize, upstream: usize) -> Micros {
        if self.senders[sender].domain == self.load.upstreams[upstream].domain {
            200
        } else {
            900
        }
    }

    fn choose(&mut self, sender: usize, kind: usize) -> usize {
        let now = self.instant();
        let timeout = Duration::from_secs_f64(self.load.kinds[kind].timeout_ms / 1000.0);
        let Sender {
            times,
            speeds,
            news,
            paces,
            outstanding,
            shortlist,
            near,
            far,
            means,
            levels,
            told,
            ..
        } = &self.senders[sender];
        let slots = |place: usize| self.load.upstreams[place].slots;
        if self.rule == Rule::TwoDrawn {
            let known: Vec<f64> = means.iter().flatten().copied().collect();
            let usual = known.iter().sum::<f64>() / known.len().max(1) as f64;
            let cost = |place: usize| {
                let share = f64::from(outstanding[place] + 1) / f64::from(slots(place));
                means[place].unwrap_or(usual.max(1e-6)) * (0.2 + share)
            };
            let pressure = |place: usize| {
                let own = Pressure::of(outstanding[place] as usize, slots(place) as usize);
                let told = told[place].map(|(told, heard)| told.decayed(heard, now));
                told.unwrap_or_default().max(own)
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
            return match (pick(near), pick(far)) {
                (Some(near), Some(far)) if pressure(near).spills_to(pressure(far)) => far,
                (near, far) => near.or(far).expect("some upstream"),
            };
        }
        let place = |locality, place: usize| match locality {
            Locality::SameDomain => near[place],
            Locality::OtherDomain => far[place],
        };
        let candidates = Candidates {
            same_domain: near.len(),
            other_domains: far.len(),
            lookup: |locality, at| {
                let at = place(locality, at);
                let level = &levels[usize::from(locality == Locality::OtherDomain)];
                Some(Candidate {
                    is_available: true,
                    pressure: news[at].pressure(now, outstanding[at], slots(at), level).0,
                    failure_rate: 0.0,
                    slowness: speeds[at].slowness(now) * paces[at].factor(now),
                    uncertainty: speeds[at].uncertainty(),
                })
            },
            pressure_gap: levels[0].at(now) - levels[1].at(now),
            shortlist,
        };
        let estimate = times.estimate(&self.names[kind], timeout);
        let (locality, at) =
            choose(&candidates, &estimate, &mut self.random).expect("some upstream");
        place(locality, at)
    }

    /// Returns how many times as long as usual work takes now.
    fn pace(&mut self, upstream: usize) -> f64 {
        if let Some((slowed, by, from, to)) = self.load.slowed
            && slowed == upstream
            && (from..to).contains(&self.now)
        {
            return by;
        }
        let Some((share, by, every)) = self.load.noise else {
            return 1.0;
        };
        let slot = self.now / every + 1;
        if self.serving[upstream].drawn != slot {
            self.serving[upstream].drawn = slot;
            self.serving[upstream].slow = self.random.random_bool(share);
        }
        if self.serving[upstream].slow { by } else { 1.0 }
    }

    fn arrive(&mut self, request: usize) {
        if self.requests[request].done {
            return;
        }
        let upstream = self.requests[request].upstream;
        let serving = &mut self.serving[upstream];
        if serving.running < self.load.upstreams[upstream].slots {
            self.start(request);
        } else {
            serving.queue.push_back(request);
            let waiting = serving.queue.len();
            if self.counts() {
                let queued = &mut self.tally.queued[upstream];
                *queued = (*queued).max(waiting);
            }
        }
    }

    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn start(&mut self, request: usize) {
        let upstream = self.requests[request].upstream;
        self.serving[upstream].running += 1;
        let pace = self.pace(upstream);
        let time = self.requests[request].work / self.load.upstreams[upstream].speed * pace;
        self.at(self.now + time as Micros, Event::Finish(request));
    }

    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn finish(&mut self, request: usize) {
        let Request {
            upstream, sender, ..
        } = self.requests[request];
        self.serving[upstream].running -= 1;
        while let Some(next) = self.serving[upstream].queue.pop_front() {
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
        let way = self.way(sender, upstream);
        let heard = self.now + way + self.load.late;
        self.at(heard, Event::Hear(sender, upstream, percent, pace));
        self.at(self.now + way, Event::Answer(request, percent, pace));
    }

    fn answer(&mut self, request: usize, percent: u64, pace: u32) {
        let Some(ended) = self.end(request) else {
            return;
        };
        let Request {
            upstream,
            sender,
            kind,
            began,
            ..
        } = ended;
        let time = Duration::from_micros(self.now - began);
        if (self.load.counted_from..self.load.length - 2_000_000).contains(&began) {
            let name = self.load.kinds[kind].name;
            self.tally.kinds.get_mut(name).expect("known").1 += 1;
            *self.tally.times.get_mut(name).expect("known") += time.as_secs_f64();
        }
        let pressure = Pressure::from_percent(u32::try_from(percent).expect("small"));
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
        let serving = &self.serving[upstream];
        let calls = u64::from(serving.running) + serving.queue.len() as u64;
        calls * 100 / u64::from(self.load.upstreams[upstream].slots)
    }

    /// Tells every sender how full an upstream is.
    fn tell(&mut self, upstream: usize) {
        self.at(self.now + PRESENCE, Event::Tell(upstream));
        let percent = u32::try_from(self.percent(upstream)).expect("small");
        let now = self.instant();
        for sender in &mut self.senders {
            sender.hear(self.load, upstream, now, Pressure::from_percent(percent));
        }
    }

    fn give_up(&mut self, request: usize) {
        let Some(ended) = self.end(request) else {
            return;
        };
        let pace = self.senders[ended.sender].paces[ended.upstream].factor(self.instant());
        let sample = Sample {
            time: Duration::from_micros(self.now - ended.began),
            pressure: 0.0,
            pace,
            is_answered: false,
        };
        self.learn(&ended, sample);
    }

    /// Takes in that nobody waits for a request any more; returns it the first time.
    fn end(&mut self, request: usize) -> Option<Request> {
        let ended = self.requests[request];
        if ended.done {
            return None;
        }
        self.requests[request].done = true;
        self.senders[ended.sender].outstanding[ended.upstream] -= 1;
        Some(ended)
    }

    /// Lets the sender of a request learn how long it took.
    fn learn(&mut self, ended: &Request, sample: Sample) {
        let now = self.instant();
        let own = &mut self.senders[ended.sender];
        let speed = &mut own.speeds[ended.upstream];
        own.times
            .record(&self.names[ended.kind], speed, now, sample);
    }
}
