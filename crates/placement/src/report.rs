//! The last load report of an upstream, weighted by its age.

use std::time::{Duration, Instant};

use sailtrack_admission::Pressure;
use sailtrack_units::Pace;

use crate::average::Average;
use crate::decay::remaining;

/// A reported pace is used unchanged for this long.
const PACE_FRESH_FOR: Duration = Duration::from_millis(100);
/// After that its deviation from the usual pace decays with this half-life: noisy neighbours on an
/// instance come and go within some tenths of a second.
const PACE_HALF_LIFE: Duration = Duration::from_millis(200);

/// The last pressure that an upstream reported.
#[derive(Debug, Clone, Copy, Default)]
pub struct LoadReport {
    reported: Option<(Pressure, Instant)>,
    /// The requests from this node that were outstanding at the time of the report.
    outstanding: u32,
}

impl LoadReport {
    /// Records a reported pressure, received while `outstanding` requests from this node were under
    /// way.
    pub fn record(&mut self, now: Instant, pressure: Pressure, outstanding: u32) {
        self.reported = Some((pressure, now));
        self.outstanding = outstanding;
    }

    /// Returns true if there has been a report.
    #[must_use]
    pub fn is_known(&self) -> bool {
        self.reported.is_some()
    }

    /// Returns the estimated pressure, including the requests that this node sent there since the
    /// report.
    ///
    /// As the report ages, the average of the upstreams of its locality takes its place. If old
    /// reports counted as no load, two overloaded failure domains would send their excess requests to
    /// each other.
    #[must_use]
    pub fn pressure(
        &self,
        now: Instant,
        outstanding: u32,
        slots: u32,
        average: &Average,
    ) -> Pressure {
        let own = Pressure::of(outstanding as usize, slots as usize);
        let Some((reported, received)) = self.reported else {
            return Pressure(average.at(now)).max(own);
        };
        let sent_since = outstanding.saturating_sub(self.outstanding);
        let added = Pressure::of(sent_since as usize, slots as usize);
        let freshness = Pressure(1.0).decayed(received, now).0;
        let blended = reported.0 * freshness + average.at(now) * (1.0 - freshness);
        Pressure(blended + added.0).max(own)
    }
}

/// The last pace that an upstream reported: how long work takes on its instance relative to usual.
#[derive(Debug, Clone, Copy, Default)]
pub struct PaceReport(Option<(Pace, Instant)>);

impl PaceReport {
    /// Records a reported pace.
    pub fn record(&mut self, now: Instant, pace: Pace) {
        self.0 = Some((pace, now));
    }

    /// Returns the factor by which work there takes longer than usual, decayed towards 1 if the report
    /// is old.
    #[must_use]
    pub fn factor(&self, now: Instant) -> f64 {
        let Some((pace, received)) = self.0 else {
            return 1.0;
        };
        let age = now.saturating_duration_since(received);
        let stale = age.saturating_sub(PACE_FRESH_FOR);
        1.0 + (pace.factor() - 1.0) * remaining(stale, PACE_HALF_LIFE)
    }
}
