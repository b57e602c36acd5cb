//! Admission control for the upstream of this node: an adaptive concurrency limit, a rate limit, a
//! priority queue in front of them, and load shedding by rank.

mod breaker;
mod config;
mod decision;
mod entrance;
mod level;
mod limit;
mod pacing;
mod pressure;
mod queue;
mod rate;
mod refusal;
#[cfg(test)]
mod tests;
mod throttle;
mod window;

use std::cell::{Cell, RefCell};
use std::time::{Duration, Instant};

use sailtrack_declaration::Limit as DeclaredLimit;
use sailtrack_kernel::Service;
use sailtrack_log::{catalogue, emit};
use sailtrack_units::{Class, KindName, Rank};

use level::Level;
use limit::Limit;
use queue::Queue;
use rate::{Limiter, Recent};
use refusal::Ratio;

pub use config::{Config, Policy, PolicyError};
pub use decision::{Decision, Permit, Waiting};
pub use pressure::Pressure;
pub use throttle::{Feedback, Permit as ThrottlePermit, Rejection, Throttle};
pub use window::{Permit as WindowPermit, Windows};

/// The weight of the newest sample in the moving average of the self time.
const SELF_TIME_WEIGHT: f64 = 0.05;
/// The retry spread when as many calls are refused as admitted; also its minimum.
const BASE_SPREAD: Duration = Duration::from_secs(1);
/// The maximum retry spread.
const MAX_SPREAD: Duration = Duration::from_secs(15);
/// How long after a nested call the upstream counts as shared with its callers: a shared upstream
/// gets dozens of nested calls in this time.
const SHARED_WINDOW: Duration = Duration::from_secs(1);

/// The time source; simulations pass their own.
pub type Clock = fn() -> Instant;

/// Admits calls to the upstream of this node, queues them or refuses them.
pub struct Admission {
    config: Config,
    clock: Clock,
    state: RefCell<State>,
    in_flight: Cell<usize>,
    /// Whether a task admits waiting calls at the rate of the limit.
    is_pacing: Cell<bool>,
}

struct State {
    limit: Limit,
    declared: DeclaredLimit,
    /// The rate limit, if there is one.
    limiter: Option<Limiter>,
    /// The calls admitted in the last second.
    recent: Recent,
    queue: Queue,
    level: Level,
    refusal_ratio: Ratio,
    self_time: Option<f64>,
    /// When the last nested call arrived.
    last_nested: Option<Instant>,
    shedding: bool,
    logged_limit: usize,
}

impl Service for Admission {
    const NAME: &'static str = "admission";
}

impl Admission {
    /// Returns an admission controller for an upstream of which nothing is known yet.
    #[must_use]
    pub fn new(config: Config, now: Instant) -> Self {
        Self::with_clock(config, Instant::now, now)
    }

    /// Like [`Admission::new`], with another time source than the system clock.
    #[must_use]
    pub fn with_clock(config: Config, clock: Clock, now: Instant) -> Self {
        Self {
            config,
            clock,
            state: RefCell::new(State {
                limit: Limit::new(now, None),
                declared: DeclaredLimit::Auto,
                limiter: None,
                recent: Recent::new(now),
                queue: Queue::default(),
                level: Level::new(now),
                refusal_ratio: Ratio::new(now),
                self_time: None,
                last_nested: None,
                shedding: false,
                logged_limit: 0,
            }),
            in_flight: Cell::new(0),
            is_pacing: Cell::new(false),
        }
    }

    /// Resets the limits and the self time for an upstream that has just announced itself.
    pub fn reset(&self, now: Instant, slots: Option<u32>) {
        let mut state = self.state.borrow_mut();
        state.limiter = None;
        state.recent = Recent::new(now);
        state.limit = Limit::new(now, slots);
        state.limit.ramp_up(now, self.config.warm_up.0);
        state.self_time = None;
    }

    /// Applies the limit that operators declared.
    pub fn declare_limit(&self, limit: DeclaredLimit) {
        self.state.borrow_mut().declared = limit;
    }

    /// Returns the concurrency limit: how many calls may be in flight in the upstream.
    pub fn limit(&self, now: Instant) -> usize {
        let state = self.state.borrow();
        match (self.config.policy, state.declared) {
            (Policy::Forward, _) => usize::MAX,
            (_, DeclaredLimit::Fixed(limit)) => limit as usize,
            (Policy::Fixed, DeclaredLimit::Auto) => self.config.fixed_limit as usize,
            (Policy::Adaptive, DeclaredLimit::Auto) => state.limit.allowed(now),
        }
    }

    /// Returns how many calls are in flight in the upstream.
    pub fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    /// Returns true if at most half of the limit is in use.
    pub fn is_lightly_loaded(&self, now: Instant) -> bool {
        self.in_flight() <= self.limit(now) / 2
    }

    /// Returns how many calls wait for admission.
    pub fn waiting(&self) -> usize {
        self.state.borrow().queue.len()
    }

