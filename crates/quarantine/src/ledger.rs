//! What is held against requests that ran when upstreams ended.
//!
//! Whatever ran when an upstream ended may have ended it, most of it did not.
//! So evidence is weighed by four things:
//!
//! - **Generations.** A crash counts as a further one only if the request was
//!   sent by somebody who knew of the crashes before it. A failure domain that
//!   loses all its upstreams at once is one crash to whatever ran in several
//!   of them.
//! - **Good ends.** A request that ended well after a crash is cleared. One
//!   that ends whatever runs it never does.
//! - **Trials.** A request that was there twice runs one at a time, beside no
//!   other one on trial, at the upstream that all nodes prefer for it. Only a
//!   crash under a trial puts it into quarantine: the second one if another
//!   suspect ran there, the first one if four upstreams had ended under it.
//! - **Familiarity.** What ended well lately needs two more crashes.
//!
//! In the load model, with 100 requests in each of 20 upstreams: of 44,103
//! requests without fault that ran when upstreams crashed once a second, 1 was
//! put into quarantine; of 76,958 beside harmful ones and 1.4 crashes a second
//! 7, where it was 32 of 69,670 without the last rule. A harmful request ended
//! three or four upstreams.

mod entry;
mod record;

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use sailtrack_units::Moment;

use crate::familiar::Familiar;
use crate::identity::{Caller, Identity};
use crate::standing::Standing;
pub(crate) use entry::{Beside, Entry, incarnation_hash};
pub use record::Record;

/// How long a request without a verdict is remembered: callers that send one again do so after
/// seconds or a few minutes.
const MEMORY: Duration = Duration::from_mins(10);
/// The most requests that are remembered, some 100 bytes each: the requests of 80 crashes with a
/// hundred in each.
const MOST_ENTRIES: usize = 8192;
/// The most of one caller. One that makes up harmful requests pushes out its own.
const MOST_OF_CALLER: usize = 2048;
/// How many lifted verdicts are remembered, so that a node that comes back does not bring them up
/// again.
const MOST_CLEARED: usize = 256;
/// The most records that a node which connects is told; of many nodes each tells other ones.
const MOST_TOLD: usize = 128;

/// One request that ran when an upstream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Execution {
    /// The request.
    pub identity: Identity,
    /// The generation of crashes that was known when it was sent.
    pub known_crashes: u8,
    /// It ended well lately where the upstream crashed.
    pub succeeded_recently: bool,
}

/// The end of a life of an upstream.
#[derive(Debug, Clone, Copy)]
pub struct Crash<'a> {
    /// Names the life; several nodes may tell of the same one.
    pub incarnation: &'a str,
    /// What ran there, as far as the teller knows.
    pub in_flight: &'a [Execution],
    /// Nothing else ran there.
    pub is_complete: bool,
}

/// What is held against requests.
#[derive(Debug, Default)]
pub struct Ledger {
    entries: HashMap<Identity, Entry>,
    of_caller: HashMap<Caller, usize>,
    cleared: VecDeque<(Identity, Moment)>,
    familiar: Familiar,
}

impl Ledger {
    /// Returns true if nothing is held against any request.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns how many requests are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns how many requests are in quarantine.
    #[must_use]
    pub fn quarantined_count(&self, now: Moment) -> usize {
        let all = self.entries.values();
        all.filter(|entry| entry.standing(now).is_quarantined())
            .count()
    }

    /// Returns what is held against a request.
    #[must_use]
    pub fn standing(&self, identity: &Identity, now: Moment) -> Standing {
        let entry = self.entries.get(identity);
        entry.map_or(Standing::Clear, |entry| entry.standing(now))
    }

    /// Takes in a crash; returns the requests that are in quarantine by it.
    pub fn record_crash(&mut self, crash: Crash<'_>, now: Moment) -> Vec<Identity> {
        let incarnation = incarnation_hash(crash.incarnation);
        let mut verdicts = Vec::new();
        let suspects = crash
            .in_flight
            .iter()
            .filter(|execution| execution.known_crashes > 0)
            .count();
        let was_alone = crash.is_complete && crash.in_flight.len() == 1;
        for execution in crash.in_flight {
            let beside = Beside {
                was_alone,
                had_suspects: suspects > usize::from(execution.known_crashes > 0),
            };
            self.make_room(execution.identity, now);
            let succeeded_recently =
                execution.succeeded_recently || self.succeeded_recently(&execution.identity, now);
            let entry = self.entries.entry(execution.identity).or_insert_with(|| {
                *self
                    .of_caller
                    .entry(execution.identity.caller())
                    .or_default() += 1;
                Entry::new(now)
            });
            entry.remember_success(succeeded_recently);
            if entry.record_crash(incarnation, execution.known_crashes, beside, now) {
                verdicts.push(execution.identity);
            }
        }
        verdicts
    }

