//! The concurrency limit of the own upstream, found from how it behaves.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use sailtrack_units::KindName;

/// The limit never falls below this many calls.
const FLOOR: f64 = 2.0;
/// The limit of an upstream that has not said how many slots it has.
const UNKNOWN_SLOTS: f64 = 20.0;
/// A window is closed after this time if it has enough samples.
const WINDOW: Duration = Duration::from_millis(250);
/// The fewest completed calls from which a window is judged.
const MIN_SAMPLES: u32 = 100;
/// A window with fewer samples is judged after this time at the latest.
const LONG_WINDOW: Duration = Duration::from_secs(2);
/// Beyond the announced slots the limit grows while calls are at most this much slower.
const GROW_BELOW: f64 = 1.02;
/// Up to the announced slots the limit grows while calls are at most this much slower.
const RETURN_BELOW: f64 = 1.5;
/// Beyond the announced slots, calls this much slower suggest queueing in the upstream.
const TRIAL_ABOVE: f64 = 1.2;
/// Up to the announced slots it takes this much to doubt what the upstream announced.
const DOUBT_ABOVE: f64 = 2.5;
/// Calls this much faster than their baseline show that it was learned while they were slow.
const RELEARN_BELOW: f64 = 0.7;
/// The limit of a trial, as a share of the limit before it.
const TRIAL_SHARE: f64 = 0.85;
/// A trial succeeds if it keeps this share of the throughput.
const KEPT_THROUGHPUT: f64 = 0.93;
/// The growth of a limit that is reached, as a share of it.
const GROWTH: f64 = 0.05;
/// The limit after the upstream shed a call, as a share of the calls in flight.
const SHED_SHARE: f64 = 0.95;
/// How long the limit does not grow after the upstream shed a call.
const SHED_PAUSE: Duration = Duration::from_secs(2);
/// How long no further trial is made after one that failed.
const TRIAL_PAUSE: Duration = Duration::from_secs(5);
/// The shortest time that a call is reckoned with, in seconds.
const SHORTEST_TIME: f64 = 0.000_1;
/// The calls of a kind from which its first baseline is made.
const FIRST_SAMPLES: u32 = 100;
/// The weight of one call that found the upstream at most half full in the baseline.
const LIGHT_WEIGHT: f64 = 0.01;

/// The time that calls of one kind take under light load.
#[derive(Debug, Default)]
struct Baseline {
    mean: f64,
    samples: u32,
}

impl Baseline {
    /// Takes in the time of a call; the first ones count whatever the load.
    fn follow(&mut self, self_time: f64, lightly_loaded: bool) {
        self.samples = self.samples.saturating_add(1);
        let first = self.samples <= FIRST_SAMPLES;
        if first || lightly_loaded {
            let weight = (1.0 / f64::from(self.samples)).max(LIGHT_WEIGHT);
            self.mean += (self_time - self.mean) * weight;
        }
    }
}

/// What completed in one stretch of time.
#[derive(Debug)]
struct Window {
    started: Instant,
    completed: u32,
    /// The sum of how many times slower than its baseline each call was.
    slowness: f64,
    reached: bool,
}

impl Window {
    fn open(now: Instant) -> Self {
        Self {
            started: now,
            completed: 0,
            slowness: 0.0,
            reached: false,
        }
    }

    fn is_over(&self, now: Instant) -> bool {
        let age = now.saturating_duration_since(self.started);
        let enough = self.completed >= MIN_SAMPLES && age >= WINDOW;
        enough || (self.completed > 0 && age >= LONG_WINDOW)
    }

    fn slowness(&self) -> f64 {
        self.slowness / f64::from(self.completed.max(1))
    }

    fn throughput(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.started);
        f64::from(self.completed) / age.as_secs_f64().max(0.001)
    }
}

/// A lowered limit whose effect on the throughput is being watched.
#[derive(Debug)]
struct Trial {
    limit: f64,
    throughput: f64,
    slowness: f64,
}

/// The slow start of an upstream that has just begun to serve.
#[derive(Debug)]
struct Ramp {
    started: Instant,
    length: Duration,
}

/// The share of the limit that a starting upstream is given at once.
const RAMP_START: f64 = 0.2;

/// The concurrency limit of one upstream.
///
/// The baseline of each kind is the time of calls that found the upstream at
/// most half full; a change of the mix of kinds does not look like slowness. The limit grows while it is reached and calls stay near the baseline.
/// When they become slower it is lowered on trial: if the throughput stays, the
/// upstream was queueing; if it falls, the upstream itself has become slower,
/// and the limit goes back up with a new baseline.
#[derive(Debug)]
pub(crate) struct Limit {
    current: f64,
    /// The slots that the upstream says it has; a hint, as it may be wrong.
    announced: Option<f64>,
    baselines: HashMap<KindName, Baseline>,
    trial: Option<Trial>,
    window: Window,
    no_growth_until: Instant,
    no_trial_until: Instant,
    ramp: Option<Ramp>,
}

