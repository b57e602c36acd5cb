//! The adaptive concurrency limit of the upstream, found from latency and throughput.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use sailtrack_units::KindName;

/// The minimum limit, in calls.
const MIN_LIMIT: f64 = 2.0;
/// The initial limit of an upstream that has not announced how many slots it has.
const DEFAULT_SLOTS: f64 = 20.0;
/// The minimum length of a window; it ends then if it has enough samples.
const MIN_WINDOW: Duration = Duration::from_millis(250);
/// The completed calls that are enough to evaluate a window.
const MIN_SAMPLES: u32 = 100;
/// A window with fewer samples is evaluated after this time.
const MAX_WINDOW: Duration = Duration::from_secs(2);
/// Beyond the announced slots, the limit grows while calls take at most this multiple of their
/// baseline.
const GROW_BELOW: f64 = 1.02;
/// Up to the announced slots, the limit grows while calls take at most this multiple of their
/// baseline.
const REGROW_BELOW: f64 = 1.5;
/// Beyond the announced slots, calls that take more than this multiple of their baseline suggest
/// queueing in the upstream, which a trial then verifies.
const TRIAL_ABOVE: f64 = 1.2;
/// The same up to the announced slots: there a trial also questions the announcement, so it takes
/// stronger evidence.
const DISTRUST_ABOVE: f64 = 2.5;
/// Calls that take less than this share of their baseline show that it was learned while they were
/// slow.
const RELEARN_BELOW: f64 = 0.7;
/// The limit of a trial, as a share of the limit before it.
const TRIAL_LIMIT_SHARE: f64 = 0.85;
/// A trial succeeds if at least this share of the throughput remains.
const KEPT_THROUGHPUT: f64 = 0.93;
/// The growth of a saturated limit per window, as a share of it.
const GROWTH: f64 = 0.05;
/// The limit after the upstream shed a call, as a share of the calls in flight.
const SHED_SHARE: f64 = 0.95;
/// How long the limit does not grow after the upstream shed a call.
const SHED_BACKOFF: Duration = Duration::from_secs(2);
/// How long no further trial is made after one that failed.
const TRIAL_BACKOFF: Duration = Duration::from_secs(5);
/// The minimum self time that is counted for a call, in seconds.
const MIN_SAMPLE_S: f64 = 0.000_1;
/// The number of calls of a kind that form its initial baseline.
const FIRST_SAMPLES: u32 = 100;
/// The weight of one call under light load in the moving average of the baseline.
const BASELINE_WEIGHT: f64 = 0.01;

/// The average self time of the calls of one kind under light load.
#[derive(Debug, Default)]
struct Baseline {
    mean: f64,
    samples: u32,
}

impl Baseline {
    /// Updates the average with a call; the first calls count whatever the load.
    fn update(&mut self, self_time: f64, lightly_loaded: bool) {
        self.samples = self.samples.saturating_add(1);
        let first = self.samples <= FIRST_SAMPLES;
        if first || lightly_loaded {
            let weight = (1.0 / f64::from(self.samples)).max(BASELINE_WEIGHT);
            self.mean += (self_time - self.mean) * weight;
        }
    }
}

/// The calls that completed in one measurement window.
#[derive(Debug)]
struct Window {
    started: Instant,
    completed: u32,
    /// The sum of the slowness of each call: its self time divided by its baseline.
    slowness_sum: f64,
    saturated: bool,
}

impl Window {
    fn open(now: Instant) -> Self {
        Self {
            started: now,
            completed: 0,
            slowness_sum: 0.0,
            saturated: false,
        }
    }

    fn is_complete(&self, now: Instant) -> bool {
        let age = now.saturating_duration_since(self.started);
        let enough = self.completed >= MIN_SAMPLES && age >= MIN_WINDOW;
        enough || (self.completed > 0 && age >= MAX_WINDOW)
    }

    fn slowness(&self) -> f64 {
        self.slowness_sum / f64::from(self.completed.max(1))
    }

    fn throughput(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.started);
        f64::from(self.completed) / age.as_secs_f64().max(0.001)
    }
}

/// A temporarily lowered limit whose effect on the throughput is measured; the fields are the values
/// before it was lowered.
#[derive(Debug)]
struct Trial {
    limit: f64,
    throughput: f64,
    slowness: f64,
}

/// The slow start of an upstream that has just come up.
#[derive(Debug)]
struct Ramp {
    started: Instant,
    length: Duration,
}

/// The share of the limit at the beginning of a slow start.
const RAMP_START_SHARE: f64 = 0.2;

