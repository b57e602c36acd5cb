//! Chooses the requests whose events are written while there are too many.

use std::time::{Duration, Instant};

use sailtrack_units::RequestId;

use crate::key::AttemptKey;

/// The events that are aimed at in one second; a line costs some 10 us of processor time, so these
/// take 0.025 % of a core.
pub(super) const AIM: u32 = 25;
/// The most in one second, while the share that is kept does not fit yet.
pub(super) const MOST: u32 = 2 * AIM;
/// The share that is kept at least, one request in 65,536, from which it can grow again.
const LEAST_THRESHOLD: u64 = u64::MAX >> 16;
/// How long a share is kept.
const ROUND: Duration = Duration::from_secs(1);

/// What was left out in one second.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Summary {
    /// What the events are about.
    pub(super) about: &'static str,
    pub(super) left_out: u32,
    /// The requests of which everything was written, in percent; zero if some events of these were
    /// left out as well.
    pub(super) kept_percent: u32,
    /// How long it took.
    pub(super) span: Duration,
}

/// Whether an event is written, and what has to be said before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Verdict {
    pub(super) is_kept: bool,
    pub(super) summary: Option<Summary>,
}

/// Chooses the requests whose events are written while there are too many.
///
/// A request is kept by a hash of its id, and its calls by the same one, so that all nodes keep
/// the same requests and what is written of one is its whole trail.
#[derive(Debug)]
pub(super) struct Sampler {
    about: &'static str,
    began: Instant,
    /// Requests whose hash is above are left out.
    threshold: u64,
    written: u32,
    left_out: u32,
    /// The events of requests that are kept, whether they fitted or not.
    chosen: u32,
}

impl Sampler {
    pub(super) fn new(about: &'static str, now: Instant) -> Self {
        Self {
            about,
            began: now,
            threshold: u64::MAX,
            written: 0,
            left_out: 0,
            chosen: 0,
        }
    }

    /// Decides about one event of a request.
    pub(super) fn judge(&mut self, attempt: &AttemptKey, now: Instant) -> Verdict {
        let is_over = now.saturating_duration_since(self.began) >= ROUND;
        let summary = if is_over { self.end_round(now) } else { None };
        let is_chosen = hash(attempt) <= self.threshold;
        let is_kept = is_chosen && self.written < MOST;
        self.chosen += u32::from(is_chosen);
        if is_kept {
            self.written += 1;
        } else {
            self.left_out += 1;
        }
        Verdict { is_kept, summary }
    }

    fn end_round(&mut self, now: Instant) -> Option<Summary> {
        let is_whole = self.chosen == self.written;
        let summary = (self.left_out > 0).then(|| Summary {
            about: self.about,
            left_out: self.left_out,
            kept_percent: if is_whole { self.kept_percent() } else { 0 },
            span: now.saturating_duration_since(self.began),
        });
        self.threshold = self.next_threshold();
        self.began = now;
        self.written = 0;
        self.left_out = 0;
        self.chosen = 0;
        summary
    }

    /// Returns the threshold with which the present flow fits, at most twice the present one.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss
    )]
    fn next_threshold(&self) -> u64 {
        let factor = (f64::from(AIM) / f64::from(self.chosen.max(1))).min(2.0);
        // The conversion saturates at the greatest value, which keeps all.
        let threshold = (self.threshold as f64 * factor) as u64;
        threshold.max(LEAST_THRESHOLD)
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

/// Returns the same for a request and the calls made for it, if their ids begin with its own.
fn hash(attempt: &AttemptKey) -> u64 {
    let id = attempt.as_str();
    let root = id.split_once('.').map_or(id, |(root, _)| root);
    // Turned round: by the first bits requests are shed, and those that are shed alike would be
    // kept alike.
    RequestId::from_key(root).stable_hash().reverse_bits()
}
