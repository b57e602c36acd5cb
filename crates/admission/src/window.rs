//! Admission windows: how many root requests of each kind may be in progress at once.
//!
//! A request that waits for an overloaded service further along its call chain holds a slot here. So
//! the window of its kind shrinks or grows until the pressure that its nested calls meet is near a
//! target, which leaves the slots to kinds that can complete. Pressure is reported per importance,
//! so the windows of less important kinds shrink first.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use sailtrack_kernel::Service;
use sailtrack_units::KindName;

use crate::pressure::Pressure;

/// The target pressure: the limit is reached, and a quarter as many calls are queued.
const TARGET: f64 = 1.25;
/// How much of the deviation from the target one round corrects, as an exponent: 1 corrects all of
/// it.
const GAIN: f64 = 0.6;
/// The minimum window: on average a tenth of a request in progress, which is enforced by spacing
/// requests out.
const MIN_SIZE: f64 = 0.1;
/// The additive increase of a window that may grow; without it a small one would hardly grow.
const ADDITIVE_STEP: f64 = 0.25;
/// The minimum and the maximum factor by which a window changes in one round.
const FACTOR_RANGE: (f64, f64) = (0.5, 4.0);
/// The minimum length of a round; the window is adjusted at the end of each.
const MIN_ROUND: Duration = Duration::from_millis(100);
/// The minimum number of requests in a round; for a window below one request, one is enough.
const MIN_SAMPLES: u32 = 3;
/// A window becomes unlimited again once it exceeds the peak number of requests in progress by this
/// factor plus `OPEN_MARGIN`.
const OPEN_FACTOR: f64 = 4.0;
/// The margin beyond `OPEN_FACTOR`, in requests.
const OPEN_MARGIN: f64 = 8.0;
/// The initial window while the node ramps up after a start of all nodes, as a share of its slots.
/// Every round in which the called services have capacity more than doubles it.
const START_SHARE: f64 = 1.0 / 6.0;
/// The minimum initial window while the node ramps up.
const MIN_START_SIZE: f64 = 4.0;
/// How long new windows get this initial size.
const START_DURATION: Duration = Duration::from_secs(3);
/// The weight of the newest request in the moving average of their durations.
const TIME_WEIGHT: f64 = 0.1;

/// The pressure that the requests which ended in one round met.
#[derive(Debug, Clone, Copy)]
struct Round {
    started: Instant,
    samples: u32,
    pressure_sum: f64,
    /// The maximum number of requests in progress at once.
    peak: u32,
}

impl Round {
    fn open(now: Instant, in_progress: u32) -> Self {
        Self {
            started: now,
            samples: 0,
            pressure_sum: 0.0,
            peak: in_progress,
        }
    }

    fn mean(&self) -> f64 {
        self.pressure_sum / f64::from(self.samples.max(1))
    }
}

/// The window of one kind.
#[derive(Debug, Clone, Copy)]
struct Window {
    /// The maximum number of requests in progress; `None` is unlimited.
    size: Option<f64>,
    in_progress: u32,
    /// When the last request started.
    last_start: Option<Instant>,
    /// The average duration of a request, in seconds.
    time: f64,
    round: Round,
}

impl Window {
    fn open(now: Instant, size: Option<f64>) -> Self {
        Self {
            size,
            in_progress: 0,
            last_start: None,
            time: 0.0,
            round: Round::open(now, 0),
        }
    }

    /// Returns true if no request may start. A window below one request enforces a minimum interval
    /// between starts instead.
    fn is_full(&self, now: Instant) -> bool {
        let Some(size) = self.size else {
            return false;
        };
        if size >= 1.0 {
            return f64::from(self.in_progress) + 1.0 > size;
        }
        let interval = Duration::from_secs_f64(self.time / size);
        let too_soon = self
            .last_start
            .is_some_and(|last_start| now - last_start < interval);
        self.in_progress > 0 || too_soon
    }

    fn acquire(&mut self, now: Instant) {
        self.in_progress += 1;
        self.last_start = Some(now);
        self.round.peak = self.round.peak.max(self.in_progress);
    }

