//! Decides which calls the own upstream gets, and when.

mod breaker;
mod config;
mod level;
mod limit;
mod pressure;
mod queue;
mod returns;
#[cfg(test)]
mod tests;
mod throttle;
mod window;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::channel::oneshot;
use monoio::time::timeout;
use sailtrack_declaration::Limit as DeclaredLimit;
use sailtrack_kernel::Service;
use sailtrack_log::{catalogue, emit};
use sailtrack_units::{Class, KindName, Rank};
use sailtrack_wire::Reason;

use level::Level;
use limit::Limit;
use queue::{Place, Queue, Verdict};
use returns::Returns;

pub use config::{Config, Policy, PolicyError};
pub use pressure::Pressure;
pub use throttle::{Feedback, Permit as ThrottlePermit, Rejection, Throttle};
pub use window::{Permit as WindowPermit, Windows};

/// The weight of the newest sample in the average of the upstream's own time.
const NEWEST_WEIGHT: f64 = 0.05;
/// The spread of returns when as many calls are refused as admitted, and the least.
const SPREAD_UNIT: Duration = Duration::from_secs(1);
/// The greatest spread of returns.
const LONGEST_SPREAD: Duration = Duration::from_secs(15);
/// The shortest time of a call that is reckoned with, in seconds.
const SHORTEST_OWN_TIME: f64 = 0.001;
/// How long after a call from further up an upstream counts as shared with those who call it: where
/// it is, dozens of them come in that time.
const SHARED_TIME: Duration = Duration::from_secs(1);
/// The most calls that may wait.
const MAX_QUEUE: usize = 1000;
/// The fewest calls that may wait.
const MIN_QUEUE: usize = 4;

/// Tells the time; a load model passes its own.
pub type Clock = fn() -> Instant;

/// Who may enter the own upstream.
pub struct Admission {
    config: Config,
    clock: Clock,
    state: RefCell<State>,
    in_flight: Cell<usize>,
}

struct State {
    limit: Limit,
    declared: DeclaredLimit,
    queue: Queue,
    level: Level,
    returns: Returns,
    self_time: Option<f64>,
    /// When a call came last that was made for a request further up.
    called: Option<Instant>,
    shedding: bool,
    logged_limit: usize,
}

impl Service for Admission {
    const NAME: &'static str = "admission";
}

impl Admission {
    /// Returns an admission that knows nothing of its upstream yet.
    #[must_use]
    pub fn new(config: Config, now: Instant) -> Self {
        Self::with_clock(config, Instant::now, now)
    }

    /// Returns the same under a clock that is not that of the machine.
    #[must_use]
    pub fn with_clock(config: Config, clock: Clock, now: Instant) -> Self {
        Self {
            config,
            clock,
            state: RefCell::new(State {
                limit: Limit::new(now, None),
                declared: DeclaredLimit::Auto,
                queue: Queue::default(),
                level: Level::new(now),
                returns: Returns::new(now),
                self_time: None,
                called: None,
                shedding: false,
                logged_limit: 0,
            }),
            in_flight: Cell::new(0),
        }
    }

    /// Starts anew for an upstream that has just announced itself.
    pub fn reset(&self, now: Instant, slots: Option<u32>) {
        let mut state = self.state.borrow_mut();
        state.limit = Limit::new(now, slots);
        state.limit.ramp_up(now, self.config.warm_up.0);
        state.self_time = None;
    }

    /// Puts the limit into force that operators declared.
    pub fn declare_limit(&self, limit: DeclaredLimit) {
        self.state.borrow_mut().declared = limit;
    }

    /// Returns how many calls may be in the upstream at once.
    pub fn limit(&self, now: Instant) -> usize {
        let state = self.state.borrow();
        match (self.config.policy, state.declared) {
            (Policy::Forward, _) => usize::MAX,
            (_, DeclaredLimit::Fixed(limit)) => limit as usize,
            (Policy::Fixed, DeclaredLimit::Auto) => self.config.fixed_limit as usize,
            (Policy::Adaptive, DeclaredLimit::Auto) => state.limit.allowed(now),
        }
    }

    /// Returns how many calls are in the upstream.
    pub fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    /// Returns true if the upstream is at most half full.
    pub fn is_lightly_loaded(&self, now: Instant) -> bool {
        self.in_flight() <= self.limit(now) / 2
    }

    /// Returns how many calls wait for admission.
    pub fn waiting(&self) -> usize {
        self.state.borrow().queue.len()
    }