    /// Returns the pressure on the upstream as calls of this class see it.
    ///
    /// Queued calls of lower classes are left out, as they are displaced when the queue is full.
    pub fn pressure(&self, now: Instant, class: impl Into<Class>) -> Pressure {
        let waiting = self.state.borrow().queue.len_at_least(class.into());
        Pressure::of(self.in_flight() + waiting, self.limit(now))
    }

    /// Returns the pressure that throttles requests which clients send to this upstream directly.
    ///
    /// It is zero unless other services call this upstream too: only then do direct requests have
    /// to leave room.
    pub fn shared_pressure(&self, now: Instant, class: impl Into<Class>) -> Pressure {
        let last_nested = self.state.borrow().last_nested;
        let is_shared = last_nested.is_some_and(|last_nested| now - last_nested < SHARED_WINDOW);
        if is_shared {
            self.pressure(now, class)
        } else {
            Pressure::default()
        }
    }

    /// Returns the lowest rank that is currently admitted.
    pub fn level(&self, now: Instant) -> Rank {
        if self.config.policy != Policy::Adaptive {
            return Rank::LOWEST;
        }
        self.state.borrow_mut().level.current(now)
    }

    /// Returns the average time that a call takes in the upstream, without its nested calls.
    pub fn self_time(&self) -> Duration {
        let seconds = self.state.borrow().self_time.unwrap_or_default();
        Duration::from_secs_f64(seconds)
    }

    /// Returns the period over which the retries of refused callers are to be spread.
    ///
    /// It grows with the number of calls refused for each admitted one.
    pub fn retry_spread(&self, now: Instant) -> Duration {
        let ratio = self
            .state
            .borrow_mut()
            .refusal_ratio
            .refused_per_admitted(now);
        BASE_SPREAD.mul_f64(ratio).clamp(BASE_SPREAD, MAX_SPREAD)
    }

    /// Returns how many calls the rate limit admits within a time.
    fn admissible_within(&self, time: Duration) -> usize {
        let now = (self.clock)();
        let mut state = self.state.borrow_mut();
        let limiter = state.limiter.as_mut();
        limiter.map_or(usize::MAX, |limiter| limiter.calls_within(time, now))
    }

    fn has_token(&self, now: Instant) -> bool {
        let mut state = self.state.borrow_mut();
        let limiter = state.limiter.as_mut();
        limiter.is_none_or(|limiter| limiter.has_token(now))
    }

    fn count_admitted(&self, now: Instant) {
        self.in_flight.set(self.in_flight() + 1);
        let mut state = self.state.borrow_mut();
        state.recent.record(now);
        if let Some(limiter) = &mut state.limiter {
            limiter.take();
        }
    }

    fn record_decision(&self, admitted: bool) {
        let mut state = self.state.borrow_mut();
        let now = (self.clock)();
        state.refusal_ratio.record(now, admitted);
        if admitted {
            return;
        }
        state.level.record_refusal();
        if !state.shedding {
            state.shedding = true;
            let level = state.level.current(now);
            emit(&catalogue::SHEDDING_STARTED, &[("level", &level)]);
        }
    }

    /// Records a call that completed with this self time.
    ///
    /// `lightly_loaded` says that at most half of the limit was in use when it arrived.
    pub fn record_completion(
        &self,
        now: Instant,
        kind: &KindName,
        self_time: Duration,
        lightly_loaded: bool,
    ) {
        let mut state = self.state.borrow_mut();
        state
            .limit
            .record_completion(now, kind, self_time, lightly_loaded);
        let sample = self_time.as_secs_f64();
        let average = state.self_time.unwrap_or(sample);
        state.self_time = Some(average + (sample - average) * SELF_TIME_WEIGHT);
        state.log_changes(now);
    }

    /// Records that the upstream itself shed a call.
    pub fn record_shed(&self, now: Instant) {
        let in_flight = self.in_flight();
        self.state.borrow_mut().limit.record_shed(now, in_flight);
    }

    /// Admits waiting calls up to the limits; each counts as in flight from here on, before its task
    /// wakes up.
    fn admit_waiting(&self) {
        let now = (self.clock)();
        let limit = self.limit(now);
        while self.in_flight() < limit && self.waiting() > 0 && self.has_token(now) {
            if !self.state.borrow_mut().queue.admit_next() {
                return;
            }
            self.count_admitted(now);
        }
    }

    fn release(&self) {
        self.in_flight.set(self.in_flight() - 1);
        self.admit_waiting();
    }
}

impl State {
    fn log_changes(&mut self, now: Instant) {
        let limit = self.limit.allowed(now);
        if limit.abs_diff(self.logged_limit) * 4 > self.logged_limit {
            self.logged_limit = limit;
            let reason = "adapted";
            emit(
                &catalogue::LIMIT_CHANGED,
                &[("limit", &limit), ("reason", &reason)],
            );
        }
        if self.shedding && self.level.current(now) == Rank::LOWEST && self.queue.len() == 0 {
            self.shedding = false;
            emit(&catalogue::SHEDDING_ENDED, &[]);
        }
    }
}
