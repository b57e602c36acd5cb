//! A retry budget: limits how many requests are sent again.
//!
//! All nodes share one budget for each service. Each node uses a fixed share of it, computed from
//! its own requests, so that the bound holds without coordination. The window keeps running while
//! an instance is suspended, since upstreams count retries over time that includes suspensions.

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

/// Share of the allowed retry ratio that a node uses while nested calls can be recognized; those
/// made for a retry count as retries themselves. The rest covers calls in transit.
const RECOGNIZED_SHARE: f64 = 0.85;
/// Share that a node uses while nested calls cannot be recognized: the retries of a chain of
/// services add up at its last one, so each service of a chain of four gets a quarter.
const UNRECOGNIZED_SHARE: f64 = 0.25;
/// Share of the allowed slack that all nodes use together. One retry at the top of a chain of four
/// services, the last of which is called four times, causes about 13 requests at the last one.
const SLACK_SHARE: f64 = 0.08;
/// A request may use the part of the budget that is its relative rank raised to this power: normal
/// requests up to 1/8 of it, critical ones from 2/5 on. Within an importance level, all services
/// favor the same requests, so that requests that get retries complete.
const RANK_POWER: i32 = 3;
/// Share of the budget that any request may use while retries are not scarce. The three services
/// above the deepest one may all use theirs, and their retries add up there as calls, so it is
/// below a third.
const COMMON_SHARE: f64 = 0.3;
/// Share of the budget that a call may use for each earlier call for the same request that
/// succeeded: retrying the last of four calls is more likely to complete the request than retrying
/// the first.
const COMPLETED_CALL_SHARE: f64 = 0.45;
/// Retries begin to be scarce when their demand reaches this share of the allowed number, and are
/// fully scarce when it is higher by `SCARCITY_SPAN`.
const SCARCITY_START: f64 = 0.5;
const SCARCITY_SPAN: f64 = 0.5;
/// The demand is measured over this time, which is short enough to notice a flood of retries.
const DEMAND_WINDOW: Duration = Duration::from_secs(1);
/// The number of slices per window.
const SLICES_PER_WINDOW: u32 = 20;

/// Requests and retries counted during one slice of time.
#[derive(Debug, Clone, Copy)]
struct Slice {
    started: Moment,
    requests: u32,
    retries: u32,
    /// Retries that were requested, granted or not.
    demand: u32,
}

/// The slices of the recent windows of one service.
#[derive(Debug, Default)]
struct Window {
    slices: VecDeque<Slice>,
}

/// The counts that decide whether a retry is granted.
#[derive(Debug, Clone, Copy, Default)]
struct Sums {
    /// The requests to which the ratio applies.
    requests: f64,
    /// The retries in the current window: those granted here and nested calls made for retries.
    retries: f64,
    /// The retries that would be requested in a whole window at the current rate.
    demand: f64,
}

/// The retry budget of this node for each service.
#[derive(Debug)]
pub(crate) struct Budget {
    bounds: Cell<RetryBounds>,
    windows: RefCell<HashMap<ServiceName, Window>>,
    /// Rounding offset of each service, with the time when it was drawn.
    offsets: RefCell<HashMap<ServiceName, (Moment, f64)>>,
    /// Whether nested calls of upstreams can be distinguished from client requests.
    recognizes_nested: Cell<bool>,
}

impl Service for Budget {
    const NAME: &'static str = "retry-budget";
}

impl Budget {
    pub(crate) fn new(bounds: RetryBounds) -> Self {
        Self {
            bounds: Cell::new(bounds),
            windows: RefCell::default(),
            offsets: RefCell::default(),
            recognizes_nested: Cell::new(false),
        }
    }

    /// Replaces the bounds; the counts are kept.
    pub(crate) fn set_bounds(&self, bounds: RetryBounds) {
        self.bounds.set(bounds);
    }

    /// Counts a request to a service; a nested call made for a retry counts as a retry itself.
    ///
    /// The first recognized nested call shows that nested calls can be recognized.
    pub(crate) fn record_request(&self, request: &Request, now: Moment) {
        if request.is_nested {
            self.recognizes_nested.set(true);
        }
        self.with_slice(&request.service, now, |slice| {
            slice.requests += 1;
            slice.retries += u32::from(request.is_retry);
        });
    }

