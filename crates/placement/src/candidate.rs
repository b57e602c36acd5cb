//! An upstream that may get a request, with what speaks for and against it.

use rand::Rng;

use crate::estimate::Estimate;

/// The greatest share of failures that counts.
const MOST_FAILING: f64 = 0.9;
// What one more request costs the others of an upstream, in multiples of the time for which a
// request usually holds a slot there. It is the sum of three parts.

/// The part that grows with the pressure, its value at a pressure of one. It is small, so that quick
/// upstreams are filled first.
const CROWD: f64 = 0.5;
/// The part that is added while the last slots fill, its value when the last one is taken: the
/// other upstreams are used before a queue begins.
const CROWDED: f64 = 1.5;
/// The pressure at which that part begins.
const CROWDED_FROM: f64 = 0.75;
/// The part of the queue, for each time that the queue could fill all slots.
const QUEUED: f64 = 8.0;

/// By how much an upstream may be fuller or emptier than it was told, as a share: others sent there
/// since. Each request draws it, so that many senders with the same news do not all choose the same.
const DOUBT: f64 = 0.2;

/// An upstream that may get a request.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// Whether it did not fail too often lately.
    pub is_available: bool,
    /// What runs and waits there, as a share of its slots.
    pub pressure: f64,
    /// The share of its requests that failed lately.
    pub failure_rate: f64,
    /// How many times as long as the others of its service it takes at this moment.
    pub slowness: f64,
    /// By how much it may be quicker or slower than that, as a logarithm.
    pub uncertainty: f64,
}

impl Candidate {
    /// Returns it with a pressure and a speed as they may be now. Without the second the first
    /// upstream that is known gets all requests if it looks a little quicker than unknown ones.
    pub(crate) fn perturbed(&self, random: &mut impl Rng) -> Self {
        let pressure = self.pressure * random.random_range(1.0 - DOUBT..1.0 + DOUBT);
        let uncertainty = self.uncertainty * random.random_range(-1.0..1.0);
        let slowness = self.slowness * uncertainty.exp();
        Self {
            pressure,
            slowness,
            ..*self
        }
    }

    /// Returns what a request costs there, in seconds.
    #[must_use]
    pub fn cost(&self, estimate: &Estimate) -> f64 {
        let served = 1.0 - self.failure_rate.min(MOST_FAILING);
        let time = estimate.mean * self.slowness + estimate.slot_time * self.crowd();
        // A node that fails a share of its requests costs as many repeats.
        time / served.powi(2) + self.late(estimate) * estimate.time_left
    }

    /// Returns the share of such requests that does not end in time there.
    pub(crate) fn late(&self, estimate: &Estimate) -> f64 {
        estimate.late(self.slowness * (1.0 + (self.pressure - 1.0).max(0.0)))
    }

    /// Returns the share of such requests from which the caller gets nothing.
    pub(crate) fn lost(&self, estimate: &Estimate) -> f64 {
        self.failure_rate + self.late(estimate)
    }

    fn crowd(&self) -> f64 {
        let crowded = ((self.pressure - CROWDED_FROM) / (1.0 - CROWDED_FROM)).clamp(0.0, 1.0);
        let queued = (self.pressure - 1.0).max(0.0);
        CROWD * self.pressure + CROWDED * crowded.powi(2) + QUEUED * queued
    }
}
