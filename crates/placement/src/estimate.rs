//! What a request needs of an upstream.

use crate::latencies::{BUCKETS, bucket};

/// What a request needs of an upstream, as far as it is known of its kind and service.
#[derive(Debug, Clone)]
pub struct Estimate {
    /// How long an answer takes at a usual upstream, in seconds.
    pub(crate) mean: f64,
    /// How long what takes the slots of the service holds one, in seconds.
    pub(crate) slot_time: f64,
    /// How much time the caller leaves, in seconds.
    pub(crate) time_left: f64,
    /// The share of the kind's answers that takes longer than each bucket ends.
    pub(crate) longer: Option<[f32; BUCKETS]>,
}

impl Estimate {
    /// Returns the need of a request of which only the time left is known.
    #[must_use]
    pub fn unknown(time_left: f64) -> Self {
        Self {
            mean: 1.0,
            slot_time: 1.0,
            time_left,
            longer: None,
        }
    }

    /// Returns the share of such requests that does not end in time at an upstream that takes
    /// `slowness` times as long as the others.
    pub(crate) fn late(&self, slowness: f64) -> f64 {
        let Some(longer) = &self.longer else {
            return 0.0;
        };
        f64::from(longer[bucket(self.time_left / slowness)])
    }
}