/// The concurrency limit of one upstream.
///
/// Each kind has a baseline, its self time under light load, so a change in the mix of kinds is not
/// mistaken for slowness. The limit grows while it is saturated and calls stay near their baselines.
/// When they become slower, the limit is lowered on trial. If the throughput stays the same, the
/// upstream was queueing and the limit stays lowered. If it falls, the upstream itself has become
/// slower: the limit is restored and the baselines are raised.
#[derive(Debug)]
pub(crate) struct Limit {
    current: f64,
    /// The slots that the upstream announced; only a hint, as the number may be wrong.
    announced_slots: Option<f64>,
    baselines: HashMap<KindName, Baseline>,
    trial: Option<Trial>,
    window: Window,
    no_growth_until: Instant,
    no_trial_until: Instant,
    ramp: Option<Ramp>,
}

impl Limit {
    /// Returns the initial limit of an upstream that announced this many slots, if any.
    pub(crate) fn new(now: Instant, slots: Option<u32>) -> Self {
        Self {
            current: slots.map_or(DEFAULT_SLOTS, f64::from).max(MIN_LIMIT),
            announced_slots: slots.map(f64::from),
            baselines: HashMap::new(),
            trial: None,
            window: Window::open(now),
            no_growth_until: now,
            no_trial_until: now,
            ramp: None,
        }
    }

    /// Starts a slow start of this length.
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
        let whole = allowed.max(MIN_LIMIT).round() as usize;
        whole
    }

    /// Records that a call found the limit reached.
    pub(crate) fn record_saturation(&mut self) {
        self.window.saturated = true;
    }

    /// Records a completed call with its self time.
    ///
    /// `lightly_loaded` says that at most half of the limit was in use when it arrived.
    pub(crate) fn record_completion(
        &mut self,
        now: Instant,
        kind: &KindName,
        self_time: Duration,
        lightly_loaded: bool,
    ) {
        self.window.completed += 1;
        self.window.slowness_sum += self.slowness(kind, self_time.as_secs_f64(), lightly_loaded);
        if self.window.is_complete(now) {
            let window = std::mem::replace(&mut self.window, Window::open(now));
            self.evaluate(now, &window);
        }
    }

    /// Records that the upstream shed a call while `in_flight` calls were in it.
    pub(crate) fn record_shed(&mut self, now: Instant, in_flight: usize) {
        #[allow(clippy::cast_precision_loss)]
        let in_flight = in_flight as f64;
        self.current = self.current.min(in_flight * SHED_SHARE).max(MIN_LIMIT);
        self.no_growth_until = now + SHED_BACKOFF;
        self.trial = None;
    }

    fn ramp_share(&self, now: Instant) -> f64 {
        let Some(ramp) = &self.ramp else {
            return 1.0;
        };
        let age = now.saturating_duration_since(ramp.started).as_secs_f64();
        let share = age / ramp.length.as_secs_f64().max(0.001);
        (RAMP_START_SHARE + (1.0 - RAMP_START_SHARE) * share).min(1.0)
    }

    /// Returns the self time of a call divided by its baseline; a call under light load also updates
    /// the baseline.
    fn slowness(&mut self, kind: &KindName, self_time: f64, lightly_loaded: bool) -> f64 {
        let self_time = self_time.max(MIN_SAMPLE_S);
        let baseline = self.baselines.entry(kind.clone()).or_default();
        baseline.update(self_time, lightly_loaded);
        self_time / baseline.mean
    }

    fn evaluate(&mut self, now: Instant, window: &Window) {
        if let Some(trial) = self.trial.take() {
            self.conclude(now, window, &trial);
            return;
        }
        let slowness = window.slowness();
        if slowness < RELEARN_BELOW {
            self.scale_baselines(slowness);
            return;
        }
        if !window.saturated || self.ramp_share(now) < 1.0 {
            return;
        }
        if slowness <= self.grow_below() {
            self.grow(now);
        } else if slowness > self.trial_above() && now >= self.no_trial_until {
            self.begin_trial(window.throughput(now), slowness);
        }
    }

    fn grow_below(&self) -> f64 {
        match self.announced_slots {
            Some(announced_slots) if self.current < announced_slots => REGROW_BELOW,
            _ => GROW_BELOW,
        }
    }

    fn trial_above(&self) -> f64 {
        match self.announced_slots {
            Some(announced_slots) if self.current <= announced_slots => DISTRUST_ABOVE,
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
        let lowered = (self.current * TRIAL_LIMIT_SHARE).max(MIN_LIMIT);
        self.current = match self.announced_slots {
            Some(announced_slots) if self.current > announced_slots => lowered.max(announced_slots),
            _ => lowered,
        };
    }

    fn conclude(&mut self, now: Instant, window: &Window, trial: &Trial) {
        let kept = window.throughput(now) >= trial.throughput * KEPT_THROUGHPUT;
        if kept || !window.saturated {
            return;
        }
        self.current = trial.limit;
        self.scale_baselines(trial.slowness);
        self.no_trial_until = now + TRIAL_BACKOFF;
    }

    fn scale_baselines(&mut self, factor: f64) {
        for baseline in self.baselines.values_mut() {
            baseline.mean *= factor;
        }
    }
}
