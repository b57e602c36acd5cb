//! The crash evidence against one request.

use std::time::Duration;

use sailtrack_units::Moment;

use crate::identity::Identity;
use crate::ledger::{Record, SUSPECT_LIFETIME};
use crate::standing::Standing;

/// Consecutive crashes from which a request runs on trial. Requests lost together are retried
/// together, so about one in a hundred that ran beside a poison request is in flight at its next
/// crash too.
const TRIAL_CRASHES: u8 = 2;
/// Consecutive crashes from which a request is quarantined. The last one happened during a trial,
/// where no other request with two crashes runs.
const QUARANTINE_CRASHES: u8 = 3;
/// Crashed upstream incarnations from which a request runs on trial even without consecutive
/// crashes: callers may send one request to several upstreams at the same moment.
const TRIAL_INCARNATIONS: usize = 3;
/// Crashed upstream incarnations from which one crash during a trial is enough for quarantine. If a
/// request was sent to several places at once and crashed all upstreams, counting consecutive
/// crashes alone would let it crash them three more times after they return.
const QUARANTINE_INCARNATIONS: usize = 4;
/// Additional consecutive crashes required if the request succeeded recently, since many callers may
/// send it. Without this, killing all upstreams twice, 0.6 s apart, quarantined such a request in
/// one of three runs.
const RECENT_SUCCESS_CRASHES: u8 = 2;
/// The duration of each successive quarantine of a request; the last one repeats. Upstreams are
/// fixed and replaced within minutes or hours. A trial after each expiry costs three more crashes
/// in the first seven hours, then one a day.
const QUARANTINE_DURATIONS: [Duration; 4] = [
    Duration::from_mins(10),
    Duration::from_hours(1),
    Duration::from_hours(6),
    Duration::from_hours(24),
];

/// Returns the hash under which an upstream incarnation is stored.
pub(crate) fn incarnation_hash(incarnation: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(incarnation.as_bytes())
}

/// What else was in flight when an upstream crashed.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Concurrency {
    /// No other request.
    pub(crate) was_alone: bool,
    /// At least one other request that had been in flight at an earlier crash.
    pub(crate) had_suspects: bool,
}

/// The quarantine of a request.
#[derive(Debug, Clone, Copy)]
struct Quarantine {
    until: Moment,
    /// The number of quarantines so far, this one included.
    count: u8,
}

/// The crash evidence against one request.
#[derive(Debug, Clone)]
pub(crate) struct Entry {
    consecutive_crashes: u8,
    /// Hashes of the last upstream incarnations that crashed while running it.
    incarnations: [u64; TRIAL_INCARNATIONS],
    /// The number of distinct incarnations, counted up to twice the length of `incarnations`.
    incarnation_count: usize,
    /// It runs on trial rather than as a mere suspect: after two consecutive crashes, a crash with no
    /// other request in flight, or crashes of several upstreams.
    on_trial: bool,
    /// It succeeded shortly before an upstream crashed while running it.
    succeeded_recently: bool,
    last_crash: Moment,
    quarantine: Option<Quarantine>,
}

impl Entry {
    pub(crate) fn new(crashed: Moment) -> Self {
        Self {
            consecutive_crashes: 0,
            incarnations: [0; TRIAL_INCARNATIONS],
            incarnation_count: 0,
            on_trial: false,
            succeeded_recently: false,
            last_crash: crashed,
            quarantine: None,
        }
    }

    /// Returns how to handle the request.
    pub(crate) fn standing(&self, now: Moment) -> Standing {
        let known_crashes = self.consecutive_crashes;
        match self.quarantine {
            Some(quarantine) if quarantine.until > now => Standing::Quarantined {
                remaining: quarantine.until.since(now),
            },
            Some(_) => Standing::OnTrial { known_crashes },
            None if now.since(self.last_crash) > SUSPECT_LIFETIME => Standing::Clear,
            None if self.on_trial => Standing::OnTrial { known_crashes },
            None => Standing::Suspected { known_crashes },
        }
    }

