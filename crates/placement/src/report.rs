//! What an upstream said last of itself, and how much of it still counts.

use std::time::{Duration, Instant};

use sailtrack_admission::Pressure;
use sailtrack_units::Pace;

use crate::average::Average;
use crate::decay::remaining;

/// A pace is taken at its word for this long.
const PACE_HOLD: Duration = Duration::from_millis(100);
/// After that half of what it differs from the usual is left each time this has passed: neighbours
/// on an instance come and go within some tenths of a second.
const PACE_HALF_LIFE: Duration = Duration::from_millis(200);

/// How full an upstream said last that it is.
#[derive(Debug, Clone, Copy, Default)]
pub struct LoadReport {
    told: Option<(Pressure, Instant)>,
    /// The requests that were on their way from here when it was told.
    outstanding: u32,
}

impl LoadReport {
    /// Notes how full the upstream is, while `outstanding` requests were on their way from here.
    pub fn record(&mut self, now: Instant, pressure: Pressure, outstanding: u32) {
        self.told = Some((pressure, now));
        self.outstanding = outstanding;
    }

    /// Returns true if anything was told.
    #[must_use]
    pub fn is_known(&self) -> bool {
        self.told.is_some()
    }

    /// Returns how full the upstream is, with what went there from here since it was told.
    ///
    /// As what was told gets old, the upstream is taken to be like the others of its side: taken
    /// to be empty, two failure domains would each send to the other what both have no room for.
    #[must_use]
    pub fn pressure(
        &self,
        now: Instant,
        outstanding: u32,
        slots: u32,
        average: &Average,
    ) -> Pressure {
        let own = Pressure::of(outstanding as usize, slots as usize);
        let Some((told, heard)) = self.told else {
            return Pressure(average.at(now)).max(own);
        };
        let since = outstanding.saturating_sub(self.outstanding);
        let added = Pressure::of(since as usize, slots as usize);
        let news = Pressure(1.0).decayed(heard, now).0;
        let there = told.0 * news + average.at(now) * (1.0 - news);
        Pressure(there + added.0).max(own)
    }
}

/// How long work takes on the instance of an upstream, as it said last.
#[derive(Debug, Clone, Copy, Default)]
pub struct PaceReport(Option<(Pace, Instant)>);

impl PaceReport {
    /// Notes how long work takes there.
    pub fn record(&mut self, now: Instant, pace: Pace) {
        self.0 = Some((pace, now));
    }

    /// Returns how many times as long as usual work takes there, as far as that is still known.
    #[must_use]
    pub fn factor(&self, now: Instant) -> f64 {
        let Some((pace, heard)) = self.0 else {
            return 1.0;
        };
        let age = now.saturating_duration_since(heard);
        let old = age.saturating_sub(PACE_HOLD);
        1.0 + (pace.factor() - 1.0) * remaining(old, PACE_HALF_LIFE)
    }
}