    fn record(&mut self, now: Instant, time: Duration, pressure: Pressure) {
        let time = time.as_secs_f64();
        let average = if self.time > 0.0 { self.time } else { time };
        self.time = average + (time - average) * TIME_WEIGHT;
        self.round.samples += 1;
        self.round.pressure_sum += pressure.0;
        let age = now.saturating_duration_since(self.round.started);
        let long_enough = age >= MIN_ROUND && age.as_secs_f64() >= self.time;
        let is_small = self.size.is_some_and(|size| size < 1.0);
        if long_enough && (is_small || self.round.samples >= MIN_SAMPLES) {
            self.evaluate();
            self.round = Round::open(now, self.in_progress);
        }
    }

    fn evaluate(&mut self) {
        let pressure = self.round.mean();
        let peak = f64::from(self.round.peak);
        let Some(size) = self.size else {
            if pressure > TARGET {
                self.size = Some(shrink(peak, pressure));
            }
            return;
        };
        let size = if pressure > TARGET {
            shrink(size.min(peak.max(1.0)), pressure)
        } else {
            size * (TARGET / pressure.max(TARGET / FACTOR_RANGE.1)).powf(GAIN) + ADDITIVE_STEP
        };
        let is_open = size > peak * OPEN_FACTOR + OPEN_MARGIN;
        self.size = (!is_open).then_some(size);
    }
}

/// Returns the new size of a window whose pressure was above the target.
fn shrink(size: f64, pressure: f64) -> f64 {
    let factor = (TARGET / pressure).powf(GAIN).max(FACTOR_RANGE.0);
    (size * factor).max(MIN_SIZE)
}

/// The windows of all kinds of root requests that start at this node.
#[derive(Default)]
pub struct Windows {
    windows: RefCell<HashMap<KindName, Window>>,
    start: Cell<Option<Start>>,
}

/// The initial size of windows while the node ramps up.
#[derive(Debug, Clone, Copy)]
struct Start {
    size: f64,
    until: Instant,
}

impl Service for Windows {
    const NAME: &'static str = "windows";
}

impl Windows {
    /// Makes all windows start small, because the upstream has just come up.
    ///
    /// After an outage of all nodes their clients come back at the same time; with unlimited windows
    /// far more requests would start than the called services can finish.
    pub fn ramp_up(&self, now: Instant, slots: u32) {
        let size = (f64::from(slots) * START_SHARE).max(MIN_START_SIZE);
        self.start.set(Some(Start {
            size,
            until: now + START_DURATION,
        }));
        for window in self.windows.borrow_mut().values_mut() {
            let current = window.size.unwrap_or(size);
            window.size = Some(current.min(size));
        }
    }

    /// Ends the ramp-up and removes the limit from all windows.
    pub fn end_ramp_up(&self) {
        self.start.set(None);
        for window in self.windows.borrow_mut().values_mut() {
            window.size = None;
        }
    }

    /// Acquires a permit for a request; returns nothing if the window of its kind is full.
    pub fn acquire(self: &Rc<Self>, kind: &KindName, now: Instant) -> Option<Permit> {
        let start = self.start.get().filter(|start| now < start.until);
        let size = start.map(|start| start.size);
        let mut windows = self.windows.borrow_mut();
        let window = windows
            .entry(kind.clone())
            .or_insert_with(|| Window::open(now, size));
        if window.is_full(now) {
            return None;
        }
        window.acquire(now);
        Some(Permit {
            windows: Rc::clone(self),
            kind: kind.clone(),
            started: now,
        })
    }
}

/// Permission for one request to be in progress in the window of its kind, released when dropped.
pub struct Permit {
    windows: Rc<Windows>,
    kind: KindName,
    started: Instant,
}

impl Permit {
    /// Records that the request ran, and the maximum pressure that its nested calls met.
    pub fn record(&self, now: Instant, pressure: Pressure) {
        let time = now.saturating_duration_since(self.started);
        if let Some(window) = self.windows.windows.borrow_mut().get_mut(&self.kind) {
            window.record(now, time, pressure);
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(window) = self.windows.windows.borrow_mut().get_mut(&self.kind) {
            window.in_progress -= 1;
        }
    }
}
