//! The clocks of a node and of the store, which run apart and jump.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};
use sailtrack_units::Moment;

use crate::store::{Clock, StoreTime};

/// What the store's clock shows when that of the node shows nothing yet.
const START: f64 = 1000.0;
/// How long a follower's question waits for changes.
pub(crate) const RENEWAL: Duration = Duration::from_millis(1250);

/// How the two clocks behave to each other.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Pair {
    /// How much faster that of the store runs, in parts of a million.
    pub(crate) drift: f64,
    /// By how many seconds it jumps,
    pub(crate) jump: f64,
    /// and how often, in seconds; nothing stands for never.
    pub(crate) jump_pause: f64,
    /// The longest time, in seconds, for which a question or its answer is under way.
    pub(crate) delay: f64,
}

/// All drifts, jumps and delays that are to be borne.
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
    /// Returns what the store's clock shows at a moment of the node.
    pub(crate) fn shown(&self, at: Moment) -> StoreTime {
        let at = at.since(Moment::default()).as_secs_f64();
        let jumps = (at / self.jump_pause).floor() * self.jump;
        StoreTime(Duration::from_secs_f64(
            START + at * (1.0 + self.drift / 1e6) + jumps,
        ))
    }

    /// Returns what the store tells at a moment, in hundredths of a second.
    pub(crate) fn reported(&self, at: Moment) -> StoreTime {
        let shown = self.shown(at).0.as_secs_f64();
        StoreTime(Duration::from_secs_f64((shown * 100.0).round() / 100.0))
    }
}

/// An answer of the store.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Response {
    pub(crate) requested: Moment,
    pub(crate) answered: Moment,
    pub(crate) reported: StoreTime,
}

/// Asks the store over and over.
pub(crate) struct Calls {
    pair: Pair,
    random: StdRng,
    /// The last question was to be answered at once.
    was_quick: bool,
}

impl Calls {
    pub(crate) fn new(pair: Pair, seed: u64) -> Self {
        Self {
            pair,
            random: StdRng::seed_from_u64(seed),
            was_quick: false,
        }
    }

    /// Asks at a moment; the store answers after a while, or at once the first time and if the clock
    /// is due.
    pub(crate) fn call(&mut self, clock: &Clock, asked: Moment) -> Response {
        let is_first = clock.upper_bound(asked).is_none();
        self.was_quick = is_first || !self.was_quick && clock.needs_refresh(asked);
        let wait = if self.was_quick {
            Duration::ZERO
        } else {
            RENEWAL
        };
        let mut delay = || Duration::from_secs_f64(self.random.random_range(0.0..self.pair.delay));
        let told_at = asked + delay() + wait;
        Response {
            requested: asked,
            answered: told_at + delay(),
            reported: self.pair.reported(told_at),
        }
    }
}