    /// Returns true if a request ended well lately, as far as is known here.
    #[must_use]
    pub fn succeeded_recently(&self, identity: &Identity, now: Moment) -> bool {
        self.familiar.contains(identity, now)
    }

    /// Takes in that a request ended well here, without clearing it.
    pub fn remember_success(&mut self, identity: &Identity, now: Moment) {
        self.familiar.note(identity, now);
    }

    /// Takes in that a request ended well; returns what was held against it.
    pub fn record_success(&mut self, identity: &Identity, now: Moment) -> Standing {
        self.familiar.note(identity, now);
        if self.entries.is_empty() {
            return Standing::Clear;
        }
        let before = self.standing(identity, now);
        self.forget(identity);
        before
    }

    /// Clears a request on somebody's word; returns true if something was held against it.
    pub fn clear(&mut self, identity: &Identity, now: Moment) -> bool {
        self.cleared.push_back((*identity, now));
        if self.cleared.len() > MOST_CLEARED {
            self.cleared.pop_front();
        }
        self.forget(identity)
    }

    /// Takes in what another node holds against a request.
    pub fn merge(&mut self, record: &Record, now: Moment) {
        let crashed = now.before(record.age);
        let is_cleared =
            |(identity, at): &(Identity, Moment)| *identity == record.identity && *at > crashed;
        if self.cleared.iter().any(is_cleared) {
            return;
        }
        self.make_room(record.identity, now);
        let entry = self.entries.entry(record.identity).or_insert_with(|| {
            *self.of_caller.entry(record.identity.caller()).or_default() += 1;
            Entry::new(crashed)
        });
        entry.merge(record, now);
    }

    /// Returns what a node that connects is to know: trials and quarantine, the newest first.
    #[must_use]
    pub fn snapshot(&self, now: Moment) -> Vec<Record> {
        let mut records = self.records(now);
        records.truncate(MOST_TOLD);
        records
    }

    /// Returns all requests that are on trial or in quarantine, the newest first.
    #[must_use]
    pub fn records(&self, now: Moment) -> Vec<Record> {
        let graver = self.entries.iter();
        let graver = graver.filter(|(_, entry)| entry.standing(now).is_restricted());
        let mut records: Vec<Record> = graver
            .map(|(identity, entry)| entry.record(*identity, now))
            .collect();
        records.sort_by_key(|record| (record.age, record.identity));
        records
    }

    fn forget(&mut self, identity: &Identity) -> bool {
        // Whoever names it may not know who answers for it.
        let Some((known, _)) = self.entries.remove_entry(identity) else {
            return false;
        };
        let caller = known.caller();
        if let Some(count) = self.of_caller.get_mut(&caller) {
            *count -= 1;
            if *count == 0 {
                self.of_caller.remove(&caller);
            }
        }
        true
    }

    /// Makes room for one more request of the same caller, or of any.
    fn make_room(&mut self, identity: Identity, now: Moment) {
        if self.entries.contains_key(&identity) {
            return;
        }
        let caller = identity.caller();
        let of_caller = self.of_caller.get(&caller).copied().unwrap_or_default();
        if of_caller >= MOST_OF_CALLER {
            self.forget_least(Some(caller), now);
        } else if self.entries.len() >= MOST_ENTRIES {
            let largest = self.of_caller.iter().max_by_key(|(_, count)| **count);
            let largest = largest.map(|(caller, _)| *caller);
            self.forget_least(largest, now);
        }
    }

    /// Forgets the request that matters least: what is over first, then the oldest suspects.
    fn forget_least(&mut self, caller: Option<Caller>, now: Moment) {
        let of_caller = self
            .entries
            .iter()
            .filter(|(identity, _)| caller.is_none_or(|caller| identity.caller() == caller));
        let least = of_caller.min_by_key(|(_, entry)| entry.weight(now));
        let least = least.map(|(identity, _)| *identity);
        if let Some(least) = least {
            self.forget(&least);
        }
    }
}
