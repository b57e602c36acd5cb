//! What a node has learned about one other node from the answers to its requests.

#[cfg(test)]
mod tests;

use std::time::{Duration, Instant};

use sailtrack_admission::Pressure;
use sailtrack_wire::{Outcome, Reason};

use crate::work::Returned;

/// The weight of the newest answer in the averages.
const NEWEST_WEIGHT: f64 = 0.1;
/// After this time without an answer nothing is known about how long one takes.
const TIME_MEMORY: Duration = Duration::from_secs(2);
/// After this time without requests half of the failures count.
const FAILING_HALF_LIFE: Duration = Duration::from_secs(1);
/// The greatest share of failures that counts.
const MOST_FAILING: f64 = 0.9;
/// What an empty upstream costs beside the slots that are taken: one fifth of a full one, so that
/// time decides between upstreams that are nearly empty.
const EMPTY_COST: f64 = 0.2;
/// This many failures in a row keep requests away from a node.
const FAILURES_TO_EJECT: u32 = 5;
/// For how long they do the first time; each further time doubles it.
const FIRST_EJECTION: Duration = Duration::from_millis(300);
/// How often it doubles at most.
const MOST_DOUBLINGS: u32 = 4;

/// What a node has learned about one other node.
#[derive(Debug, Default)]
pub(crate) struct PeerLoad {
    /// Requests sent and not answered yet.
    pub(crate) outstanding: u32,
    told: Option<(Pressure, Instant)>,
    /// How long an answer takes on average, in seconds,
    time: f64,
    /// and when the last one came.
    answered_at: Option<Instant>,
    /// The share of requests that failed lately,
    failing: f64,
    /// and when that was last seen.
    failed_at: Option<Instant>,
    failures: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
}

impl PeerLoad {
    /// Notes how full the node says that it is.
    pub(crate) fn note_told(&mut self, now: Instant, percent: u32) {
        self.told = Some((Pressure::from_percent(percent), now));
    }

    /// Notes what became of a request after `time`.
    pub(crate) fn note(&mut self, now: Instant, time: Duration, returned: &Returned) {
        self.told = Some((returned.pressure, now));
        let failed = is_failure(returned);
        let before = self.failing(now);
        self.failing = before + (f64::from(u8::from(failed)) - before) * NEWEST_WEIGHT;
        self.failed_at = Some(now);
        if returned.reason == Reason::UpstreamShed {
            // The next request may be let in; without any the service would be gone.
            return;
        }
        if failed {
            self.note_failure(now);
            return;
        }
        if returned.outcome == Outcome::Done {
            let known = self.time(now).unwrap_or(time.as_secs_f64());
            self.time = known + (time.as_secs_f64() - known) * NEWEST_WEIGHT;
            self.answered_at = Some(now);
            self.failures = 0;
            self.ejections = 0;
            self.ejected_until = None;
        }
    }

    /// Returns how full the node is, as far as is known; its upstream has this many slots.
    pub(crate) fn pressure(&self, now: Instant, slots: u32) -> Pressure {
        let own = Pressure::of(self.outstanding as usize, slots as usize);
        let told = self.told.map(|(told, heard)| told.faded(heard, now));
        told.unwrap_or_default().greater(own)
    }

    /// Returns how long an answer takes on average, in seconds, if that is known.
    pub(crate) fn time(&self, now: Instant) -> Option<f64> {
        let answered = self.answered_at?;
        let age = now.saturating_duration_since(answered);
        (age < TIME_MEMORY).then_some(self.time)
    }

    /// Returns how many times the time of an answer one more request is expected to cost.
    ///
    /// A node that fails a share of its requests looks slower by as many repeats.
    pub(crate) fn weight(&self, now: Instant, slots: u32) -> f64 {
        let share = f64::from(self.outstanding + 1) / f64::from(slots.max(1));
        let served = 1.0 - self.failing(now).min(MOST_FAILING);
        (EMPTY_COST + share) / served.powi(2)
    }

    /// Forgets what was learned, as another upstream stands there now.
    pub(crate) fn renew(&mut self) {
        *self = Self {
            outstanding: self.outstanding,
            ..Self::default()
        };
    }

    /// Returns the share of requests that failed lately; without new ones it fades, or a node
    /// that failed once would get nothing by which it could show that it no longer does.
    pub(crate) fn failing(&self, now: Instant) -> f64 {
        let age = self
            .failed_at
            .map_or(Duration::ZERO, |seen| now.saturating_duration_since(seen));
        self.failing * 0.5_f64.powf(age.as_secs_f64() / FAILING_HALF_LIFE.as_secs_f64())
    }

    /// Returns true if a request may be sent; a node that returns gets one at a time.
    pub(crate) fn is_available(&self, now: Instant) -> bool {
        match self.ejected_until {
            None => true,
            Some(until) => now >= until && self.outstanding == 0,
        }
    }

    fn note_failure(&mut self, now: Instant) {
        self.failures += 1;
        if self.failures < FAILURES_TO_EJECT {
            return;
        }
        let doublings = self.ejections.min(MOST_DOUBLINGS);
        self.ejected_until = Some(now + FIRST_EJECTION * 2u32.pow(doublings));
        self.ejections += 1;
        self.failures = 0;
    }
}

/// Returns true if what became of a request speaks against the node itself, not its load.
fn is_failure(returned: &Returned) -> bool {
    match returned.outcome {
        Outcome::Done => returned.status >= 500 && !returned.failed_below,
        Outcome::NotRun => match returned.reason {
            Reason::Overload | Reason::Quarantined | Reason::OnTrial => false,
            _ => !returned.absent_below,
        },
        Outcome::Unknown => true,
    }
}