impl Limit {
    /// Returns the limit of an upstream that says it has this many slots.
    pub(crate) fn new(now: Instant, slots: Option<u32>) -> Self {
        Self {
            current: slots.map_or(UNKNOWN_SLOTS, f64::from).max(FLOOR),
            announced: slots.map(f64::from),
            baselines: HashMap::new(),
            trial: None,
            window: Window::open(now),
            no_growth_until: now,
            no_trial_until: now,
            ramp: None,
        }
    }

    /// Begins a slow start of this length.
    pub(crate) fn ramp_up(&mut self, now: Instant, length: Duration) {
        self.ramp = Some(Ramp {
            started: now,
            length,
        });
    }

    /// Returns how many calls may be in flight.
    pub(crate) fn allowed(&self, now: Instant) -> usize {
        let allowed = self.current * self.ramp_share(now);
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let whole = allowed.max(FLOOR).round() as usize;
        whole
    }

    /// Notes that the limit kept a call waiting.
    pub(crate) fn record_saturation(&mut self) {
        self.window.reached = true;
    }

    /// Notes a completed call and the time that the upstream itself took for it.
    ///
    /// `light` says that it found the upstream at most half full.
    pub(crate) fn record_completion(
        &mut self,
        now: Instant,
        kind: &KindName,
        self_time: Duration,
        lightly_loaded: bool,
    ) {
        self.window.completed += 1;
        self.window.slowness += self.slowness(kind, self_time.as_secs_f64(), lightly_loaded);
        if self.window.is_over(now) {
            let window = std::mem::replace(&mut self.window, Window::open(now));
            self.judge(now, &window);
        }
    }

    /// Notes that the upstream shed a call while `in_flight` calls were in it.
    pub(crate) fn record_shed(&mut self, now: Instant, in_flight: usize) {
        #[allow(clippy::cast_precision_loss)]
        let in_flight = in_flight as f64;
        self.current = self.current.min(in_flight * SHED_SHARE).max(FLOOR);
        self.no_growth_until = now + SHED_PAUSE;
        self.trial = None;
    }

    fn ramp_share(&self, now: Instant) -> f64 {
        let Some(ramp) = &self.ramp else {
            return 1.0;
        };
        let age = now.saturating_duration_since(ramp.started).as_secs_f64();
        let share = age / ramp.length.as_secs_f64().max(0.001);
        (RAMP_START + (1.0 - RAMP_START) * share).min(1.0)
    }

    /// Returns how many times slower than its baseline a call was; a call under light load
    /// also moves the baseline.
    fn slowness(&mut self, kind: &KindName, self_time: f64, lightly_loaded: bool) -> f64 {
        let self_time = self_time.max(SHORTEST_TIME);
        let baseline = self.baselines.entry(kind.clone()).or_default();
        baseline.follow(self_time, lightly_loaded);
        self_time / baseline.mean
    }

    fn judge(&mut self, now: Instant, window: &Window) {
        if let Some(trial) = self.trial.take() {
            self.conclude(now, window, &trial);
            return;
        }
        let slowness = window.slowness();
        if slowness < RELEARN_BELOW {
            self.scale_baselines(slowness);
            return;
        }
        if !window.reached || self.ramp_share(now) < 1.0 {
            return;
        }
        if slowness <= self.grow_below() {
            self.grow(now);
        } else if slowness > self.trial_above() && now >= self.no_trial_until {
            self.begin_trial(window.throughput(now), slowness);
        }
    }

    fn grow_below(&self) -> f64 {
        match self.announced {
            Some(announced) if self.current < announced => RETURN_BELOW,
            _ => GROW_BELOW,
        }
    }

    fn trial_above(&self) -> f64 {
        match self.announced {
            Some(announced) if self.current <= announced => DOUBT_ABOVE,
            _ => TRIAL_ABOVE,
        }
    }

    fn grow(&mut self, now: Instant) {
        if now >= self.no_growth_until {
            self.current += (self.current * GROWTH).max(0.5);
        }
    }

    fn begin_trial(&mut self, throughput: f64, slowness: f64) {
        self.trial = Some(Trial {
            limit: self.current,
            throughput,
            slowness,
        });
        let lowered = (self.current * TRIAL_SHARE).max(FLOOR);
        self.current = match self.announced {
            Some(announced) if self.current > announced => lowered.max(announced),
            _ => lowered,
        };
    }

    fn conclude(&mut self, now: Instant, window: &Window, trial: &Trial) {
        let kept = window.throughput(now) >= trial.throughput * KEPT_THROUGHPUT;
        if kept || !window.reached {
            return;
        }
        self.current = trial.limit;
        self.scale_baselines(trial.slowness);
        self.no_trial_until = now + TRIAL_PAUSE;
    }

    fn scale_baselines(&mut self, factor: f64) {
        for baseline in self.baselines.values_mut() {
            baseline.mean *= factor;
        }
    }
}
