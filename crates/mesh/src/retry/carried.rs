//! A service turns away four of ten calls for some seconds, and requests make eight calls to it.
//!
//! Several nodes beside its callers share the repeats by what each sees, and several nodes that
//! begin requests follow what those tell.

use std::rc::Rc;
use std::time::{Duration, Instant};

use sailtrack_admission::Floors;
use sailtrack_units::{KindName, Moment, Rank};

use crate::clock;
use crate::retry::Budget;
use crate::retry::tests::{BOUNDS, tell, work};
use crate::work::Work;

/// The nodes that begin requests, and those that call the service for them.
const BEGINNERS: usize = 4;
const CALLERS: usize = 3;
/// The calls of a request, half of them from one node, and the time of each.
const CALLS: u32 = 8;
const CALL_TIME: Duration = Duration::from_millis(50);
const STEP: Duration = Duration::from_millis(5);
/// How often a call that is turned away is sent in all.
const MOST_TRIES: u32 = 9;
/// When the service turns calls away, in milliseconds.
const TROUBLE: (u32, u32) = (12_000, 20_000);
const LENGTH: u32 = 26_000;
/// Each load is played with all of these.
const SEEDS: [u64; 12] = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12];

/// One kind of requests: how many come in a second, and the lowest of their 64 ranks.
struct Kind {
    name: &'static str,
    rate: u32,
    least: u8,
}

const SUBMIT: usize = 0;
const KINDS: [Kind; 2] = [
    Kind {
        name: "submit",
        rate: 30,
        least: 192,
    },
    Kind {
        name: "browse",
        rate: 110,
        least: 64,
    },
];

/// What callers got.
#[derive(Debug, Default, Clone, Copy)]
struct Got {
    whole: u32,
    refused: u32,
    failed: u32,
}

impl Got {
    fn failed_share(self) -> f64 {
        f64::from(self.failed) / f64::from((self.whole + self.refused + self.failed).max(1))
    }

    fn failed_of_begun(self) -> f64 {
        f64::from(self.failed) / f64::from((self.whole + self.failed).max(1))
    }
}

struct Request {
    kind: usize,
    beginner: usize,
    callers: [usize; 2],
    call: Work,
    due: u32,
    began: u32,
}

struct Play {
    budgets: Vec<Budget>,
    beginners: Vec<Rc<Floors>>,
    kinds: Vec<KindName>,
    follows: bool,
    state: u64,
    start: (Moment, Instant),
    /// What the requests got that began while calls were turned away, and later than a second
    /// after that.
    during: [Got; 2],
    after: [Got; 2],
}

impl Play {
    fn new(seed: u64, follows: bool) -> Self {
        let now = clock::now();
        let budgets: Vec<Budget> = (0..CALLERS).map(|_| Budget::new(BOUNDS)).collect();
        for budget in &budgets {
            tell(budget, now);
        }
        let name = |kind: &Kind| kind.name.parse().expect("a name");
        Self {
            budgets,
            beginners: (0..BEGINNERS).map(|_| Floors::new()).collect(),
            kinds: KINDS.iter().map(name).collect(),
            follows,
            state: 0x2545_f491_4f6c_dd1d ^ (seed << 7),
            start: (now, Instant::now()),
            during: Default::default(),
            after: Default::default(),
        }
    }

    fn draw(&mut self, below: u32) -> u32 {
        self.state ^= self.state << 13;
        self.state ^= self.state >> 7;
        self.state ^= self.state << 17;
        u32::try_from(self.state % u64::from(below)).expect("it is below")
    }

    fn draw_place(&mut self, below: usize) -> usize {
        self.draw(u32::try_from(below).expect("few")) as usize
    }

    fn run(&mut self, trouble: (u32, u32)) {
        let mut requests: Vec<Request> = Vec::new();
        let step = u32::try_from(STEP.as_millis()).expect("short");
        for at in (0..LENGTH).step_by(step as usize) {
            for (kind, described) in KINDS.iter().enumerate() {
                if self.draw(1000) < described.rate * step {
                    requests.extend(self.begin(kind, at));
                }
            }
            let (due, later): (Vec<_>, Vec<_>) =
                requests.into_iter().partition(|request| request.due <= at);
            requests = later;
            for request in due {
                requests.extend(self.call(request, at, trouble));
            }
        }
    }

