//! What is held against one request.

use std::time::Duration;

use sailtrack_units::Moment;

use crate::identity::Identity;
use crate::ledger::{MEMORY, Record};
use crate::standing::Standing;

/// From this generation on a request runs on trial only. One request in some hundred that ran
/// beside a harmful one is there a second time, since what was lost together is repeated together.
const TRIAL_GENERATION: u8 = 2;
/// From this generation on it is in quarantine. The last crash was under a trial, where the other
/// ones that were there twice do not run.
const QUARANTINE_GENERATION: u8 = 3;
/// So many upstreams that ended under it put it on trial in the first generation too: callers may
/// send one request to several upstreams at the same moment.
const TRIAL_LIVES: usize = 3;
/// So many upstreams that ended under it suffice with a crash under a trial. Where a request came
/// in at several places at once and ended all upstreams, their return would be ended three times
/// more before the generations tell.
const PROOF_LIVES: usize = 4;
/// How many more crashes that follow each other it takes if the request ended well lately: many
/// callers may make it. Killing all upstreams twice, 0.6 s apart, put such a request into
/// quarantine in one of three runs without this.
const FAMILIAR_GENERATIONS: u8 = 2;
/// How long the quarantine of a request lasts, each time a trial fails. Upstreams are mended and
/// replaced within minutes or hours; three more crashes in seven hours are what it costs to find
/// out, and one a day after that.
const TERMS: [Duration; 4] = [
    Duration::from_mins(10),
    Duration::from_hours(1),
    Duration::from_hours(6),
    Duration::from_hours(24),
];

/// Returns the number by which a life is remembered.
pub(crate) fn incarnation_hash(incarnation: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(incarnation.as_bytes())
}

/// What ran beside a request when an upstream ended.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Beside {
    /// Nothing did.
    pub(crate) was_alone: bool,
    /// Another one did that had been there before when an upstream ended.
    pub(crate) had_suspects: bool,
}

/// The quarantine of a request.
#[derive(Debug, Clone, Copy)]
struct Sentence {
    until: Moment,
    /// How many trials failed, the one that led here included.
    quarantine_count: u8,
}

/// What is held against one request.
#[derive(Debug, Clone)]
pub(crate) struct Entry {
    consecutive_crashes: u8,
    /// The lives that ended under it, as many as matter.
    incarnations: [u64; TRIAL_LIVES],
    incarnations_known: usize,
    /// It was on trial at some time, or nothing ran beside it when an upstream ended.
    on_trial: bool,
    /// It ended well lately before an upstream ended under it.
    succeeded_recently: bool,
    last_crash: Moment,
    sentence: Option<Sentence>,
}

impl Entry {
    pub(crate) fn new(crashed: Moment) -> Self {
        Self {
            consecutive_crashes: 0,
            incarnations: [0; TRIAL_LIVES],
            incarnations_known: 0,
            on_trial: false,
            succeeded_recently: false,
            last_crash: crashed,
            sentence: None,
        }
    }

    /// Returns what is held against the request.
    pub(crate) fn standing(&self, now: Moment) -> Standing {
        let known_crashes = self.consecutive_crashes;
        match self.sentence {
            Some(sentence) if sentence.until > now => Standing::Quarantined {
                remaining: sentence.until.since(now),
            },
            Some(_) => Standing::OnTrial { known_crashes },
            None if now.since(self.last_crash) > MEMORY => Standing::Clear,
            None if self.on_trial => Standing::OnTrial { known_crashes },
            None => Standing::Suspected { known_crashes },
        }
    }

