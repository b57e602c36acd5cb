//! How many requests may be sent once more.
//!
//! All nodes together share one budget for each service. Each takes a fixed
//! part by what it sees itself, so the bound holds without agreement. The
//! window goes on while an instance is suspended: upstreams count by it too.

#[cfg(test)]
mod tests;

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use rand::Rng as _;
use sailtrack_kernel::Service;
use sailtrack_units::{Moment, Rank, ServiceName};

use crate::request::Request;
use crate::settings::RetryBounds;

/// The part of the allowed ratio that a node uses for a service while it can tell which calls are
/// made for repeats, which count as repeats themselves. The rest is for calls in transit.
const TOLD_SHARE: f64 = 0.85;
/// The part that it uses while it cannot: the shares of a chain of services add up at its end, and
/// four services deep that is a quarter each.
const UNTOLD_SHARE: f64 = 0.25;
/// The part of the allowed number that all nodes use. One repeat at the top of four services whose
/// last one is called four times makes some 13 at the bottom.
const SLACK_SHARE: f64 = 0.08;
/// The power of a request's place in the order of shedding that is the part of the budget which it
/// may use: normal requests up to 1/8 of it, critical ones from 2/5 on. Within an importance the
/// same requests come first at every service, so that those which get repeats complete.
const RANK_POWER: i32 = 3;
/// The part that any request may use while repeats are not scarce. Three services above the deepest
/// one may all do so, and what they repeat is made of calls down there, so it is below a third.
const COMMON_PART: f64 = 0.3;
/// The part that a call may use for each one before it that was answered well for the same request:
/// a repeat of the fourth of four calls completes the whole request more often than one of the
/// first.
const PROGRESS_PART: f64 = 0.45;
/// The wanted repeats, as a share of those allowed, from which they begin to be scarce, and by how
/// much more they are so fully.
const SCARCE_FROM: f64 = 0.5;
const SCARCE_SPAN: f64 = 0.5;
/// Over how long the wanted repeats are counted: within it a flood is seen.
const DEMAND_TIME: Duration = Duration::from_secs(1);
/// The window is counted in this many slices.
const SLICES: u32 = 20;

/// The requests and repeats of one slice of time.
#[derive(Debug, Clone, Copy)]
struct Slice {
    began: Moment,
    requests: u32,
    repeats: u32,
    /// Repeats that were asked for, granted or not.
    wanted: u32,
}

/// The slices of the present window for one service.
#[derive(Debug, Default)]
struct Window {
    slices: VecDeque<Slice>,
}

/// What the decision about a repeat depends on.
#[derive(Debug, Clone, Copy, Default)]
struct Sums {
    /// The requests that the ratio is taken of.
    requests: f64,
    /// The repeats of the present window.
    repeats: f64,
    /// The repeats that would be asked for in a window if it went on as lately.
    wanted: f64,
}

/// What this node may send once more.
#[derive(Debug)]
pub(crate) struct Budget {
    bounds: Cell<RetryBounds>,
    windows: RefCell<HashMap<ServiceName, Window>>,
    /// What fractions are rounded up by, and since when.
    draws: RefCell<HashMap<ServiceName, (Moment, f64)>>,
    /// Whether calls of upstreams can be told from requests of clients.
    is_told: Cell<bool>,
}

impl Service for Budget {
    const NAME: &'static str = "retry-budget";
}

impl Budget {
    pub(crate) fn new(bounds: RetryBounds) -> Self {
        Self {
            bounds: Cell::new(bounds),
            windows: RefCell::default(),
            draws: RefCell::default(),
            is_told: Cell::new(false),
        }
    }

    /// Puts other bounds into force; what was counted stays.
    pub(crate) fn set_bounds(&self, bounds: RetryBounds) {
        self.bounds.set(bounds);
    }

    /// Notes a request to a service; one that is made for a repeat counts as a repeat itself.
    ///
    /// The first call that could be told from a request of a client shows that calls can be.
    pub(crate) fn note_request(&self, work: &Request, now: Moment) {
        if work.is_nested {
            self.is_told.set(true);
        }
        self.with_slice(&work.service, now, |slice| {
            slice.requests += 1;
            slice.repeats += u32::from(work.is_retry);
        });
    }

