//! Distinguishes an upstream that accepts requests now from late heartbeats of one that did so
//! before.
//!
//! A heartbeat describes its sender at the time when it was sent. It may have been held up until
//! after this process was started, and meanwhile an earlier process of the node may have
//! acknowledged that the sender retires. The answer to a health check was sent after the question,
//! but may be wrong. Neither counts alone: whoever answers well gets requests at once, and keeps
//! them if its heartbeats go on; whoever does not gets none before its heartbeats have gone on for
//! longer than late ones would.

#[cfg(test)]
mod tests;

use std::time::Duration;

use sailtrack_units::Moment;

use crate::key::UpstreamKey;

/// Heartbeats that arrive closer together may have been held up together. An upstream sends one
/// every 1.5 s.
const MIN_GAP: Duration = Duration::from_secs(1);
/// The longest time between two heartbeats in a row, one of which may be lost.
const MAX_GAP: Duration = Duration::from_millis(3500);
/// The number of heartbeats in a row that show by themselves that their sender is ready.
const PROOF: u32 = 3;
/// The number of heartbeats in a row that suffice for now if the sender answers no health checks,
/// as one does whose slots are all taken.
const PROOF_WITHOUT_ANSWER: u32 = 2;
/// How long an upstream gets requests without a heartbeat before it has sent enough of them.
const LEASE: Duration = Duration::from_secs(2);

/// What an incarnation answered to a health check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Answer {
    /// It accepts requests.
    Ready,
    /// It does not, or another one answered in its place.
    NotReady,
    /// There was no answer.
    Missing,
}

/// Heartbeats of one incarnation that arrived one after the other.
#[derive(Debug, Clone)]
struct Series {
    upstream: UpstreamKey,
    count: u32,
    sequence: u64,
    /// When the last one that counts arrived.
    last: Moment,
}

impl Series {
    /// Adds a heartbeat; returns false if it does not belong to this series.
    fn extend(&mut self, upstream: &UpstreamKey, sequence: u64, now: Moment) -> bool {
        let gap = now.since(self.last);
        if !self.upstream.is_same_incarnation(upstream) || gap > MAX_GAP {
            return false;
        }
        if sequence > self.sequence && gap >= MIN_GAP {
            self.count += 1;
            self.last = now;
        }
        self.sequence = self.sequence.max(sequence);
        true
    }
}

/// An incarnation that was accepted before its heartbeats alone showed that it is ready.
#[derive(Debug, Clone)]
struct Lease {
    upstream: UpstreamKey,
    until: Moment,
}

/// What this process has heard of the upstream since its start.
#[derive(Debug, Default)]
pub(crate) struct Evidence {
    series: Option<Series>,
    lease: Option<Lease>,
    /// The incarnation whose lease ended without heartbeats.
    lapsed: Option<UpstreamKey>,
}

impl Evidence {
    /// Adds a heartbeat.
    pub(super) fn record_heartbeat(&mut self, upstream: &UpstreamKey, sequence: u64, now: Moment) {
        let is_next = self
            .series
            .as_mut()
            .is_some_and(|series| series.extend(upstream, sequence, now));
        if !is_next {
            self.series = Some(Series {
                upstream: upstream.clone(),
                count: 1,
                sequence,
                last: now,
            });
        }
        let is_confirmed = self.is_proven(upstream);
        let lease = self.lease.as_mut();
        if let Some(lease) = lease.filter(|lease| lease.upstream.is_same_incarnation(upstream)) {
            lease.until = now + LEASE;
            if is_confirmed {
                self.lease = None;
            }
        }
    }

    /// Returns the number of heartbeats of an incarnation that came in a row.
    pub(super) fn count(&self, upstream: &UpstreamKey) -> u32 {
        let series = self.series.as_ref();
        let series = series.filter(|series| series.upstream.is_same_incarnation(upstream));
        series.map_or(0, |series| series.count)
    }

    /// Returns true if the heartbeats of an incarnation alone show that it is ready.
    pub(super) fn is_proven(&self, upstream: &UpstreamKey) -> bool {
        self.is_enough(upstream, Answer::NotReady)
    }

    /// Returns true if the heartbeats of an incarnation and its answer to a health check together
    /// show that it is ready.
    pub(super) fn is_enough(&self, upstream: &UpstreamKey, answer: Answer) -> bool {
        let lapsed = self.lapsed.as_ref();
        let has_lapsed = lapsed.is_some_and(|lapsed| lapsed.is_same_incarnation(upstream));
        let required = match answer {
            Answer::Ready if !has_lapsed => 0,
            Answer::Missing => PROOF_WITHOUT_ANSWER,
            Answer::Ready | Answer::NotReady => PROOF,
        };
        self.count(upstream) >= required
    }

    /// Begins the time in which heartbeats must confirm an incarnation that was accepted; returns
    /// false if they have done so.
    pub(super) fn begin_lease(&mut self, upstream: &UpstreamKey, now: Moment) -> bool {
        if self.is_proven(upstream) {
            self.lease = None;
            return false;
        }
        self.lease = Some(Lease {
            upstream: upstream.clone(),
            until: now + LEASE,
        });
        true
    }

    /// Returns how long an incarnation still gets requests without a heartbeat; `None` if it is
    /// confirmed.
    pub(super) fn lease_left(&self, upstream: &UpstreamKey, now: Moment) -> Option<Duration> {
        let lease = self.lease.as_ref();
        let lease = lease.filter(|lease| lease.upstream.is_same_incarnation(upstream))?;
        Some(lease.until.since(now))
    }

    /// Confirms the incarnation that has a lease, for another reason than its heartbeats.
    pub(super) fn confirm(&mut self) {
        self.lease = None;
    }

    /// Ends the lease of an incarnation that sent no heartbeats. Its answers to health checks do not
    /// count any more.
    pub(super) fn lapse(&mut self, upstream: &UpstreamKey) {
        self.lease = None;
        self.lapsed = Some(upstream.clone());
    }
}
