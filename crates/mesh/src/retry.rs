//! How many requests may be sent once more.
//!
//! All nodes together share one budget for each service. Each takes a fixed
//! part by what it sees itself, so the bound holds without agreement.

use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use sailtrack_kernel::Service;
use sailtrack_units::ServiceName;

use crate::settings::RetryBounds;
use crate::work::Work;

/// The part of the allowed ratio that a node uses for a service. The calls made for a repeat
/// count as repeats of the services below, so the shares of a chain of services add up at its
/// end: four services deep, a quarter each.
const RATIO_SHARE: f64 = 0.25;
/// The part of the allowed number that all nodes use. One repeat at the top of four services whose
/// last one is called four times makes some 13 at the bottom.
const SLACK_SHARE: f64 = 0.08;
/// The window is counted in this many slices.
const SLICES: u32 = 20;

/// The requests and repeats of one slice of time.
#[derive(Debug, Clone, Copy)]
struct Slice {
    began: Instant,
    requests: u32,
    repeats: u32,
}

/// The slices of the present window for one service.
#[derive(Debug, Default)]
struct Window {
    slices: VecDeque<Slice>,
}

/// What this node may send once more.
#[derive(Debug)]
pub(crate) struct Budget {
    bounds: RetryBounds,
    windows: RefCell<HashMap<ServiceName, Window>>,
}

impl Service for Budget {
    const NAME: &'static str = "retry-budget";
}

impl Budget {
    pub(crate) fn new(bounds: RetryBounds) -> Self {
        Self {
            bounds,
            windows: RefCell::default(),
        }
    }

    /// Notes a request to a service; one that is made for a repeat counts as a repeat itself.
    pub(crate) fn note_request(&self, work: &Work, now: Instant) {
        self.with_slice(&work.service, now, |slice| {
            slice.requests += 1;
            slice.repeats += u32::from(work.repeated);
        });
    }

    /// Takes the right to send a request once more; `nodes` share the budget.
    pub(crate) fn take(&self, service: &ServiceName, now: Instant, nodes: usize) -> bool {
        let (requests, repeats) = self.sums(service, now);
        #[allow(clippy::cast_precision_loss)]
        let slack = self.bounds.slack * SLACK_SHARE / nodes.max(1) as f64;
        let allowed = requests * self.bounds.ratio.0 * RATIO_SHARE + slack;
        if repeats + 1.0 > allowed {
            return false;
        }
        self.with_slice(service, now, |slice| slice.repeats += 1);
        true
    }

    fn sums(&self, service: &ServiceName, now: Instant) -> (f64, f64) {
        let mut windows = self.windows.borrow_mut();
        let Some(window) = windows.get_mut(service) else {
            return (0.0, 0.0);
        };
        window.forget_before(now, self.bounds.window.0);
        let sum = |count: fn(&Slice) -> u32| window.slices.iter().map(count).sum::<u32>();
        (
            f64::from(sum(|slice| slice.requests)),
            f64::from(sum(|slice| slice.repeats)),
        )
    }

    fn with_slice(&self, service: &ServiceName, now: Instant, change: impl FnOnce(&mut Slice)) {
        let mut windows = self.windows.borrow_mut();
        if !windows.contains_key(service) {
            windows.insert(service.clone(), Window::default());
        }
        let Some(window) = windows.get_mut(service) else {
            return;
        };
        let length = self.bounds.window.0 / SLICES;
        let is_over = |slice: &Slice| now.saturating_duration_since(slice.began) >= length;
        if window.slices.back().is_none_or(is_over) {
            window.forget_before(now, self.bounds.window.0);
            window.slices.push_back(Slice {
                began: now,
                requests: 0,
                repeats: 0,
            });
        }
        if let Some(slice) = window.slices.back_mut() {
            change(slice);
        }
    }
}

impl Window {
    fn forget_before(&mut self, now: Instant, length: Duration) {
        let is_old = |slice: &Slice| now.saturating_duration_since(slice.began) >= length;
        while self.slices.front().is_some_and(is_old) {
            self.slices.pop_front();
        }
    }
}
