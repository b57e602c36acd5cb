//! A rate limit on the calls to an upstream.
//!
//! The calls are spaced evenly, with a small burst for what arrives at once. Nodes whose calls are
//! refused are each given a time for their next one, so that together they use the rate and few of
//! their calls are refused again.

#[cfg(test)]
mod tests;

use std::time::{Duration, Instant};

use sailtrack_quota::Bucket;
use sailtrack_units::Rate;

/// An upstream that accepts fewer calls than that, or none, gets one call in this time: only its
/// response shows that the limit has ended.
const PROBE_INTERVAL: Duration = Duration::from_secs(5);
/// The burst, in addition to one call: many times the resolution of timers.
const BURST_SECONDS: f64 = 0.05;
/// A low rate has one more call as its burst, if that is due within this time. Without it, what is
/// due while no call arrives is lost.
const LOW_RATE_BURST_SECONDS: f64 = 0.4;
/// How much faster than the rate turns follow each other: not every node has a call when its turn
/// comes.
const TURN_OVERBOOKING: f64 = 2.0;
/// The longest time until a turn. The nodes learn within it that the limit has ended, and hundreds
/// of them are still refused only some hundred times a second.
const MAX_TURN: Duration = Duration::from_secs(2);
/// How many seconds' worth of calls an upstream may have got in the second before it lowered its
/// limit. What exceeds that is worked off.
const MAX_PRIOR_SECONDS: f64 = 3.0;
/// The longest time in which it is worked off.
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// Limits the rate of calls.
#[derive(Debug)]
pub(crate) struct Limiter {
    rate: Rate,
    bucket: Bucket,
    refilled: Instant,
    /// When the next refused call gets its turn.
    next_turn: Instant,
}

impl Limiter {
    /// Returns a limiter for an upstream that got `recent` calls in the last second.
    pub(crate) fn new(rate: Rate, recent: u32, now: Instant) -> Self {
        let mut limiter = Self {
            rate,
            bucket: Bucket::default(),
            refilled: now,
            next_turn: now,
        };
        limiter.pay_off(recent);
        limiter
    }

    /// Changes the rate. The tokens stay, since it may change with each response.
    pub(crate) fn set_rate(&mut self, rate: Rate, recent: u32, now: Instant) {
        self.refill(now);
        let is_lower = rate < self.rate;
        self.rate = rate;
        self.bucket.truncate(self.capacity());
        if is_lower {
            self.pay_off(recent);
        }
    }

    pub(crate) fn rate(&self) -> Rate {
        self.rate
    }

    /// Returns true if a call may be sent now.
    pub(crate) fn has_token(&mut self, now: Instant) -> bool {
        self.refill(now);
        self.bucket.tokens() >= 1.0
    }

    /// Counts a call that is sent.
    pub(crate) fn take(&mut self) {
        self.bucket.take(1.0);
    }

    /// Returns the time until a call may be sent.
    pub(crate) fn time_until_token(&mut self, now: Instant) -> Duration {
        self.refill(now);
        let time = self.bucket.time_until(1.0, self.per_second());
        time.unwrap_or(PROBE_INTERVAL)
    }

    /// Returns how many calls may be sent within a time.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "negative numbers become zero, and rates are far below the maximum"
    )]
    pub(crate) fn calls_within(&mut self, time: Duration, now: Instant) -> usize {
        self.refill(now);
        let calls = self.bucket.tokens() + self.per_second() * time.as_secs_f64();
        calls.max(0.0) as usize
    }

    /// Returns how long a node whose call was refused should wait before it sends another one.
    pub(crate) fn turn(&mut self, now: Instant) -> Duration {
        let first = now + self.time_until_token(now).min(MAX_TURN);
        let spacing = 1.0 / (self.per_second() * TURN_OVERBOOKING);
        let spacing = Duration::from_secs_f64(spacing).min(MAX_TURN);
        let turn = self.next_turn.max(first);
        self.next_turn = (turn + spacing).min(now + MAX_TURN);
        turn.saturating_duration_since(now)
    }

    /// The rate at which calls are sent, in calls per second.
    fn per_second(&self) -> f64 {
        self.rate.0.max(1.0 / PROBE_INTERVAL.as_secs_f64())
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled);
        self.bucket
            .refill(self.per_second(), self.capacity(), elapsed);
        self.refilled = now;
    }

    fn capacity(&self) -> f64 {
        let rate = self.per_second();
        let burst = rate * BURST_SECONDS;
        1.0 + burst.max((rate * LOW_RATE_BURST_SECONDS).min(1.0))
    }

    /// Delays the next calls if the upstream got many times its limit in the last second.
    fn pay_off(&mut self, recent: u32) {
        let excess = f64::from(recent) - self.per_second() * MAX_PRIOR_SECONDS;
        if excess > 0.0 {
            let longest = self.per_second() * MAX_PAUSE.as_secs_f64();
            self.bucket.truncate(-excess.min(longest));
        }
    }
}

/// The number of slices of [`Recent`].
const SLICES: usize = 10;
/// The length of a slice.
const SLICE: Duration = Duration::from_millis(100);

/// Counts the calls of the last second.
#[derive(Debug)]
pub(crate) struct Recent {
    slices: [u32; SLICES],
    current: usize,
    /// When the current slice began.
    began: Instant,
}

impl Recent {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            slices: [0; SLICES],
            current: 0,
            began: now,
        }
    }

    /// Counts a call.
    pub(crate) fn record(&mut self, now: Instant) {
        self.advance(now);
        self.slices[self.current] += 1;
    }

    /// Returns the number of calls in the last second.
    pub(crate) fn count(&mut self, now: Instant) -> u32 {
        self.advance(now);
        self.slices.iter().sum()
    }

    fn advance(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.began);
        if elapsed >= SLICE * 10 {
            *self = Self::new(now);
            return;
        }
        while now.saturating_duration_since(self.began) >= SLICE {
            self.began += SLICE;
            self.current = (self.current + 1) % SLICES;
            self.slices[self.current] = 0;
        }
    }
}
