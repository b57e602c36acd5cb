//! Limits the rate of log events by sampling requests.

use std::time::{Duration, Instant};

use sailtrack_units::RequestId;

use crate::key::AttemptKey;

/// Target rate in events per second. A line costs some 10 us of processor time, so these take
/// 0.025 % of a core.
pub(super) const TARGET_RATE: u32 = 25;
/// Hard limit in events per second, which applies until the sampling ratio has adapted to the load.
pub(super) const MAX_RATE: u32 = 2 * TARGET_RATE;
/// Smallest sampling ratio, one request in 65,536; above zero, so that the ratio can grow again.
const MIN_THRESHOLD: u64 = u64::MAX >> 16;
/// How long one sampling ratio applies.
const WINDOW: Duration = Duration::from_secs(1);

/// The events that were left out in one window.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Summary {
    /// The category of the events.
    pub(super) about: &'static str,
    pub(super) left_out: u32,
    /// The percentage of requests of which every event was written; zero if the hard limit cut off
    /// events of sampled requests as well.
    pub(super) kept_percent: u32,
    /// The length of the window.
    pub(super) span: Duration,
}

/// Whether an event is written, and the summary of the last window to write before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Decision {
    pub(super) is_kept: bool,
    pub(super) summary: Option<Summary>,
}

/// Samples requests, so that the rate of their log events stays bounded.
///
/// The choice depends on a hash of the request id, which the calls made for the request share.
/// All nodes therefore sample the same requests, and the events of a sampled request are complete.
#[derive(Debug)]
pub(super) struct Sampler {
    about: &'static str,
    window_start: Instant,
    /// Requests whose hash is greater are left out.
    threshold: u64,
    written: u32,
    left_out: u32,
    /// The events of sampled requests, including those beyond the hard limit.
    sampled: u32,
}

impl Sampler {
    pub(super) fn new(about: &'static str, now: Instant) -> Self {
        Self {
            about,
            window_start: now,
            threshold: u64::MAX,
            written: 0,
            left_out: 0,
            sampled: 0,
        }
    }

    /// Decides whether to write an event of a request.
    pub(super) fn sample(&mut self, attempt: &AttemptKey, now: Instant) -> Decision {
        let is_over = now.saturating_duration_since(self.window_start) >= WINDOW;
        let summary = if is_over { self.end_window(now) } else { None };
        let is_sampled = hash(attempt) <= self.threshold;
        let is_kept = is_sampled && self.written < MAX_RATE;
        self.sampled += u32::from(is_sampled);
        if is_kept {
            self.written += 1;
        } else {
            self.left_out += 1;
        }
        Decision { is_kept, summary }
    }

    fn end_window(&mut self, now: Instant) -> Option<Summary> {
        let is_complete = self.sampled == self.written;
        let summary = (self.left_out > 0).then(|| Summary {
            about: self.about,
            left_out: self.left_out,
            kept_percent: if is_complete { self.kept_percent() } else { 0 },
            span: now.saturating_duration_since(self.window_start),
        });
        self.threshold = self.next_threshold();
        self.window_start = now;
        self.written = 0;
        self.left_out = 0;
        self.sampled = 0;
        summary
    }

    /// Returns the threshold that would bring the current load to the target rate, at most twice
    /// the current threshold.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss
    )]
    fn next_threshold(&self) -> u64 {
        let factor = (f64::from(TARGET_RATE) / f64::from(self.sampled.max(1))).min(2.0);
        // The conversion saturates at the maximum, at which every request is sampled.
        let threshold = (self.threshold as f64 * factor) as u64;
        threshold.max(MIN_THRESHOLD)
    }

    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss
    )]
    fn kept_percent(&self) -> u32 {
        (self.threshold as f64 / u64::MAX as f64 * 100.0) as u32
    }
}

/// Hashes the root of a request id, which calls made for a request share as a prefix of their ids.
fn hash(attempt: &AttemptKey) -> u64 {
    let id = attempt.as_str();
    let root = id.split_once('.').map_or(id, |(root, _)| root);
    // Load shedding goes by the high bits of the same hash. With the bits reversed, sampling does
    // not depend on which requests are shed.
    RequestId::from_key(root).stable_hash().reverse_bits()
}
