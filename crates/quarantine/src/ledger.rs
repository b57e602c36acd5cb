//! Records which requests were in flight when upstreams crashed, and decides which to quarantine.
//!
//! Any request in flight at a crash may have caused it, but most did not. The
//! evidence against a request is weighed by four rules:
//!
//! - **Consecutive crashes.** A crash adds to a request's count only if the
//!   request was sent with knowledge of its earlier crashes. If a failure
//!   domain loses all its upstreams at once, that counts as one crash for a
//!   request that ran on several of them.
//! - **Success.** A request that succeeds after a crash is cleared. A poison
//!   request, which crashes every upstream that runs it, never succeeds.
//! - **Trials.** After its second consecutive crash, a request runs on trial:
//!   one at a time, never beside another request on trial, on the upstream that
//!   all nodes prefer for it. So does one that was alone at a crash, or that
//!   was in flight on three crashed upstreams. Only a crash during a trial
//!   leads to quarantine, normally the third consecutive crash. It takes a
//!   fourth one if another suspect was in flight at the third, and the second
//!   one is enough if four upstreams crashed while running the request.
//! - **Recent success.** A request that succeeded recently needs two more
//!   crashes to be quarantined.
//!
//! In the load model with 20 upstreams running 100 requests each, and one
//! random crash per second, 1 of the 44,103 harmless requests in flight at a
//! crash was quarantined. With poison requests and 1.4 crashes per second it
//! was 7 of 76,958, and 32 of 69,670 without the recent success rule. A poison
//! request crashed three or four upstreams before it was quarantined.

mod entry;
mod record;

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use sailtrack_units::Moment;

use crate::identity::{Caller, Identity};
use crate::recent::Successes;
use crate::standing::Standing;
pub(crate) use entry::{Concurrency, Entry, incarnation_hash};
pub use record::Record;

/// How long a suspect that is not quarantined is remembered. Callers retry within seconds or a few
/// minutes.
const SUSPECT_LIFETIME: Duration = Duration::from_mins(10);
/// Maximum number of entries, about 100 bytes each: enough for 80 crashes with 100 requests each.
const MAX_ENTRIES: usize = 8192;
/// Maximum number of entries per caller, so that a caller that sends many distinct poison requests
/// evicts its own entries.
const MAX_ENTRIES_PER_CALLER: usize = 2048;
/// How many cleared requests are remembered, so that a reconnecting node does not restore their
/// quarantine.
const MAX_CLEARED: usize = 256;
/// How long after a crash it may still be reported.
const REPORT_DELAY: Duration = Duration::from_secs(3);
/// Maximum number of records sent to a node that connects. It receives further ones from other
/// nodes.
const MAX_SNAPSHOT: usize = 128;

/// One execution of a request that was in flight when an upstream crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Execution {
    /// The request.
    pub identity: Identity,
    /// The number of consecutive crashes that was known when the request was sent.
    pub known_crashes: u8,
    /// The same request succeeded recently on the node of the crashed upstream.
    pub succeeded_recently: bool,
}

/// The crash of one incarnation of an upstream.
#[derive(Debug, Clone, Copy)]
pub struct Crash<'a> {
    /// Identifies the incarnation; several nodes may report the same crash.
    pub incarnation: &'a str,
    /// The requests in flight there, as far as the reporting node knows.
    pub in_flight: &'a [Execution],
    /// No other requests were in flight there.
    pub is_complete: bool,
}

/// The crash evidence against requests, bounded in size.
#[derive(Debug, Default)]
pub struct Ledger {
    entries: HashMap<Identity, Entry>,
    caller_counts: HashMap<Caller, usize>,
    cleared: VecDeque<(Identity, Moment)>,
    recent: Successes,
}

impl Ledger {
    /// Returns true if there is no evidence against any request.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the number of requests with evidence against them, including expired evidence that has
    /// not been evicted.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns the number of requests in quarantine.
    #[must_use]
    pub fn quarantined_count(&self, now: Moment) -> usize {
        let all = self.entries.values();
        all.filter(|entry| entry.standing(now).is_quarantined())
            .count()
    }

    /// Returns how to handle a request.
    #[must_use]
    pub fn standing(&self, identity: &Identity, now: Moment) -> Standing {
        let entry = self.entries.get(identity);
        entry.map_or(Standing::Clear, |entry| entry.standing(now))
    }

    /// Records a crash and returns the requests it puts into quarantine.
    pub fn record_crash(&mut self, crash: Crash<'_>, now: Moment) -> Vec<Identity> {
        let incarnation = incarnation_hash(crash.incarnation);
        let mut quarantined = Vec::new();
        let suspects = crash
            .in_flight
            .iter()
            .filter(|execution| execution.known_crashes > 0)
            .count();
        let was_alone = crash.is_complete && crash.in_flight.len() == 1;
        for execution in crash.in_flight {
            let concurrency = Concurrency {
                was_alone,
                had_suspects: suspects > usize::from(execution.known_crashes > 0),
            };
            self.make_room(execution.identity, now);
            let succeeded_recently = execution.succeeded_recently
                || self.succeeded_recently(&execution.identity, now)
                || self.was_just_cleared(&execution.identity, now);
            let entry = self.entries.entry(execution.identity).or_insert_with(|| {
                *self
                    .caller_counts
                    .entry(execution.identity.caller())
                    .or_default() += 1;
                Entry::new(now)
            });
            entry.note_recent_success(succeeded_recently);
            if entry.record_crash(incarnation, execution.known_crashes, concurrency, now) {
                quarantined.push(execution.identity);
            }
        }
        quarantined
    }

