//! Simulates the clocks of a node and of the store, which drift and jump apart.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};
use sailtrack_units::Moment;

use crate::store::{Clock, StoreTime};

/// Store time in seconds when the node's clock is zero.
const START: f64 = 1000.0;
/// Duration of a long poll for changes.
pub(crate) const RENEWAL: Duration = Duration::from_millis(1250);

/// How the store's clock runs relative to the node's.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Pair {
    /// How much faster the store's clock runs, in ppm.
    pub(crate) drift: f64,
    /// Size of each jump of the store's clock, in seconds.
    pub(crate) jump: f64,
    /// Time between two jumps, in seconds.
    pub(crate) jump_pause: f64,
    /// Longest transit time of a request or response, in seconds.
    pub(crate) delay: f64,
}

/// Returns all combinations of drifts, jumps and delays that the estimate must tolerate.
pub(crate) fn all(delays: &[f64]) -> Vec<Pair> {
    let mut pairs = Vec::new();
    for drift in [0.0, 1000.0, -1000.0, 5000.0, -5000.0] {
        for jump in [0.0, 0.05, -0.05] {
            for delay in delays {
                pairs.push(Pair {
                    drift,
                    jump,
                    jump_pause: 25.0,
                    delay: *delay,
                });
            }
        }
    }
    pairs
}

impl Pair {
    /// Returns what the store's clock shows at a local time.
    pub(crate) fn shown(&self, at: Moment) -> StoreTime {
        let at = at.since(Moment::default()).as_secs_f64();
        let jumps = (at / self.jump_pause).floor() * self.jump;
        StoreTime(Duration::from_secs_f64(
            START + at * (1.0 + self.drift / 1e6) + jumps,
        ))
    }

    /// Returns the time that the store reports at a local time, rounded to 10 ms.
    pub(crate) fn reported(&self, at: Moment) -> StoreTime {
        let shown = self.shown(at).0.as_secs_f64();
        StoreTime(Duration::from_secs_f64((shown * 100.0).round() / 100.0))
    }
}

/// A response of the store, with the local times of the request and the response.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Response {
    pub(crate) requested: Moment,
    pub(crate) answered: Moment,
    pub(crate) reported: StoreTime,
}

/// Simulates consecutive calls of the store.
pub(crate) struct Calls {
    pair: Pair,
    random: StdRng,
    /// Whether the last call asked for an immediate response.
    was_immediate: bool,
}

impl Calls {
    pub(crate) fn new(pair: Pair, seed: u64) -> Self {
        Self {
            pair,
            random: StdRng::seed_from_u64(seed),
            was_immediate: false,
        }
    }

    /// Calls the store at a local time. The response comes after a long poll, or immediately for
    /// the first call and when the clock needs a refresh.
    pub(crate) fn call(&mut self, clock: &Clock, requested: Moment) -> Response {
        let is_first = clock.upper_bound(requested).is_none();
        self.was_immediate = is_first || !self.was_immediate && clock.needs_refresh(requested);
        let wait = if self.was_immediate {
            Duration::ZERO
        } else {
            RENEWAL
        };
        let mut delay = || Duration::from_secs_f64(self.random.random_range(0.0..self.pair.delay));
        let read_at = requested + delay() + wait;
        Response {
            requested,
            answered: read_at + delay(),
            reported: self.pair.reported(read_at),
        }
    }
}