    fn begin(&mut self, kind: usize, at: u32) -> Option<Request> {
        let offset = u8::try_from(self.draw(64)).expect("it fits");
        let rank = Rank::from_index(KINDS[kind].least + offset);
        let beginner = self.draw_place(BEGINNERS);
        let now = self.start.1 + Duration::from_millis(at.into());
        let floors = &self.beginners[beginner];
        if self.follows && !floors.lets_in(&self.kinds[kind], rank, now) {
            self.note(kind, at, |got| got.refused += 1);
            return None;
        }
        Some(Request {
            kind,
            beginner,
            callers: [self.draw_place(CALLERS), self.draw_place(CALLERS)],
            call: Work {
                begun: true,
                ..work(rank, false)
            },
            due: at,
            began: at,
        })
    }

    /// Makes the next call of a request; returns the request if it goes on.
    fn call(&mut self, mut request: Request, at: u32, trouble: (u32, u32)) -> Option<Request> {
        let now = self.start.0 + Duration::from_millis(at.into());
        let is_turning_away = (trouble.0..trouble.1).contains(&at);
        let second = usize::from(request.call.progress >= CALLS / 2);
        let caller = request.callers[second];
        self.budgets[caller].note_request(&request.call, now);
        let mut is_in = false;
        for number in 0..MOST_TRIES {
            if number > 0 && !self.budgets[caller].take(&request.call, now, CALLERS) {
                break;
            }
            is_in = !is_turning_away || self.draw(100) >= 40;
            if is_in {
                break;
            }
        }
        let floor = self.budgets[caller].floor(&request.call, now);
        let told = self.start.1 + Duration::from_millis(at.into());
        let kind = &self.kinds[request.kind];
        let floors = &self.beginners[request.beginner];
        floors.note(kind, request.call.rank, floor, told);
        let (kind, began) = (request.kind, request.began);
        if !is_in {
            self.note(kind, began, |got| got.failed += 1);
            return None;
        }
        request.call.progress += 1;
        request.due = at + u32::try_from(CALL_TIME.as_millis()).expect("short");
        if request.call.progress < CALLS {
            return Some(request);
        }
        self.note(kind, began, |got| got.whole += 1);
        None
    }

    fn note(&mut self, kind: usize, began: u32, change: impl FnOnce(&mut Got)) {
        if (TROUBLE.0..TROUBLE.1).contains(&began) {
            change(&mut self.during[kind]);
        } else if began >= TROUBLE.1 + 1000 {
            change(&mut self.after[kind]);
        }
    }
}

fn sum(all: impl Iterator<Item = Got>) -> Got {
    all.fold(Got::default(), |sum, got| Got {
        whole: sum.whole + got.whole,
        refused: sum.refused + got.refused,
        failed: sum.failed + got.failed,
    })
}

fn play(seed: u64, follows: bool, trouble: (u32, u32)) -> Play {
    let mut play = Play::new(seed, follows);
    play.run(trouble);
    for (kind, got) in KINDS.iter().zip(play.during) {
        println!("seed {seed}, follows {follows}, {}: {got:?}", kind.name);
    }
    play
}

/// What is begun can be finished, the most important requests first.
#[test]
fn begun_are_finished() {
    let plays = SEEDS.map(|seed| play(seed, true, TROUBLE).during);
    let submit = sum(plays.iter().map(|during| during[SUBMIT]));
    let all = sum(plays.into_iter().flatten());
    println!("submit {submit:?}, all {all:?}");
    assert!(submit.failed_of_begun() < 0.01, "{submit:?}");
    assert!(submit.whole > submit.refused * 4, "{submit:?}");
    assert!(all.failed_share() < 0.05, "{all:?}");
}

/// A second after the service takes all calls again, nothing is refused.
#[test]
fn opens_again() {
    for seed in SEEDS {
        let play = play(seed, true, TROUBLE);
        for (kind, got) in KINDS.iter().zip(play.after) {
            assert_eq!(got.refused, 0, "seed {seed}, {}: {got:?}", kind.name);
            assert!(
                got.failed_share() < 0.001,
                "seed {seed}, {}: {got:?}",
                kind.name
            );
        }
    }
}

/// A burst for which the repeats are enough holds nobody back.
#[test]
fn short_burst_passes() {
    for seed in SEEDS {
        let play = play(seed, true, (TROUBLE.0, TROUBLE.0 + 100));
        for (kind, got) in KINDS.iter().zip(play.during) {
            assert_eq!(got.refused, 0, "seed {seed}, {}: {got:?}", kind.name);
        }
    }
}