    /// Returns how full the upstream is for calls of this class.
    ///
    /// Calls that matter less give way in the queue, so they do not count there.
    pub fn pressure(&self, now: Instant, class: impl Into<Class>) -> Pressure {
        let waiting = self.state.borrow().queue.len_from(class.into());
        Pressure::of(self.in_flight() + waiting, self.limit(now))
    }

    /// Returns how full the upstream is for requests that clients bring to it directly, as far as
    /// they have to leave room: nothing while nobody calls it from further up.
    pub fn shared_pressure(&self, now: Instant, class: impl Into<Class>) -> Pressure {
        let called = self.state.borrow().called;
        let is_shared = called.is_some_and(|called| now - called < SHARED_TIME);
        if is_shared {
            self.pressure(now, class)
        } else {
            Pressure::default()
        }
    }

    /// Returns the rank that is admitted at present.
    pub fn level(&self, now: Instant) -> Rank {
        if self.config.policy != Policy::Adaptive {
            return Rank::LOWEST;
        }
        self.state.borrow_mut().level.current(now)
    }

    /// Returns the time that the upstream itself takes for a call, on average.
    pub fn self_time(&self) -> Duration {
        let seconds = self.state.borrow().self_time.unwrap_or_default();
        Duration::from_secs_f64(seconds)
    }

    /// Returns over how much time the returns of refused callers are spread.
    ///
    /// It grows with the number of calls refused for each one admitted.
    pub fn retry_spread(&self, now: Instant) -> Duration {
        let share = self.state.borrow_mut().returns.refused_per_admitted(now);
        SPREAD_UNIT
            .mul_f64(share)
            .clamp(SPREAD_UNIT, LONGEST_SPREAD)
    }

    /// Waits for admission; `begun` says that the root request has run elsewhere already.
    pub async fn enter(
        self: &Rc<Self>,
        rank: Rank,
        begun: bool,
        time_left: Duration,
    ) -> Result<Permit, Reason> {
        let class = rank.importance().into();
        self.enter_in_class(class, rank, begun, time_left).await
    }

    /// Waits for admission in a class of its own, where workspaces decide before kinds.
    pub async fn enter_in_class(
        self: &Rc<Self>,
        class: Class,
        rank: Rank,
        begun: bool,
        time_left: Duration,
    ) -> Result<Permit, Reason> {
        match self.submit_in_class((class, rank), begun, time_left) {
            Decision::Admitted(permit) => Ok(permit),
            Decision::Refused(reason) => Err(reason),
            Decision::Waiting(mut waiting) => {
                let verdict = timeout(waiting.max_wait, &mut waiting.verdict).await;
                waiting.conclude(verdict.ok().and_then(Result::ok))
            }
        }
    }

    /// Decides about a call at once: it may run, has to wait, or is refused.
    pub fn submit(self: &Rc<Self>, rank: Rank, begun: bool, time_left: Duration) -> Decision {
        self.submit_in_class((rank.importance().into(), rank), begun, time_left)
    }

    fn submit_in_class(
        self: &Rc<Self>,
        place: (Class, Rank),
        begun: bool,
        time_left: Duration,
    ) -> Decision {
        let now = (self.clock)();
        let limit = self.limit(now);
        if begun {
            self.state.borrow_mut().called = Some(now);
        }
        if self.config.policy == Policy::Adaptive {
            self.state.borrow_mut().level.record_arrival(now, place.1);
        }
        if self.in_flight() < limit && self.waiting() == 0 {
            self.record_decision(true);
            return Decision::Admitted(self.permit());
        }
        self.record_saturation();
        let waiting = match self.config.policy {
            Policy::Adaptive => self.wait(place, begun, limit, time_left),
            Policy::Forward | Policy::Fixed => Err(Reason::Overload),
        };
        match waiting {
            Ok(waiting) => Decision::Waiting(waiting),
            Err(reason) => {
                self.record_decision(false);
                Decision::Refused(reason)
            }
        }
    }

    fn record_saturation(&self) {
        let mut state = self.state.borrow_mut();
        state.limit.record_saturation();
        state.level.record_saturation();
    }