    /// Records a crash; returns true if it puts the request into quarantine.
    pub(crate) fn record_crash(
        &mut self,
        incarnation: u64,
        known_crashes: u8,
        concurrency: Concurrency,
        now: Moment,
    ) -> bool {
        if self.standing(now) == Standing::Clear {
            *self = Self {
                succeeded_recently: self.succeeded_recently,
                ..Self::new(now)
            };
        }
        let is_new = self.note_incarnation(incarnation);
        let crashes = known_crashes.saturating_add(1);
        let was_in_quarantine = self.standing(now).is_quarantined();
        let is_consecutive = crashes > self.consecutive_crashes;
        self.consecutive_crashes = self.consecutive_crashes.max(crashes);
        self.last_crash = now;
        self.on_trial |= concurrency.was_alone
            || self.consecutive_crashes >= TRIAL_CRASHES
            || self.incarnation_count >= TRIAL_INCARNATIONS;
        if was_in_quarantine || !(is_consecutive || is_new) {
            return false;
        }
        if !self.has_enough_evidence(concurrency) {
            return false;
        }
        self.quarantine(now);
        true
    }

    /// Notes whether it succeeded recently.
    pub(crate) fn note_recent_success(&mut self, succeeded_recently: bool) {
        self.succeeded_recently |= succeeded_recently;
    }

    /// Returns true if the evidence suffices for quarantine.
    fn has_enough_evidence(&self, concurrency: Concurrency) -> bool {
        let extra = if self.succeeded_recently {
            RECENT_SUCCESS_CRASHES
        } else {
            0
        };
        let needed = QUARANTINE_CRASHES + u8::from(concurrency.had_suspects) + extra;
        let crashed_many =
            self.incarnation_count >= QUARANTINE_INCARNATIONS && !self.succeeded_recently;
        self.consecutive_crashes >= needed
            || (self.consecutive_crashes >= TRIAL_CRASHES && crashed_many)
    }

    /// Adds a crashed incarnation; returns false if it is already known.
    fn note_incarnation(&mut self, incarnation: u64) -> bool {
        if self.incarnations[..self.incarnation_count.min(TRIAL_INCARNATIONS)]
            .contains(&incarnation)
        {
            return false;
        }
        self.incarnations[self.incarnation_count % TRIAL_INCARNATIONS] = incarnation;
        self.incarnation_count = (self.incarnation_count + 1).min(2 * TRIAL_INCARNATIONS);
        true
    }

    /// Starts the next quarantine, longer than the one before.
    fn quarantine(&mut self, now: Moment) {
        let count = self.quarantine.map_or(0, |quarantine| quarantine.count);
        let duration = QUARANTINE_DURATIONS[usize::from(count).min(QUARANTINE_DURATIONS.len() - 1)];
        self.quarantine = Some(Quarantine {
            until: now + duration,
            count: count.saturating_add(1),
        });
    }

    /// Merges the evidence of another node, keeping the stronger of each.
    pub(crate) fn merge(&mut self, record: &Record, now: Moment) {
        self.consecutive_crashes = self.consecutive_crashes.max(record.consecutive_crashes);
        self.last_crash = self.last_crash.max(now.before(record.age));
        self.on_trial = true;
        self.succeeded_recently |= record.succeeded_recently;
        if record.quarantine_count == 0 {
            return;
        }
        let reported = Quarantine {
            until: now + record.remaining,
            count: record.quarantine_count,
        };
        let own = self
            .quarantine
            .map_or((0, Moment::default()), Quarantine::rank);
        if reported.rank() > own {
            self.quarantine = Some(reported);
        }
    }

    /// Returns the record to send to other nodes.
    pub(crate) fn record(&self, identity: Identity, now: Moment) -> Record {
        Record {
            identity,
            consecutive_crashes: self.consecutive_crashes,
            age: now.since(self.last_crash),
            remaining: self
                .quarantine
                .map_or(Duration::ZERO, |quarantine| quarantine.until.since(now)),
            quarantine_count: self.quarantine.map_or(0, |quarantine| quarantine.count),
            succeeded_recently: self.succeeded_recently,
        }
    }

    /// Returns the key by which entries are evicted, lowest first.
    pub(crate) fn retention_priority(&self, now: Moment) -> (u8, Moment) {
        let rank = match self.standing(now) {
            Standing::Clear => 0,
            Standing::Suspected { .. } => 1,
            Standing::OnTrial { .. } => 2,
            Standing::Quarantined { .. } => 3,
        };
        (rank, self.last_crash)
    }
}

impl Quarantine {
    fn rank(self) -> (u8, Moment) {
        (self.count, self.until)
    }
}
