//! The expected latency of a request.

use crate::latencies::{BUCKETS, bucket};

/// The expected latency of a request, from the statistics of its kind and service.
#[derive(Debug, Clone)]
pub struct Estimate {
    /// The mean latency at an average upstream, in seconds.
    pub(crate) mean: f64,
    /// The slot time, in seconds: the mean duration of the requests that hold a slot of the service at
    /// a random moment. Long requests weigh more in it than in the mean of all requests.
    pub(crate) slot_time: f64,
    /// The time left until the deadline, in seconds.
    pub(crate) time_left: f64,
    /// The share of the kind's answers that take longer than the upper bound of each bucket.
    pub(crate) tail: Option<[f32; BUCKETS]>,
}

impl Estimate {
    /// Returns the estimate for a request of which only the time left is known.
    #[must_use]
    pub fn unknown(time_left: f64) -> Self {
        Self {
            mean: 1.0,
            slot_time: 1.0,
            time_left,
            tail: None,
        }
    }

    /// Returns the expected share of such requests that miss their deadline at an upstream whose
    /// latency is `slowness` times that of the others.
    pub(crate) fn late_share(&self, slowness: f64) -> f64 {
        let Some(tail) = &self.tail else {
            return 0.0;
        };
        f64::from(tail[bucket(self.time_left / slowness)])
    }
}
