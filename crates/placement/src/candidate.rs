//! An upstream that a request could be sent to, and the expected cost of sending it there.

use rand::Rng;

use crate::estimate::Estimate;

/// The maximum failure rate that is taken into account.
const MAX_FAILURE_RATE: f64 = 0.9;
// The cost that one more request causes for the other requests of an upstream, in multiples of the
// slot time, for which a request usually holds a slot. It is the sum of three terms.

/// The term proportional to the pressure, at a pressure of 1. It is small, so that fast upstreams
/// fill up first.
const LOAD_COST: f64 = 0.5;
/// The term for saturation, once the last slot is taken. It grows while the last slots fill, so that
/// other upstreams are used before a queue forms.
const SATURATION_COST: f64 = 1.5;
/// The pressure from which the term for saturation applies.
const SATURATION_FROM: f64 = 0.75;
/// The term for the queue, at a queue of as many requests as there are slots.
const QUEUE_COST: f64 = 8.0;

/// The jitter on the reported pressure, as a share of it: other nodes have sent requests since the
/// report. It is drawn per request, so that many senders with the same report do not all choose the
/// same upstream.
const PRESSURE_JITTER: f64 = 0.2;

/// An upstream that a request could be sent to.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// Whether it is not ejected for recent failures.
    pub is_available: bool,
    /// The requests running and waiting there, as a share of its slots.
    pub pressure: f64,
    /// The share of its recent requests that failed.
    pub failure_rate: f64,
    /// Its current latency relative to the other upstreams of its service.
    pub slowness: f64,
    /// The uncertainty of `slowness`, as a difference of its natural logarithm.
    pub uncertainty: f64,
}

impl Candidate {
    /// Returns the candidate with jitter on its pressure and slowness, within what is uncertain.
    ///
    /// Without jitter on the slowness, the first upstream to have been measured would get all
    /// requests if it looked slightly faster than the unknown ones.
    pub(crate) fn perturbed(&self, random: &mut impl Rng) -> Self {
        let pressure =
            self.pressure * random.random_range(1.0 - PRESSURE_JITTER..1.0 + PRESSURE_JITTER);
        let uncertainty = self.uncertainty * random.random_range(-1.0..1.0);
        let slowness = self.slowness * uncertainty.exp();
        Self {
            pressure,
            slowness,
            ..*self
        }
    }

    /// Returns the expected cost of sending a request there, in seconds.
    #[must_use]
    pub fn cost(&self, estimate: &Estimate) -> f64 {
        let success_rate = 1.0 - self.failure_rate.min(MAX_FAILURE_RATE);
        let time = estimate.mean * self.slowness + estimate.slot_time * self.occupancy_cost();
        // Each failed request costs a repeat.
        time / success_rate.powi(2) + self.late_share(estimate) * estimate.time_left
    }

    /// Returns the expected share of such requests that miss their deadline there.
    pub(crate) fn late_share(&self, estimate: &Estimate) -> f64 {
        estimate.late_share(self.slowness * (1.0 + (self.pressure - 1.0).max(0.0)))
    }

    /// Returns the expected share of such requests that fail or miss their deadline.
    pub(crate) fn loss_rate(&self, estimate: &Estimate) -> f64 {
        self.failure_rate + self.late_share(estimate)
    }

    fn occupancy_cost(&self) -> f64 {
        let saturation =
            ((self.pressure - SATURATION_FROM) / (1.0 - SATURATION_FROM)).clamp(0.0, 1.0);
        let queue = (self.pressure - 1.0).max(0.0);
        LOAD_COST * self.pressure + SATURATION_COST * saturation.powi(2) + QUEUE_COST * queue
    }
}
