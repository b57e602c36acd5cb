//! Upstreams that crash under some requests, beside crashes for other reasons.
//!
//! It plays the code that weighs what ran when upstreams ended, and tells how
//! many upstreams a harmful request ends and how many requests without fault
//! are held back. Every caller keeps one request in flight; what an upstream
//! that crashes was running is sent once more, and callers come back later.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashSet};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};
use sailtrack_quarantine::{Caller, Crash, Execution, Hasher, Identity, Ledger, Standing};
use sailtrack_units::Moment;

/// How long a run takes on average, in seconds,
const RUN_TIME: f64 = 0.12;
/// and one that ends its upstream.
const HARMFUL_RUN_TIME: f64 = 0.05;
/// How long a caller that was not served waits before it comes back, in seconds.
const RETURN_TIME: f64 = 0.8;
/// How often an ordinary request comes back before its caller makes another one.
const RETURNS: u32 = 2;

/// What is played.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    /// The upstreams of the service.
    pub upstreams: usize,
    /// The requests that run in each on average.
    pub running: usize,
    /// How long an upstream stays away after a crash, in seconds.
    pub down: f64,
    /// The crashes of the whole service in a second that no request causes.
    pub other_crashes: f64,
    /// The harmful requests that begin to come in a second; each comes again until the end.
    pub harmful: f64,
    /// The part of the requests that many callers make, out of twenty different ones.
    pub popular: f64,
    /// How long it goes on, in seconds.
    pub length: f64,
}

/// What came of it.
#[derive(Debug, Clone, Copy, Default)]
pub struct Crashes {
    /// The crashes that no request caused.
    pub other: usize,
    /// The crashes under harmful requests,
    pub caused: usize,
    /// how many of those requests there were,
    pub harmful: usize,
    /// and how many of them are held back.
    pub convicted: usize,
    /// The most upstreams that one of them ended.
    pub most: usize,
    /// The requests without fault that ran when an upstream ended,
    pub involved: usize,
    /// and those of them that were held back.
    pub wronged: usize,
}

/// A caller with its present request.
#[derive(Debug, Clone, Copy)]
struct Request {
    identity: Identity,
    is_harmful: bool,
    returns: u32,
}

/// One run of a request.
#[derive(Debug, Clone, Copy)]
struct Running {
    caller: usize,
    ran: Execution,
    on_trial: bool,
}

/// An upstream.
#[derive(Debug, Default)]
struct Upstream {
    is_down: bool,
    /// Counts its lives, so that the ends of runs of earlier ones are told.
    life: u64,
    running: Vec<Running>,
}

/// What happens at a moment, in microseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Send {
        caller: usize,
    },
    End {
        caller: usize,
        upstream: usize,
        life: u64,
    },
    Kill,
    Back {
        upstream: usize,
    },
    Harm,
}

/// Plays a load.
#[must_use]
pub fn play_crashes(load: Load, seed: u64) -> Crashes {
    let mut play = Play::new(load, seed);
    play.run();
    play.finish()
}

struct Play {
    load: Load,
    random: StdRng,
    ledger: Ledger,
    upstreams: Vec<Upstream>,
    callers: Vec<Request>,
    ends_of: Vec<usize>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    now: u64,
    made: u64,
    involved: HashSet<Identity>,
    result: Crashes,
}

