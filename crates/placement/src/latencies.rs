//! Latency statistics of a service, by kind of request.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use sailtrack_units::KindName;

use crate::estimate::Estimate;
use crate::speed::Speed;

/// The upper bound of the first bucket, in seconds; each further bound is the square root of two
/// times the one before.
const FIRST_BUCKET_S: f64 = 0.001;
/// The number of buckets; the last one covers latencies up to about 30 s.
pub(crate) const BUCKETS: usize = 30;
/// The number of counted answers of a kind at which all counts are halved.
const MAX_COUNTED: f32 = 512.0;
/// The number of answers from which the distribution of a kind is used.
const MIN_COUNTED: f32 = 30.0;
/// The weight of the newest answer in the average of a kind. It is greater than that in the speed of
/// an upstream, so that a slowdown of all upstreams is attributed to the kind and not to each of them.
const LOG_WEIGHT: f64 = 0.15;
/// The weight of the newest answer in the moving averages of seconds and squares.
const MEAN_WEIGHT: f64 = 0.05;
/// The maximum number of kinds per service; beyond it the least recently answered kind is evicted.
const MAX_KINDS: usize = 64;
/// The maximum queueing delay that is deducted from a measured latency, in multiples of the latency
/// without a queue.
const MAX_QUEUE_FACTOR: f64 = 3.0;

/// A measured latency: of an answer, or of a wait that was given up.
#[derive(Debug, Clone, Copy)]
pub struct Sample {
    /// The time until the answer, or until the wait ended.
    pub time: Duration,
    /// The pressure of the upstream: running and waiting requests as a share of its slots.
    pub pressure: f64,
    /// The factor by which work on its instance took longer than usual.
    pub pace: f64,
    /// Whether there was an answer; if not, `time` is only a lower bound.
    pub is_answered: bool,
}

/// The latency of one kind of request at an average upstream.
#[derive(Debug, Clone)]
struct Latency {
    /// The average of the logarithm of the seconds.
    mean_log: f64,
    /// The average of the seconds.
    mean: f64,
    counts: [f32; BUCKETS],
    total: f32,
    last_answer: Instant,
}

/// The latency statistics of a service.
#[derive(Debug, Clone, Default)]
pub struct Latencies {
    kinds: HashMap<KindName, Latency>,
    /// The averages of the seconds and of their squares, over all kinds.
    mean: Option<(f64, f64)>,
}

impl Latencies {
    /// Records a sample of an upstream, and updates the speed of the upstream with it.
    pub fn record(&mut self, kind: &KindName, speed: &mut Speed, now: Instant, sample: Sample) {
        let queue_factor = (sample.pressure - 1.0).clamp(0.0, MAX_QUEUE_FACTOR);
        let time =
            sample.time.as_secs_f64().max(FIRST_BUCKET_S) / sample.pace / (1.0 + queue_factor);
        let slowness = speed.slowness(now);
        let Some(known) = self.kinds.get_mut(kind) else {
            if sample.is_answered {
                self.insert(kind, now, time / slowness);
            }
            return;
        };
        let expected = known.mean_log + speed.log_slowness(now);
        if !sample.is_answered && time.ln() <= expected {
            // The wait ended before an answer was expected, so it carries no information.
            return;
        }
        let log_latency = time.ln();
        speed.record(now, log_latency - known.mean_log);
        known.record(now, time / slowness, log_latency - expected);
        self.update_mean(time / slowness);
    }

    /// Returns the estimate for a request of a kind with this much time left.
    #[must_use]
    pub fn estimate(&self, kind: &KindName, time_left: Duration) -> Estimate {
        let time_left = time_left.as_secs_f64();
        let Some((mean, mean_square)) = self.mean else {
            return Estimate::unknown(time_left);
        };
        let known = self.kinds.get(kind);
        Estimate {
            mean: known.map_or(mean, |known| known.mean),
            slot_time: mean_square / mean,
            time_left,
            tail: known.and_then(Latency::tail),
        }
    }

    /// Returns the time within which this share of a kind's answers arrive, if enough are known.
    #[must_use]
    pub fn quantile(&self, kind: &KindName, share: f32) -> Option<Duration> {
        let tail = self.kinds.get(kind)?.tail()?;
        let index = tail.iter().position(|above| 1.0 - above >= share)?;
        Some(Duration::from_secs_f64(bucket_end(index)))
    }

    fn insert(&mut self, kind: &KindName, now: Instant, time: f64) {
        if self.kinds.len() >= MAX_KINDS {
            let oldest = self.kinds.iter().min_by_key(|(_, known)| known.last_answer);
            let oldest = oldest.map(|(name, _)| name.clone());
            oldest.map(|name| self.kinds.remove(&name));
        }
        let mut known = Latency {
            mean_log: time.ln(),
            mean: time,
            counts: [0.0; BUCKETS],
            total: 0.0,
            last_answer: now,
        };
        known.count(time);
        self.kinds.insert(kind.clone(), known);
        self.update_mean(time);
    }

    fn update_mean(&mut self, time: f64) {
        let (mean, mean_square) = self.mean.get_or_insert((time, time * time));
        *mean += (time - *mean) * MEAN_WEIGHT;
        *mean_square += (time * time - *mean_square) * MEAN_WEIGHT;
    }
}

impl Latency {
    fn record(&mut self, now: Instant, time: f64, deviation: f64) {
        self.mean_log += deviation.clamp(-1.0, 1.0) * LOG_WEIGHT;
        self.mean += (time - self.mean) * MEAN_WEIGHT;
        self.last_answer = now;
        self.count(time);
    }

    fn count(&mut self, time: f64) {
        if self.total >= MAX_COUNTED {
            self.counts.iter_mut().for_each(|count| *count /= 2.0);
            self.total /= 2.0;
        }
        self.counts[bucket(time)] += 1.0;
        self.total += 1.0;
    }

    /// Returns the share of answers that take longer than the upper bound of each bucket.
    fn tail(&self) -> Option<[f32; BUCKETS]> {
        if self.total < MIN_COUNTED {
            return None;
        }
        let mut left = self.total;
        Some(self.counts.map(|count| {
            left -= count;
            left.max(0.0) / self.total
        }))
    }
}

/// Returns the bucket for a latency in seconds.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub(crate) fn bucket(time: f64) -> usize {
    let index = (time.max(FIRST_BUCKET_S) / FIRST_BUCKET_S).log2() * 2.0;
    (index.ceil() as usize).min(BUCKETS - 1)
}

#[allow(clippy::cast_precision_loss)]
fn bucket_end(bucket: usize) -> f64 {
    FIRST_BUCKET_S * 2f64.powf(bucket as f64 / 2.0)
}
