//! The admission level: the rank below which calls are shed, adjusted to the upstream's capacity.

use std::time::{Duration, Instant};

use sailtrack_units::Rank;

/// The minimum length of a window; the level is adjusted at the end of each.
const MIN_WINDOW: Duration = Duration::from_millis(100);
/// The arrivals after which a window in which the limit was reached may end.
const MIN_ARRIVALS: f64 = 40.0;
/// A window with fewer arrivals ends after this time.
const MAX_WINDOW: Duration = Duration::from_millis(200);
/// The share of the arrivals in a window that may be refused without the level rising, to allow
/// for random variation.
const TOLERATED_REFUSALS: f64 = 0.1;
/// A window in which at most this share of the arrivals is refused counts as quiet.
const QUIET_REFUSALS: f64 = 0.03;
/// The share of the excess arrivals that one adjustment removes; if the overload persists, the rest
/// shows up again in the next window.
const GAIN: f64 = 0.6;
/// The maximum share of the arrivals that one adjustment removes.
const MAX_CUT: f64 = 0.5;
/// The additional arrivals to admit after a quiet window, as a share of its arrivals.
const REOPENING: f64 = 0.2;
/// The number of ranks from the level upward over which the arrivals per rank are averaged.
const DENSITY_RANKS: usize = 16;
/// The maximum number of ranks by which the level falls after one window.
const MAX_FALL: f64 = 32.0;
/// The level is reset after this time without traffic.
const STALE_AFTER: Duration = Duration::from_secs(2);

/// The admission level of one upstream.
///
/// After a window in which calls were refused for overload, it rises to the rank that sheds as many
/// arrivals. After a quiet window it falls by as many ranks as admit a few more arrivals, and by
/// twice as many after each further window in which the limit was not even reached.
#[derive(Debug)]
pub(crate) struct Level {
    current: Rank,
    window_start: Instant,
    arrivals: Box<[u32; Rank::COUNT]>,
    refusals: u32,
    saturated: bool,
    idle_windows: u32,
}

impl Level {
    /// Returns a level that admits everything.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            current: Rank::LOWEST,
            window_start: now,
            arrivals: Box::new([0; Rank::COUNT]),
            refusals: 0,
            saturated: false,
            idle_windows: 0,
        }
    }

    /// Returns the lowest rank that is currently admitted.
    pub(crate) fn current(&mut self, now: Instant) -> Rank {
        self.adjust(now);
        self.current
    }

    /// Records a call that arrived.
    pub(crate) fn record_arrival(&mut self, now: Instant, rank: Rank) {
        self.adjust(now);
        self.arrivals[usize::from(rank.index())] += 1;
    }

    /// Records that a call found the limit reached.
    pub(crate) fn record_saturation(&mut self) {
        self.saturated = true;
    }

    /// Records that a call was refused for overload.
    pub(crate) fn record_refusal(&mut self) {
        self.refusals += 1;
    }

    fn adjust(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.window_start);
        if age < MIN_WINDOW {
            return;
        }
        if age > STALE_AFTER {
            *self = Self::new(now);
            return;
        }
        let total = f64::from(self.arrivals.iter().sum::<u32>());
        if self.saturated && total < MIN_ARRIVALS && age < MAX_WINDOW {
            return;
        }
        let excess = self.excess(total);
        if excess > 0.0 {
            self.current = self.current.max(self.rank_cutting(excess));
            self.idle_windows = 0;
        } else if f64::from(self.refusals) <= total * QUIET_REFUSALS {
            self.lower(total);
        }
        self.restart(now);
    }

    fn restart(&mut self, now: Instant) {
        self.window_start = now;
        self.arrivals.fill(0);
        self.refusals = 0;
        self.saturated = false;
    }

    /// Returns how many arrivals to shed.
    fn excess(&self, total: f64) -> f64 {
        let refusals = f64::from(self.refusals) - total * TOLERATED_REFUSALS;
        (refusals * GAIN).clamp(0.0, total * MAX_CUT)
    }

    /// Returns the lowest rank below which at least `excess` calls arrived.
    fn rank_cutting(&self, excess: f64) -> Rank {
        let mut sum = 0.0;
        for (index, count) in self.arrivals.iter().enumerate() {
            if sum >= excess {
                return Rank::from_index(u8::try_from(index).unwrap_or(u8::MAX));
            }
            sum += f64::from(*count);
        }
        Rank::HIGHEST
    }

    fn lower(&mut self, total: f64) {
        self.idle_windows = if self.saturated {
            0
        } else {
            self.idle_windows + 1
        };
        let doublings = i32::try_from(self.idle_windows.min(5)).unwrap_or(5);
        let ranks = total * REOPENING / self.arrivals_per_rank() * 2f64.powi(doublings);
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let step = ranks.clamp(1.0, MAX_FALL) as u8;
        self.current = Rank::from_index(self.current.index().saturating_sub(step));
    }

    /// Returns the arrivals per rank, averaged over the ranks just above the level.
    fn arrivals_per_rank(&self) -> f64 {
        let from = usize::from(self.current.index());
        let above = self.arrivals[from..].iter().take(DENSITY_RANKS);
        let ranks = u32::try_from(above.len()).unwrap_or(1);
        let count = f64::from(above.sum::<u32>()).max(0.5);
        count / f64::from(ranks)
    }
}