    /// Returns true if a request succeeded recently on this node.
    #[must_use]
    pub fn succeeded_recently(&self, identity: &Identity, now: Moment) -> bool {
        self.recent.contains(identity, now)
    }

    /// Returns true if a request was cleared a moment ago. A crash that is reported now may have
    /// happened before that.
    fn was_just_cleared(&self, identity: &Identity, now: Moment) -> bool {
        let mut cleared = self.cleared.iter();
        cleared.any(|(known, at)| known == identity && now.since(*at) < REPORT_DELAY)
    }

    /// Records that this node's upstream answered a request, without clearing the request.
    pub fn remember_success(&mut self, identity: &Identity, now: Moment) {
        self.recent.insert(identity, now);
    }

    /// Clears a request that succeeded and returns its standing before that.
    pub fn record_success(&mut self, identity: &Identity, now: Moment) -> Standing {
        self.recent.insert(identity, now);
        if self.entries.is_empty() {
            return Standing::Clear;
        }
        let before = self.standing(identity, now);
        self.remove(identity);
        before
    }

    /// Clears a request explicitly; returns true if there was evidence against it.
    pub fn clear(&mut self, identity: &Identity, now: Moment) -> bool {
        self.cleared.push_back((*identity, now));
        if self.cleared.len() > MAX_CLEARED {
            self.cleared.pop_front();
        }
        self.remove(identity)
    }

    /// Merges the evidence of another node, unless the request was cleared here after its last crash.
    pub fn merge(&mut self, record: &Record, now: Moment) {
        let crashed = now.before(record.age);
        let is_cleared =
            |(identity, at): &(Identity, Moment)| *identity == record.identity && *at > crashed;
        if self.cleared.iter().any(is_cleared) {
            return;
        }
        self.make_room(record.identity, now);
        let entry = self.entries.entry(record.identity).or_insert_with(|| {
            *self
                .caller_counts
                .entry(record.identity.caller())
                .or_default() += 1;
            Entry::new(crashed)
        });
        entry.merge(record, now);
    }

    /// Returns the newest records on trial or in quarantine, to send to a node that connects.
    #[must_use]
    pub fn snapshot(&self, now: Moment) -> Vec<Record> {
        let mut records = self.records(now);
        records.truncate(MAX_SNAPSHOT);
        records
    }

    /// Returns all requests on trial or in quarantine, most recent crash first.
    #[must_use]
    pub fn records(&self, now: Moment) -> Vec<Record> {
        let restricted = self.entries.iter();
        let restricted = restricted.filter(|(_, entry)| entry.standing(now).is_restricted());
        let mut records: Vec<Record> = restricted
            .map(|(identity, entry)| entry.record(*identity, now))
            .collect();
        records.sort_by_key(|record| (record.age, record.identity));
        records
    }

    fn remove(&mut self, identity: &Identity) -> bool {
        // An identity parsed from text has no caller, so use the one of the stored key.
        let Some((known, _)) = self.entries.remove_entry(identity) else {
            return false;
        };
        let caller = known.caller();
        if let Some(count) = self.caller_counts.get_mut(&caller) {
            *count -= 1;
            if *count == 0 {
                self.caller_counts.remove(&caller);
            }
        }
        true
    }

    /// Evicts an entry if a new one for this request would exceed the limit per caller, or the total
    /// limit. In the latter case the caller with the most entries loses one.
    fn make_room(&mut self, identity: Identity, now: Moment) {
        if self.entries.contains_key(&identity) {
            return;
        }
        let caller = identity.caller();
        let caller_count = self.caller_counts.get(&caller).copied().unwrap_or_default();
        if caller_count >= MAX_ENTRIES_PER_CALLER {
            self.evict(Some(caller), now);
        } else if self.entries.len() >= MAX_ENTRIES {
            let largest = self.caller_counts.iter().max_by_key(|(_, count)| **count);
            let largest = largest.map(|(caller, _)| *caller);
            self.evict(largest, now);
        }
    }

    /// Removes the least important entry, of one caller if given: expired entries first, then suspects
    /// with the oldest crash.
    fn evict(&mut self, caller: Option<Caller>, now: Moment) {
        let candidates = self
            .entries
            .iter()
            .filter(|(identity, _)| caller.is_none_or(|caller| identity.caller() == caller));
        let least = candidates.min_by_key(|(_, entry)| entry.retention_priority(now));
        let least = least.map(|(identity, _)| *identity);
        if let Some(least) = least {
            self.remove(&least);
        }
    }
}