    /// Takes in a crash; returns true if the request is in quarantine by it.
    pub(crate) fn record_crash(
        &mut self,
        incarnation: u64,
        known_crashes: u8,
        beside: Beside,
        now: Moment,
    ) -> bool {
        if self.standing(now) == Standing::Clear {
            *self = Self {
                succeeded_recently: self.succeeded_recently,
                ..Self::new(now)
            };
        }
        let is_new = self.note_incarnation(incarnation);
        let consecutive_crashes = known_crashes.saturating_add(1);
        let was_in_quarantine = self.standing(now).is_quarantined();
        let is_further = consecutive_crashes > self.consecutive_crashes;
        self.consecutive_crashes = self.consecutive_crashes.max(consecutive_crashes);
        self.last_crash = now;
        self.on_trial |= beside.was_alone
            || self.consecutive_crashes >= TRIAL_GENERATION
            || self.incarnations_known >= TRIAL_LIVES;
        if was_in_quarantine || !(is_further || is_new) {
            return false;
        }
        if !self.is_proved(beside) {
            return false;
        }
        self.sentence_again(now);
        true
    }

    /// Notes whether it ended well lately.
    pub(crate) fn remember_success(&mut self, succeeded_recently: bool) {
        self.succeeded_recently |= succeeded_recently;
    }

    /// Returns true if what is known suffices for quarantine.
    fn is_proved(&self, beside: Beside) -> bool {
        let extra = if self.succeeded_recently {
            FAMILIAR_GENERATIONS
        } else {
            0
        };
        let needed = QUARANTINE_GENERATION + u8::from(beside.had_suspects) + extra;
        let ended_many = self.incarnations_known >= PROOF_LIVES && !self.succeeded_recently;
        self.consecutive_crashes >= needed
            || (self.consecutive_crashes >= TRIAL_GENERATION && ended_many)
    }

    fn note_incarnation(&mut self, incarnation: u64) -> bool {
        if self.incarnations[..self.incarnations_known.min(TRIAL_LIVES)].contains(&incarnation) {
            return false;
        }
        self.incarnations[self.incarnations_known % TRIAL_LIVES] = incarnation;
        self.incarnations_known = (self.incarnations_known + 1).min(2 * TRIAL_LIVES);
        true
    }

    fn sentence_again(&mut self, now: Moment) {
        let quarantine_count = self
            .sentence
            .map_or(0, |sentence| sentence.quarantine_count);
        let term = TERMS[usize::from(quarantine_count).min(TERMS.len() - 1)];
        self.sentence = Some(Sentence {
            until: now + term,
            quarantine_count: quarantine_count.saturating_add(1),
        });
    }

    /// Takes in what another node holds against it, if that is more.
    pub(crate) fn merge(&mut self, record: &Record, now: Moment) {
        self.consecutive_crashes = self.consecutive_crashes.max(record.consecutive_crashes);
        self.last_crash = self.last_crash.max(now.before(record.age));
        self.on_trial = true;
        self.succeeded_recently |= record.succeeded_recently;
        if record.quarantine_count == 0 {
            return;
        }
        let told = Sentence {
            until: now + record.remaining,
            quarantine_count: record.quarantine_count,
        };
        let own = self.sentence.map_or((0, Moment::default()), Sentence::rank);
        if told.rank() > own {
            self.sentence = Some(told);
        }
    }

    /// Returns what other nodes are told about it.
    pub(crate) fn record(&self, identity: Identity, now: Moment) -> Record {
        Record {
            identity,
            consecutive_crashes: self.consecutive_crashes,
            age: now.since(self.last_crash),
            remaining: self
                .sentence
                .map_or(Duration::ZERO, |sentence| sentence.until.since(now)),
            quarantine_count: self
                .sentence
                .map_or(0, |sentence| sentence.quarantine_count),
            succeeded_recently: self.succeeded_recently,
        }
    }

    /// Returns how much it matters that it is remembered.
    pub(crate) fn weight(&self, now: Moment) -> (u8, Moment) {
        let grade = match self.standing(now) {
            Standing::Clear => 0,
            Standing::Suspected { .. } => 1,
            Standing::OnTrial { .. } => 2,
            Standing::Quarantined { .. } => 3,
        };
        (grade, self.last_crash)
    }
}

impl Sentence {
    fn rank(self) -> (u8, Moment) {
        (self.quarantine_count, self.until)
    }
}