    fn wait(
        self: &Rc<Self>,
        place: (Class, Rank),
        begun: bool,
        limit: usize,
        time_left: Duration,
    ) -> Result<Waiting, Reason> {
        let max_wait = self.max_wait(begun, time_left)?;
        let capacity = self.queue_capacity(limit, max_wait);
        let entered = self.state.borrow_mut().queue.push(place, begun, capacity);
        let Some((place, verdict)) = entered else {
            return Err(Reason::Overload);
        };
        Ok(Waiting {
            admission: Rc::clone(self),
            place,
            verdict,
            max_wait,
        })
    }

    /// Returns how long a call may wait and still be finished in its time.
    ///
    /// Refusing a call that belongs to a request in progress throws away what was
    /// done for it, so such a call waits longer.
    fn max_wait(&self, begun: bool, time_left: Duration) -> Result<Duration, Reason> {
        let spare = time_left.saturating_sub(self.self_time());
        if spare.is_zero() {
            return Err(Reason::Deadline);
        }
        let max_wait = if begun {
            self.config.nested_queue_time.0
        } else {
            self.config.queue_time.0
        };
        Ok((spare / 2).min(max_wait))
    }

    /// Returns how many calls can be served in the longest time that one waits.
    fn queue_capacity(&self, limit: usize, max_wait: Duration) -> usize {
        let self_time = self.self_time().as_secs_f64().max(SHORTEST_OWN_TIME);
        let turns = max_wait.as_secs_f64() / self_time;
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let turns = turns.ceil() as usize;
        limit.saturating_mul(turns).clamp(MIN_QUEUE, MAX_QUEUE)
    }

    fn permit(self: &Rc<Self>) -> Permit {
        self.in_flight.set(self.in_flight() + 1);
        self.take_reserved()
    }

    fn take_reserved(self: &Rc<Self>) -> Permit {
        Permit {
            admission: Rc::clone(self),
        }
    }

    fn record_decision(&self, admitted: bool) {
        let mut state = self.state.borrow_mut();
        let now = (self.clock)();
        state.returns.record(now, admitted);
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

    /// Notes a call that the upstream completed in `own_time` of its own.
    ///
    /// `light` says that it found the upstream at most half full.
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
        state.self_time = Some(average + (sample - average) * NEWEST_WEIGHT);
        state.log_changes(now);
    }

    /// Notes that the upstream shed a call.
    pub fn record_shed(&self, now: Instant) {
        let in_flight = self.in_flight();
        self.state.borrow_mut().limit.record_shed(now, in_flight);
    }

    /// Lets waiting calls in as far as the limit allows; each takes its place at once.
    fn admit_waiting(&self) {
        let limit = self.limit((self.clock)());
        while self.in_flight() < limit {
            if !self.state.borrow_mut().queue.admit_first() {
                return;
            }
            self.in_flight.set(self.in_flight() + 1);
        }
    }

    fn leave(&self) {
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

/// The right of one call to be in the upstream, given back when it is dropped.
pub struct Permit {
    admission: Rc<Admission>,
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.admission.leave();
    }
}

/// What is decided about a call when it asks for admission.
pub enum Decision {
    /// It may run.
    Admitted(Permit),
    /// It waits for a place.
    Waiting(Waiting),
    /// It is refused.
    Refused(Reason),
}

/// A waiting call, taken out of the queue if it stops waiting.
pub struct Waiting {
    admission: Rc<Admission>,
    place: Place,
    verdict: oneshot::Receiver<Verdict>,
    max_wait: Duration,
}

impl Waiting {
    /// Returns how long it waits at most.
    #[must_use]
    pub fn max_wait(&self) -> Duration {
        self.max_wait
    }

    /// Returns true once it is decided about.
    #[must_use]
    pub fn is_decided(&self) -> bool {
        self.admission.state.borrow().queue.is_out(self.place)
    }

    /// Ends the waiting with what was decided until now.
    ///
    /// # Errors
    ///
    /// Without a place in time it is refused for overload.
    pub fn end(mut self) -> Result<Permit, Reason> {
        let verdict = self.verdict.try_recv().ok().flatten();
        self.conclude(verdict)
    }

    fn conclude(&self, verdict: Option<Verdict>) -> Result<Permit, Reason> {
        let is_admitted = verdict == Some(Verdict::Admitted);
        self.admission.record_decision(is_admitted);
        if is_admitted {
            Ok(self.admission.take_reserved())
        } else {
            Err(Reason::Overload)
        }
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.admission.state.borrow_mut().queue.remove(self.place);
        if let Ok(Some(Verdict::Admitted)) = self.verdict.try_recv() {
            self.admission.leave();
        }
    }
}
