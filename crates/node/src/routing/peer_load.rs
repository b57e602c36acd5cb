//! The load and health of one member, as seen in its answers.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use sailtrack_units::{KindName, Rank};
use sailtrack_wire::{Outcome, Reason};

use crate::call::Answer;
use crate::routing::decay::Level;
use sailtrack_admission::Pressure;

/// Number of consecutive failures after which a member is ejected.
const FAILURES_TO_EJECT: u32 = 3;
/// Duration of the first ejection; each further one doubles it.
const FIRST_EJECTION: Duration = Duration::from_millis(500);
/// Upper bound of an ejection.
const MAX_EJECTION: Duration = Duration::from_secs(8);

/// The load and health of one member.
#[derive(Debug, Default)]
pub(crate) struct PeerLoad {
    /// Calls sent but not answered yet.
    pub(crate) outstanding: u32,
    levels: HashMap<KindName, Level>,
    pressure: Option<(Pressure, Instant)>,
    failures: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
}

impl PeerLoad {
    /// Returns the rank that the member requires for requests of this kind.
    pub(crate) fn level(&self, now: Instant, root_kind: &KindName) -> Rank {
        let level = self.levels.get(root_kind);
        level.map_or(Rank::LOWEST, |level| level.at(now))
    }

    /// Returns the pressure of the member, which has this many slots: the larger of its decayed
    /// report and the calls outstanding from here.
    pub(crate) fn pressure(&self, now: Instant, slots: f64) -> Pressure {
        let local = Pressure(f64::from(self.outstanding) / slots);
        let reported = self
            .pressure
            .map_or(Pressure::default(), |(reported, reported_at)| {
                reported.decayed(reported_at, now)
            });
        reported.max(local)
    }

    /// Updates load and health from an answer of the member.
    pub(crate) fn observe(&mut self, now: Instant, root_kind: &KindName, answer: &Answer) {
        if is_failure(answer) {
            self.record_failure(now, answer.reason == Reason::Connection);
            return;
        }
        self.pressure = Some((answer.pressure, now));
        let level = Level::new(answer.level, now);
        self.levels.insert(root_kind.clone(), level);
        if answer.outcome == Outcome::Done {
            self.failures = 0;
            self.ejections = 0;
            self.ejected_until = None;
        }
    }

    /// Returns true while the member is ejected and gets no calls.
    pub(crate) fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Returns true if a call may be sent; after an ejection, a member gets one trial call at a
    /// time until one succeeds.
    pub(crate) fn is_available(&self, now: Instant) -> bool {
        match self.ejected_until {
            None => true,
            Some(until) => now >= until && self.outstanding == 0,
        }
    }

    fn record_failure(&mut self, now: Instant, unreachable: bool) {
        self.failures += 1;
        if !unreachable && self.failures < FAILURES_TO_EJECT {
            return;
        }
        let doublings = self.ejections.min(4);
        let length = (FIRST_EJECTION * 2u32.pow(doublings)).min(MAX_EJECTION);
        self.ejected_until = Some(now + length);
        self.ejections += 1;
        self.failures = 0;
    }
}

/// Returns true if the answer indicates a failure of the member itself rather than overload.
fn is_failure(answer: &Answer) -> bool {
    match answer.outcome {
        Outcome::Done => false,
        Outcome::NotRun => matches!(
            answer.reason,
            Reason::Connection | Reason::NoUpstream | Reason::Draining | Reason::NotConfigured
        ),
        Outcome::Unknown => matches!(answer.reason, Reason::Connection | Reason::Deadline),
    }
}
