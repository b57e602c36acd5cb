//! How long the answers of a service take, by kind.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use sailtrack_units::KindName;

use crate::estimate::Estimate;
use crate::speed::Speed;

/// The end of the first bucket, in seconds; each further one ends at the root of two times that.
const FIRST_BUCKET: f64 = 0.001;
/// The last bucket ends near 30 s.
pub(crate) const BUCKETS: usize = 30;
/// The answers of a kind after which half of what is counted is forgotten.
const MOST_COUNTED: f32 = 512.0;
/// The answers from which on the spread of a kind is believed.
const LEAST_COUNTED: f32 = 30.0;
/// The weight of the newest answer of a kind. It is above that of an upstream's speed, so that
/// what slows down all upstreams is seen as the kind's and not as theirs.
const NEWEST_WEIGHT: f64 = 0.15;
/// The weight of the newest answer in the means.
const MEAN_WEIGHT: f64 = 0.05;
/// The most kinds of a service that are known; the one that was answered longest ago is forgotten.
const MOST_KINDS: usize = 64;
/// The most that is taken out of a time for the queue before an upstream, in multiples of the time
/// that an answer takes without it.
const MOST_WAIT: f64 = 3.0;

/// An answer, or the end of waiting for one.
#[derive(Debug, Clone, Copy)]
pub struct Sample {
    /// How long it took.
    pub time: Duration,
    /// How full the upstream was, as a share of its slots.
    pub pressure: f64,
    /// How many times as long as usual work took on its instance.
    pub pace: f64,
    /// Whether it was answered; if not, it would have taken longer.
    pub is_answered: bool,
}

/// How long the answers of a kind take at a usual upstream.
#[derive(Debug, Clone)]
struct Kind {
    /// The logarithm of the seconds,
    log: f64,
    /// and the seconds.
    mean: f64,
    counts: [f32; BUCKETS],
    counted: f32,
    answered: Instant,
}

/// How long the answers of a service take.
#[derive(Debug, Clone, Default)]
pub struct Latencies {
    kinds: HashMap<KindName, Kind>,
    /// The mean of the seconds and of their squares.
    mean: Option<(f64, f64)>,
}

impl Latencies {
    /// Takes in an answer of an upstream whose speed is learned with it.
    pub fn record(&mut self, kind: &KindName, speed: &mut Speed, now: Instant, sample: Sample) {
        let wait = (sample.pressure - 1.0).clamp(0.0, MOST_WAIT);
        let time = sample.time.as_secs_f64().max(FIRST_BUCKET) / sample.pace / (1.0 + wait);
        let slowness = speed.slowness(now);
        let Some(known) = self.kinds.get_mut(kind) else {
            if sample.is_answered {
                self.learn(kind, now, time / slowness);
            }
            return;
        };
        let expected = known.log + speed.log(now);
        if !sample.is_answered && time.ln() <= expected {
            // It ended before an answer was due, and says nothing.
            return;
        }
        let log = time.ln();
        speed.record(now, log - known.log);
        known.record(now, time / slowness, log - expected);
        self.note_mean(time / slowness);
    }

    /// Returns what a request of a kind needs that has this much time left.
    #[must_use]
    pub fn estimate(&self, kind: &KindName, time_left: Duration) -> Estimate {
        let time_left = time_left.as_secs_f64();
        let Some((mean, square)) = self.mean else {
            return Estimate::unknown(time_left);
        };
        let known = self.kinds.get(kind);
        Estimate {
            mean: known.map_or(mean, |known| known.mean),
            slot_time: square / mean,
            time_left,
            longer: known.and_then(Kind::longer),
        }
    }

    /// Returns the time in which this share of a kind's answers comes, if that is known.
    #[must_use]
    pub fn quantile(&self, kind: &KindName, share: f32) -> Option<Duration> {
        let longer = self.kinds.get(kind)?.longer()?;
        let place = longer.iter().position(|longer| 1.0 - longer >= share)?;
        Some(Duration::from_secs_f64(end(place)))
    }

    fn learn(&mut self, kind: &KindName, now: Instant, time: f64) {
        if self.kinds.len() >= MOST_KINDS {
            let oldest = self.kinds.iter().min_by_key(|(_, known)| known.answered);
            let oldest = oldest.map(|(name, _)| name.clone());
            oldest.map(|name| self.kinds.remove(&name));
        }
        let mut known = Kind {
            log: time.ln(),
            mean: time,
            counts: [0.0; BUCKETS],
            counted: 0.0,
            answered: now,
        };
        known.count(time);
        self.kinds.insert(kind.clone(), known);
        self.note_mean(time);
    }

    fn note_mean(&mut self, time: f64) {
        let (mean, square) = self.mean.get_or_insert((time, time * time));
        *mean += (time - *mean) * MEAN_WEIGHT;
        *square += (time * time - *square) * MEAN_WEIGHT;
    }
}

impl Kind {
    fn record(&mut self, now: Instant, time: f64, surprise: f64) {
        self.log += surprise.clamp(-1.0, 1.0) * NEWEST_WEIGHT;
        self.mean += (time - self.mean) * MEAN_WEIGHT;
        self.answered = now;
        self.count(time);
    }

    fn count(&mut self, time: f64) {
        if self.counted >= MOST_COUNTED {
            self.counts.iter_mut().for_each(|count| *count /= 2.0);
            self.counted /= 2.0;
        }
        self.counts[bucket(time)] += 1.0;
        self.counted += 1.0;
    }

    /// Returns the share of answers that takes longer than each bucket ends.
    fn longer(&self) -> Option<[f32; BUCKETS]> {
        if self.counted < LEAST_COUNTED {
            return None;
        }
        let mut left = self.counted;
        Some(self.counts.map(|count| {
            left -= count;
            left.max(0.0) / self.counted
        }))
    }
}

/// Returns the bucket that a number of seconds falls into.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub(crate) fn bucket(time: f64) -> usize {
    let place = (time.max(FIRST_BUCKET) / FIRST_BUCKET).log2() * 2.0;
    (place.ceil() as usize).min(BUCKETS - 1)
}

#[allow(clippy::cast_precision_loss)]
fn end(bucket: usize) -> f64 {
    FIRST_BUCKET * 2f64.powf(bucket as f64 / 2.0)
}