    /// Takes the right to send a request once more; `nodes` share the budget.
    pub(crate) fn take(&self, work: &Request, now: Moment, nodes: usize) -> bool {
        self.with_slice(&work.service, now, |slice| slice.wanted += 1);
        let Sums {
            requests,
            repeats,
            wanted,
        } = self.sums(&work.service, now);
        #[allow(clippy::cast_precision_loss)]
        let slack = self.bounds.get().slack * SLACK_SHARE / nodes.max(1) as f64;
        let share = if self.is_told.get() {
            TOLD_SHARE
        } else {
            UNTOLD_SHARE
        };
        let allowed = requests * self.bounds.get().ratio.0 * share + slack;
        let place = f64::from(work.rank.index()) / f64::from(Rank::HIGHEST.index());
        let common = COMMON_PART * (1.0 - scarcity(wanted, allowed));
        let part = place.powi(RANK_POWER).max(common).max(progress_part(work));
        let whole = (allowed * part + self.draw(&work.service, now)).floor();
        if repeats + 1.0 > whole {
            return false;
        }
        self.with_slice(&work.service, now, |slice| slice.repeats += 1);
        true
    }

    /// Returns what the decision about a repeat depends on.
    ///
    /// The requests are counted in the present window, the one before it or the one half a window
    /// before it, whichever has most: when the demand falls, its repeats are still under way.
    fn sums(&self, service: &ServiceName, now: Moment) -> Sums {
        let mut windows = self.windows.borrow_mut();
        let Some(window) = windows.get_mut(service) else {
            return Sums::default();
        };
        let length = self.bounds.get().window.0;
        window.forget_before(now, length * 2);
        let present = window.sum(now, Duration::ZERO, length, |slice| slice.requests);
        let half = window.sum(now, length / 2, length, |slice| slice.requests);
        let before = window.sum(now, length, length, |slice| slice.requests);
        let repeats = window.sum(now, Duration::ZERO, length, |slice| slice.repeats);
        let lately = window.sum(now, Duration::ZERO, DEMAND_TIME, |slice| slice.wanted);
        Sums {
            requests: present.max(half).max(before),
            repeats,
            wanted: lately * length.as_secs_f64() / DEMAND_TIME.as_secs_f64(),
        }
    }

    /// Returns what a fraction of a repeat is rounded up by, the same for a whole window.
    ///
    /// A node that sends a service ten requests in a window is allowed less than one repeat. All
    /// of them together are allowed some, and only the draw gives them to anybody. Drawn for each
    /// try instead, every node that tries often enough would get one.
    fn draw(&self, service: &ServiceName, now: Moment) -> f64 {
        let mut draws = self.draws.borrow_mut();
        let length = self.bounds.get().window.0;
        if let Some((drawn, draw)) = draws.get(service)
            && now.since(*drawn) < length
        {
            return *draw;
        }
        let draw = rand::rng().random();
        draws.insert(service.clone(), (now, draw));
        draw
    }

    fn with_slice(&self, service: &ServiceName, now: Moment, change: impl FnOnce(&mut Slice)) {
        let mut windows = self.windows.borrow_mut();
        if !windows.contains_key(service) {
            windows.insert(service.clone(), Window::default());
        }
        let Some(window) = windows.get_mut(service) else {
            return;
        };
        let length = self.bounds.get().window.0 / SLICES;
        let is_over = |slice: &Slice| now.since(slice.began) >= length;
        if window.slices.back().is_none_or(is_over) {
            window.forget_before(now, self.bounds.get().window.0 * 2);
            window.slices.push_back(Slice {
                began: now,
                requests: 0,
                repeats: 0,
                wanted: 0,
            });
        }
        if let Some(slice) = window.slices.back_mut() {
            change(slice);
        }
    }
}

/// Returns from 0 to 1 how scarce repeats are when so many are wanted.
fn scarcity(wanted: f64, allowed: f64) -> f64 {
    if allowed <= 0.0 {
        return 1.0;
    }
    ((wanted / allowed - SCARCE_FROM) / SCARCE_SPAN).clamp(0.0, 1.0)
}

impl Window {
    /// Returns the sum over the slices that began within `length` before the moment `ago`.
    fn sum(&self, now: Moment, ago: Duration, length: Duration, count: fn(&Slice) -> u32) -> f64 {
        let counted = self.slices.iter().filter(|slice| {
            let age = now.since(slice.began);
            age >= ago && age < ago + length
        });
        f64::from(counted.map(count).sum::<u32>())
    }

    fn forget_before(&mut self, now: Moment, length: Duration) {
        let is_old = |slice: &Slice| now.since(slice.began) >= length;
        while self.slices.front().is_some_and(is_old) {
            self.slices.pop_front();
        }
    }
}

/// Returns the part of the budget that a call may use for what its request has come to already.
fn progress_part(work: &Request) -> f64 {
    (PROGRESS_PART * f64::from(work.completed_calls)).min(1.0)
}