fn micros(seconds: f64) -> u64 {
    let time = Duration::from_secs_f64(seconds);
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

fn identity(name: &str) -> Identity {
    Hasher::new(&[name.as_bytes()], Caller::named(b"model")).finish()
}

impl Play {
    fn new(load: Load, seed: u64) -> Self {
        Self {
            load,
            random: StdRng::seed_from_u64(seed),
            ledger: Ledger::default(),
            upstreams: (0..load.upstreams).map(|_| Upstream::default()).collect(),
            callers: Vec::new(),
            ends_of: Vec::new(),
            events: BinaryHeap::new(),
            sequence: 0,
            now: 0,
            made: 0,
            involved: HashSet::new(),
            result: Crashes::default(),
        }
    }

    fn run(&mut self) {
        for caller in 0..self.load.upstreams * self.load.running {
            let request = self.ordinary();
            self.add_caller(request);
            let wait = self.random.random_range(0.0..RUN_TIME);
            self.schedule(wait, Event::Send { caller });
        }
        self.schedule_next(self.load.other_crashes, Event::Kill);
        self.schedule_next(self.load.harmful, Event::Harm);
        let end = micros(self.load.length);
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > end {
                return;
            }
            self.now = at;
            self.happen(event);
        }
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Send { caller } => self.send(caller),
            Event::End {
                caller,
                upstream,
                life,
            } => self.end(caller, upstream, life),
            Event::Kill => {
                let upstream = self.random.random_range(0..self.upstreams.len());
                if !self.upstreams[upstream].is_down {
                    self.result.other += 1;
                    self.crash(upstream);
                }
                self.schedule_next(self.load.other_crashes, Event::Kill);
            }
            Event::Back { upstream } => self.upstreams[upstream].is_down = false,
            Event::Harm => {
                self.made += 1;
                let identity = identity(&format!("harmful {}", self.made));
                let request = Request {
                    identity,
                    is_harmful: true,
                    returns: 0,
                };
                let caller = self.callers.len();
                self.add_caller(request);
                self.schedule(0.0, Event::Send { caller });
                self.schedule_next(self.load.harmful, Event::Harm);
            }
        }
    }

    fn send(&mut self, caller: usize) {
        let request = self.callers[caller];
        let standing = self.ledger.standing(&request.identity, self.moment());
        let place = self.choose(&request.identity, standing);
        let is_refused = standing.is_quarantined()
            || place.is_none_or(|place| standing.is_on_trial() && self.has_trial(place));
        let Some(place) = place.filter(|_| !is_refused) else {
            return self.come_back(caller);
        };
        let running = Running {
            caller,
            ran: Execution {
                identity: request.identity,
                known_crashes: standing.known_crashes(),
                succeeded_recently: false,
            },
            on_trial: standing.is_on_trial(),
        };
        let upstream = &mut self.upstreams[place];
        upstream.running.push(running);
        let life = upstream.life;
        let time = if request.is_harmful {
            HARMFUL_RUN_TIME
        } else {
            RUN_TIME * self.random.random_range(0.5..1.5)
        };
        self.schedule(
            time,
            Event::End {
                caller,
                upstream: place,
                life,
            },
        );
    }

    /// Chooses as nodes do: by load, or for a suspect the place that all prefer for it.
    fn choose(&mut self, identity: &Identity, standing: Standing) -> Option<usize> {
        let up = self.upstreams.iter().enumerate();
        let up = up.filter(|(_, upstream)| !upstream.is_down);
        let up: Vec<usize> = up.map(|(place, _)| place).collect();
        if standing != Standing::Clear {
            let preference = |place: &usize| identity.preference(&place.to_string());
            return up.into_iter().max_by_key(preference);
        }
        let two = [0, 1].map(|_| self.random.random_range(0..up.len().max(1)));
        let two = two.into_iter().filter_map(|draw| up.get(draw).copied());
        two.min_by_key(|place| self.upstreams[*place].running.len())
    }

    fn has_trial(&self, place: usize) -> bool {
        let mut running = self.upstreams[place].running.iter();
        running.any(|running| running.on_trial)
    }

    fn end(&mut self, caller: usize, upstream: usize, life: u64) {
        if self.upstreams[upstream].life != life {
            return;
        }
        let request = self.callers[caller];
        if request.is_harmful {
            self.result.caused += 1;
            self.ends_of[caller] += 1;
            self.crash(upstream);
            return;
        }
        let running = &mut self.upstreams[upstream].running;
        running.retain(|running| running.caller != caller);
        let now = self.moment();
        self.ledger.record_success(&request.identity, now);
        self.callers[caller] = self.ordinary();
        self.schedule(0.0, Event::Send { caller });
    }

    fn crash(&mut self, place: usize) {
        let upstream = &mut self.upstreams[place];
        upstream.is_down = true;
        upstream.life += 1;
        let running = std::mem::take(&mut upstream.running);
        let name = format!("{place}-{}", upstream.life);
        let ran: Vec<Execution> = running.iter().map(|running| running.ran).collect();
        let crash = Crash {
            incarnation: &name,
            in_flight: &ran,
            is_complete: true,
        };
        let verdicts = self.ledger.record_crash(crash, self.moment());
        for running in &running {
            let request = self.callers[running.caller];
            if !request.is_harmful {
                self.involved.insert(request.identity);
                let is_wronged = verdicts.contains(&request.identity);
                self.result.wronged += usize::from(is_wronged);
            }
            let again = Event::Send {
                caller: running.caller,
            };
            self.schedule(0.002, again);
        }
        self.schedule(self.load.down, Event::Back { upstream: place });
    }

    fn come_back(&mut self, caller: usize) {
        let request = &mut self.callers[caller];
        if !request.is_harmful {
            request.returns += 1;
            if request.returns > RETURNS {
                self.callers[caller] = self.ordinary();
            }
        }
        self.schedule(RETURN_TIME, Event::Send { caller });
    }

    fn ordinary(&mut self) -> Request {
        self.made += 1;
        let name = if self.random.random_bool(self.load.popular) {
            format!("popular {}", self.random.random_range(0..20))
        } else {
            format!("ordinary {}", self.made)
        };
        Request {
            identity: identity(&name),
            is_harmful: false,
            returns: 0,
        }
    }

    fn add_caller(&mut self, request: Request) {
        self.callers.push(request);
        self.ends_of.push(0);
    }

    fn moment(&self) -> Moment {
        Moment::since_boot(Duration::from_micros(self.now))
    }

    fn schedule(&mut self, wait: f64, event: Event) {
        self.sequence += 1;
        let at = self.now + micros(wait);
        self.events.push(Reverse((at, self.sequence, event)));
    }

    /// Schedules the next event of a kind that comes so often in a second, at random.
    fn schedule_next(&mut self, rate: f64, event: Event) {
        if rate > 0.0 {
            let draw: f64 = self.random.random_range(f64::EPSILON..1.0);
            self.schedule(-draw.ln() / rate, event);
        }
    }

    fn finish(mut self) -> Crashes {
        let now = self.moment();
        let harmful = self.callers.iter().filter(|request| request.is_harmful);
        let harmful: Vec<Identity> = harmful.map(|request| request.identity).collect();
        let is_held = |identity: &&Identity| self.ledger.standing(identity, now).is_quarantined();
        self.result.harmful = harmful.len();
        self.result.convicted = harmful.iter().filter(is_held).count();
        self.result.most = self.ends_of.iter().copied().max().unwrap_or_default();
        self.result.involved = self.involved.len();
        self.result
    }
}
