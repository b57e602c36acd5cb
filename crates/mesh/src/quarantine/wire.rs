//! Evidence, as messages between nodes.

use std::time::Duration;

use bytes::Bytes;
use sailtrack_quarantine::{Execution, Identity, Record};
use sailtrack_wire::{Evidence, Held, Ran as RanMessage};

use crate::key::UpstreamKey;

/// A crash that another node tells of.
pub(super) struct ToldCrash {
    pub(super) life: String,
    pub(super) ran: Vec<Execution>,
    pub(super) is_whole: bool,
}

/// Returns the message that tells of a crash.
pub(super) fn crash(upstream: &UpstreamKey, ran: &[Execution], is_whole: bool) -> Evidence {
    let ran = ran.iter().map(|one| RanMessage {
        identity: bytes(&one.identity),
        known: u32::from(one.known_crashes),
        familiar: one.succeeded_recently,
    });
    Evidence {
        upstream: upstream.to_string(),
        ran: ran.collect(),
        whole: is_whole,
        ..Evidence::default()
    }
}

/// Returns the message that clears a request.
pub(super) fn cleared(identity: &Identity) -> Evidence {
    Evidence {
        cleared: vec![bytes(identity)],
        ..Evidence::default()
    }
}

/// Returns the message that tells what is held against requests.
pub(super) fn held(records: &[Record]) -> Evidence {
    let held = records.iter().map(|record| Held {
        identity: bytes(&record.identity),
        generation: u32::from(record.consecutive_crashes),
        age_ms: millis(record.age),
        left_ms: millis(record.remaining),
        failed: u32::from(record.quarantine_count),
        familiar: record.succeeded_recently,
    });
    Evidence {
        held: held.collect(),
        ..Evidence::default()
    }
}

/// Returns what a message tells; what is no identity here names no request.
pub(super) fn read(evidence: &Evidence) -> (Option<ToldCrash>, Vec<Identity>, Vec<Record>) {
    let ran = evidence.ran.iter().filter_map(|one| {
        Some(Execution {
            identity: Identity::from_bytes(&one.identity)?,
            known_crashes: small(one.known),
            succeeded_recently: one.familiar,
        })
    });
    let crash = (!evidence.upstream.is_empty()).then(|| ToldCrash {
        life: evidence.upstream.clone(),
        ran: ran.collect(),
        is_whole: evidence.whole,
    });
    let cleared = evidence.cleared.iter();
    let cleared = cleared.filter_map(|bytes| Identity::from_bytes(bytes));
    let held = evidence.held.iter().filter_map(|held| {
        Some(Record {
            identity: Identity::from_bytes(&held.identity)?,
            consecutive_crashes: small(held.generation),
            age: Duration::from_millis(held.age_ms),
            remaining: Duration::from_millis(held.left_ms),
            quarantine_count: small(held.failed),
            succeeded_recently: held.familiar,
        })
    });
    (crash, cleared.collect(), held.collect())
}

fn bytes(identity: &Identity) -> Bytes {
    Bytes::copy_from_slice(&identity.to_bytes())
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

fn small(number: u32) -> u8 {
    u8::try_from(number).unwrap_or(u8::MAX)
}
