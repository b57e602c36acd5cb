//! What a node has learned about one member from the answers to its calls.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use sailtrack_units::{KindName, Rank};
use sailtrack_wire::{Outcome, Reason};

use crate::call::Answer;
use crate::routing::decay::Level;
use sailtrack_admission::Pressure;

/// This many failures in a row eject a member.
const FAILURES_TO_EJECT: u32 = 3;
/// How long a member is ejected the first time; each further time doubles it.
const FIRST_EJECTION: Duration = Duration::from_millis(500);
/// The longest ejection.
const MAX_EJECTION: Duration = Duration::from_secs(8);

/// What a node has learned about one member.
#[derive(Debug, Default)]
pub(crate) struct PeerLoad {
    /// Calls sent and not answered yet.
    pub(crate) outstanding: u32,
    levels: HashMap<KindName, Level>,
    pressure: Option<(Pressure, Instant)>,
    failures: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
}

impl PeerLoad {
    /// Returns the rank that the member admits for requests of this kind.
    pub(crate) fn level(&self, now: Instant, root_kind: &KindName) -> Rank {
        let level = self.levels.get(root_kind);
        level.map_or(Rank::LOWEST, |level| level.at(now))
    }

    /// Returns how full the member is, as far as is known; it has this many slots.
    pub(crate) fn pressure(&self, now: Instant, slots: f64) -> Pressure {
        let local = Pressure(f64::from(self.outstanding) / slots);
        let reported = self
            .pressure
            .map_or(Pressure::default(), |(reported, reported_at)| {
                reported.decayed(reported_at, now)
            });
        reported.max(local)
    }

    /// Notes what an answer says about the member.
    pub(crate) fn record_answer(&mut self, now: Instant, root_kind: &KindName, answer: &Answer) {
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

    /// Returns true while no call is sent to the member.
    pub(crate) fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Returns true if a call may be sent; a member that returns gets one at a time.
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

/// Returns true if the answer speaks against the member itself, not against its load.
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