    /// Tries to acquire the right to retry a request; `nodes` share the budget.
    pub(crate) fn try_acquire(&self, request: &Request, now: Moment, nodes: usize) -> bool {
        self.with_slice(&request.service, now, |slice| slice.demand += 1);
        let Sums {
            requests,
            retries,
            demand,
        } = self.sums(&request.service, now);
        #[allow(clippy::cast_precision_loss)]
        let slack = self.bounds.get().slack * SLACK_SHARE / nodes.max(1) as f64;
        let ratio_share = if self.recognizes_nested.get() {
            RECOGNIZED_SHARE
        } else {
            UNRECOGNIZED_SHARE
        };
        let allowed = requests * self.bounds.get().ratio.0 * ratio_share + slack;
        let relative_rank = f64::from(request.rank.index()) / f64::from(Rank::HIGHEST.index());
        let common = COMMON_SHARE * (1.0 - scarcity(demand, allowed));
        let share = relative_rank
            .powi(RANK_POWER)
            .max(common)
            .max(completed_calls_share(request));
        let whole = (allowed * share + self.rounding_offset(&request.service, now)).floor();
        if retries + 1.0 > whole {
            return false;
        }
        self.with_slice(&request.service, now, |slice| slice.retries += 1);
        true
    }

    /// Returns the counts that decide whether a retry is granted.
    ///
    /// The requests are the most counted in the current window, the previous one or the one that
    /// started half a window earlier: when the request rate falls, retries of earlier requests are
    /// still under way.
    fn sums(&self, service: &ServiceName, now: Moment) -> Sums {
        let mut windows = self.windows.borrow_mut();
        let Some(window) = windows.get_mut(service) else {
            return Sums::default();
        };
        let length = self.bounds.get().window.0;
        window.discard_older(now, length * 2);
        let current = window.sum(now, Duration::ZERO, length, |slice| slice.requests);
        let half = window.sum(now, length / 2, length, |slice| slice.requests);
        let previous = window.sum(now, length, length, |slice| slice.requests);
        let retries = window.sum(now, Duration::ZERO, length, |slice| slice.retries);
        let recent = window.sum(now, Duration::ZERO, DEMAND_WINDOW, |slice| slice.demand);
        Sums {
            requests: current.max(half).max(previous),
            retries,
            demand: recent * length.as_secs_f64() / DEMAND_WINDOW.as_secs_f64(),
        }
    }

    /// Returns the rounding offset added to the allowed number, constant for a whole window.
    ///
    /// A node that sends only a few requests to a service is allowed less than one retry per
    /// window. A random offset grants the whole retries that the nodes are allowed together to some
    /// of them. If it were drawn for every attempt, any node that tries often enough would be
    /// granted one.
    fn rounding_offset(&self, service: &ServiceName, now: Moment) -> f64 {
        let mut offsets = self.offsets.borrow_mut();
        let length = self.bounds.get().window.0;
        if let Some((drawn_at, offset)) = offsets.get(service)
            && now.since(*drawn_at) < length
        {
            return *offset;
        }
        let offset = rand::rng().random();
        offsets.insert(service.clone(), (now, offset));
        offset
    }

    fn with_slice(&self, service: &ServiceName, now: Moment, change: impl FnOnce(&mut Slice)) {
        let mut windows = self.windows.borrow_mut();
        if !windows.contains_key(service) {
            windows.insert(service.clone(), Window::default());
        }
        let Some(window) = windows.get_mut(service) else {
            return;
        };
        let length = self.bounds.get().window.0 / SLICES_PER_WINDOW;
        let is_full = |slice: &Slice| now.since(slice.started) >= length;
        if window.slices.back().is_none_or(is_full) {
            window.discard_older(now, self.bounds.get().window.0 * 2);
            window.slices.push_back(Slice {
                started: now,
                requests: 0,
                retries: 0,
                demand: 0,
            });
        }
        if let Some(slice) = window.slices.back_mut() {
            change(slice);
        }
    }
}

/// Returns how scarce retries are, from 0 to 1.
fn scarcity(demand: f64, allowed: f64) -> f64 {
    if allowed <= 0.0 {
        return 1.0;
    }
    ((demand / allowed - SCARCITY_START) / SCARCITY_SPAN).clamp(0.0, 1.0)
}

impl Window {
    /// Returns the sum over the slices that started within `length` before the time `ago`.
    fn sum(&self, now: Moment, ago: Duration, length: Duration, count: fn(&Slice) -> u32) -> f64 {
        let counted = self.slices.iter().filter(|slice| {
            let age = now.since(slice.started);
            age >= ago && age < ago + length
        });
        f64::from(counted.map(count).sum::<u32>())
    }

    fn discard_older(&mut self, now: Moment, length: Duration) {
        let is_old = |slice: &Slice| now.since(slice.started) >= length;
        while self.slices.front().is_some_and(is_old) {
            self.slices.pop_front();
        }
    }
}

/// Returns the share of the budget that a call may use for earlier calls that succeeded.
fn completed_calls_share(request: &Request) -> f64 {
    (COMPLETED_CALL_SHARE * f64::from(request.completed_calls)).min(1.0)
}
