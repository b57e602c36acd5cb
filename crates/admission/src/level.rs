//! The rank below which calls are refused, adjusted to what the upstream can take.

use std::time::{Duration, Instant};

use sailtrack_units::Rank;

/// The shortest time over which arrivals are counted before the level is adjusted.
const WINDOW: Duration = Duration::from_millis(100);
/// The arrivals that are enough to judge a window by in which the limit was reached.
const ENOUGH_ARRIVALS: f64 = 40.0;
/// A window with fewer arrivals is judged after this time.
const LONG_WINDOW: Duration = Duration::from_millis(200);
/// The share of the arrivals in a window whose refusal is put down to chance.
const CHANCE: f64 = 0.1;
/// A window in which no greater share of the arrivals is refused is quiet.
const QUIET: f64 = 0.03;
/// The share of what is refused that one adjustment cuts; the rest shows again if it stays.
const GAIN: f64 = 0.6;
/// The greatest share of the arrivals that one adjustment cuts.
const GREATEST_CUT: f64 = 0.5;
/// The arrivals that a quiet window lets in more, as a share.
const OPENING: f64 = 0.2;
/// The ranks above the level from which the arrivals for each rank are estimated.
const DENSITY_RANKS: usize = 16;
/// The most ranks by which the level falls in one window.
const MAX_FALL: f64 = 32.0;
/// After this time without traffic nothing is known any more.
const STALE: Duration = Duration::from_secs(2);

/// The admission level of one upstream.
///
/// After a window in which calls were refused for overload it rises by as many
/// ranks as are needed to cut as many arrivals. After quiet windows it falls by
/// as many ranks as let a few more arrivals in, and twice as many with each
/// window in which the limit was not even reached.
#[derive(Debug)]
pub(crate) struct Level {
    current: Rank,
    started: Instant,
    arrivals: Box<[u32; Rank::COUNT]>,
    refused: u32,
    reached: bool,
    idle_windows: u32,
}

impl Level {
    /// Returns a level that admits everything.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            current: Rank::LOWEST,
            started: now,
            arrivals: Box::new([0; Rank::COUNT]),
            refused: 0,
            reached: false,
            idle_windows: 0,
        }
    }

    /// Returns the rank that is admitted at present.
    pub(crate) fn current(&mut self, now: Instant) -> Rank {
        self.adjust(now);
        self.current
    }

    /// Notes a call that arrived.
    pub(crate) fn record_arrival(&mut self, now: Instant, rank: Rank) {
        self.adjust(now);
        self.arrivals[usize::from(rank.index())] += 1;
    }

    /// Notes a call that found the limit reached.
    pub(crate) fn record_saturation(&mut self) {
        self.reached = true;
    }

    /// Notes a call that was refused for overload.
    pub(crate) fn record_refusal(&mut self) {
        self.refused += 1;
    }

    fn adjust(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.started);
        if age < WINDOW {
            return;
        }
        if age > STALE {
            *self = Self::new(now);
            return;
        }
        let total = f64::from(self.arrivals.iter().sum::<u32>());
        if self.reached && total < ENOUGH_ARRIVALS && age < LONG_WINDOW {
            return;
        }
        let cut = self.cut(total);
        if cut > 0.0 {
            self.current = self.current.max(self.cutting(cut));
            self.idle_windows = 0;
        } else if f64::from(self.refused) <= total * QUIET {
            self.fall(total);
        }
        self.reopen(now);
    }

    fn reopen(&mut self, now: Instant) {
        self.started = now;
        self.arrivals.fill(0);
        self.refused = 0;
        self.reached = false;
    }

    /// Returns how many arrivals too many there were.
    fn cut(&self, total: f64) -> f64 {
        let refused = f64::from(self.refused) - total * CHANCE;
        (refused * GAIN).clamp(0.0, total * GREATEST_CUT)
    }

    /// Returns the lowest rank below which at least `cut` calls arrived.
    fn cutting(&self, cut: f64) -> Rank {
        let mut sum = 0.0;
        for (index, count) in self.arrivals.iter().enumerate() {
            if sum >= cut {
                return Rank::from_index(u8::try_from(index).unwrap_or(u8::MAX));
            }
            sum += f64::from(*count);
        }
        Rank::HIGHEST
    }

    fn fall(&mut self, total: f64) {
        self.idle_windows = if self.reached {
            0
        } else {
            self.idle_windows + 1
        };
        let doublings = i32::try_from(self.idle_windows.min(5)).unwrap_or(5);
        let ranks = total * OPENING / self.density() * 2f64.powi(doublings);
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let step = ranks.clamp(1.0, MAX_FALL) as u8;
        self.current = Rank::from_index(self.current.index().saturating_sub(step));
    }

    /// Returns the arrivals for each rank just above the level.
    fn density(&self) -> f64 {
        let from = usize::from(self.current.index());
        let above = self.arrivals[from..].iter().take(DENSITY_RANKS);
        let ranks = u32::try_from(above.len()).unwrap_or(1);
        let count = f64::from(above.sum::<u32>()).max(0.5);
        count / f64::from(ranks)
    }
}
