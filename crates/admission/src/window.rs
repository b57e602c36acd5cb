//! How many requests of each kind may be in progress at once, judged by the pressure they meet further down.
//!
//! A request that waits for a service further down holds a slot here. So the
//! window of its kind follows the pressure that its calls meet: it shrinks or
//! grows until that pressure is near its aim, and the slots are left to kinds
//! that can complete. Pressure is told for each importance, so the kinds that
//! matter less give way first.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use sailtrack_kernel::Service;
use sailtrack_units::KindName;

use crate::pressure::Pressure;

/// The pressure that a window aims at: a quarter of the slots' calls wait.
const AIM: f64 = 1.25;
/// The share of the way to its aim that a window goes at once.
const GAIN: f64 = 0.6;
/// The smallest window: one request in the time of ten.
const SMALLEST: f64 = 0.1;
/// What is added to a window that may grow, so that a small one grows at all.
const PROBE: f64 = 0.25;
/// The least and the greatest factor by which a window changes at once.
const FACTORS: (f64, f64) = (0.5, 4.0);
/// The shortest time after which a window is judged.
const SHORTEST_ROUND: Duration = Duration::from_millis(100);
/// The fewest requests by which a window is judged; one is enough for a window below one place.
const MIN_SAMPLES: u32 = 3;
/// A window this much larger than what is in progress is open again.
const OPEN_FACTOR: f64 = 4.0;
/// The requests that are allowed for beyond that.
const OPEN_MARGIN: f64 = 8.0;
/// The part of the slots that a window begins with where all nodes were started lately, and the
/// least. Every round in which the path has room more than doubles it.
const START_SHARE: f64 = 1.0 / 6.0;
const SMALLEST_START: f64 = 4.0;
/// How long windows begin so.
const START_TIME: Duration = Duration::from_secs(3);
/// The weight of the newest request in the average of their times.
const NEWEST_WEIGHT: f64 = 0.1;

/// What the requests that ended in one stretch of time have met.
#[derive(Debug, Clone, Copy)]
struct Round {
    started: Instant,
    samples: u32,
    pressure: f64,
    /// The most requests that were in progress at once.
    peak: u32,
}

impl Round {
    fn open(now: Instant, in_progress: u32) -> Self {
        Self {
            started: now,
            samples: 0,
            pressure: 0.0,
            peak: in_progress,
        }
    }

    fn mean(&self) -> f64 {
        self.pressure / f64::from(self.samples.max(1))
    }
}

/// The window of one kind.
#[derive(Debug, Clone, Copy)]
struct Window {
    /// Nothing while it is open.
    size: Option<f64>,
    in_progress: u32,
    /// When the latest request entered.
    entered: Option<Instant>,
    /// How many seconds a request takes, on average.
    time: f64,
    round: Round,
}

impl Window {
    fn open(now: Instant, size: Option<f64>) -> Self {
        Self {
            size,
            in_progress: 0,
            entered: None,
            time: 0.0,
            round: Round::open(now, 0),
        }
    }

    /// Returns true if no request may enter; below one place they enter at a distance in time.
    fn is_full(&self, now: Instant) -> bool {
        let Some(size) = self.size else {
            return false;
        };
        if size >= 1.0 {
            return f64::from(self.in_progress) + 1.0 > size;
        }
        let distance = Duration::from_secs_f64(self.time / size);
        let too_soon = self.entered.is_some_and(|entered| now - entered < distance);
        self.in_progress > 0 || too_soon
    }

    fn acquire(&mut self, now: Instant) {
        self.in_progress += 1;
        self.entered = Some(now);
        self.round.peak = self.round.peak.max(self.in_progress);
    }

    fn record(&mut self, now: Instant, time: Duration, pressure: Pressure) {
        let time = time.as_secs_f64();
        let known = if self.time > 0.0 { self.time } else { time };
        self.time = known + (time - known) * NEWEST_WEIGHT;
        self.round.samples += 1;
        self.round.pressure += pressure.0;
        let age = now.saturating_duration_since(self.round.started);
        let long_enough = age >= SHORTEST_ROUND && age.as_secs_f64() >= self.time;
        let is_small = self.size.is_some_and(|size| size < 1.0);
        if long_enough && (is_small || self.round.samples >= MIN_SAMPLES) {
            self.judge();
            self.round = Round::open(now, self.in_progress);
        }
    }

    fn judge(&mut self) {
        let pressure = self.round.mean();
        let peak = f64::from(self.round.peak);
        let Some(size) = self.size else {
            if pressure > AIM {
                self.size = Some(shrunk(peak, pressure));
            }
            return;
        };
        let size = if pressure > AIM {
            shrunk(size.min(peak.max(1.0)), pressure)
        } else {
            size * (AIM / pressure.max(AIM / FACTORS.1)).powf(GAIN) + PROBE
        };
        let is_open = size > peak * OPEN_FACTOR + OPEN_MARGIN;
        self.size = (!is_open).then_some(size);
    }
}

/// Returns the size of a window that met more pressure than it aims at.
fn shrunk(size: f64, pressure: f64) -> f64 {
    let factor = (AIM / pressure).powf(GAIN).max(FACTORS.0);
    (size * factor).max(SMALLEST)
}

/// The windows of all kinds of root requests that begin on this node.
#[derive(Default)]
pub struct Windows {
    windows: RefCell<HashMap<KindName, Window>>,
    start: Cell<Option<Start>>,
}

/// How windows begin for a while.
#[derive(Debug, Clone, Copy)]
struct Start {
    size: f64,
    until: Instant,
}

impl Service for Windows {
    const NAME: &'static str = "windows";
}

impl Windows {
    /// Lets the windows begin small, as the upstream has just come.
    ///
    /// After all nodes were away at once their clients come back at once; with open windows far
    /// more would begin than the services further down can finish.
    pub fn ramp_up(&self, now: Instant, slots: u32) {
        let size = (f64::from(slots) * START_SHARE).max(SMALLEST_START);
        self.start.set(Some(Start {
            size,
            until: now + START_TIME,
        }));
        for window in self.windows.borrow_mut().values_mut() {
            let present = window.size.unwrap_or(size);
            window.size = Some(present.min(size));
        }
    }

    /// Lets the windows begin open again.
    pub fn end_ramp_up(&self) {
        self.start.set(None);
        for window in self.windows.borrow_mut().values_mut() {
            window.size = None;
        }
    }

    /// Takes a place for a request, or nothing if as many are in progress as may be.
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
            entered: now,
        })
    }
}

/// The place of one request in the window of its kind.
pub struct Permit {
    windows: Rc<Windows>,
    kind: KindName,
    entered: Instant,
}

impl Permit {
    /// Notes that the request ran, and the greatest pressure that it met further down.
    pub fn record(&self, now: Instant, pressure: Pressure) {
        let time = now.saturating_duration_since(self.entered);
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
