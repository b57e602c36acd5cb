//! Conversion of evidence from and to messages between nodes.

use std::time::Duration;

use bytes::Bytes;
use sailtrack_quarantine::{Execution, Identity, Record};
use sailtrack_wire::{Evidence, Held, Ran as RanMessage};

use crate::key::UpstreamKey;

/// A crash that another node reports.
pub(super) struct Crash {
    pub(super) incarnation: String,
    pub(super) in_flight: Vec<Execution>,
    pub(super) is_complete: bool,
}

/// Returns a message that reports a crash.
pub(super) fn encode_crash(
    upstream: &UpstreamKey,
    in_flight: &[Execution],
    is_complete: bool,
) -> Evidence {
    let executions = in_flight.iter().map(|one| RanMessage {
        identity: bytes(&one.identity),
        known: u32::from(one.known_crashes),
        familiar: one.succeeded_recently,
    });
    Evidence {
        upstream: upstream.to_string(),
        ran: executions.collect(),
        whole: is_complete,
        ..Evidence::default()
    }
}

/// Returns a message that clears a request.
pub(super) fn encode_cleared(identity: &Identity) -> Evidence {
    Evidence {
        cleared: vec![bytes(identity)],
        ..Evidence::default()
    }
}

/// Returns a message with the verdicts against requests.
pub(super) fn encode_verdicts(records: &[Record]) -> Evidence {
    let verdicts = records.iter().map(|record| Held {
        identity: bytes(&record.identity),
        generation: u32::from(record.consecutive_crashes),
        age_ms: millis(record.age),
        left_ms: millis(record.remaining),
        failed: u32::from(record.quarantine_count),
        familiar: record.succeeded_recently,
    });
    Evidence {
        held: verdicts.collect(),
        ..Evidence::default()
    }
}

/// Returns the contents of a message; entries with an invalid identity are skipped.
pub(super) fn decode(evidence: &Evidence) -> (Option<Crash>, Vec<Identity>, Vec<Record>) {
    let in_flight = evidence.ran.iter().filter_map(|one| {
        Some(Execution {
            identity: Identity::from_bytes(&one.identity)?,
            known_crashes: saturating_u8(one.known),
            succeeded_recently: one.familiar,
        })
    });
    let crash = (!evidence.upstream.is_empty()).then(|| Crash {
        incarnation: evidence.upstream.clone(),
        in_flight: in_flight.collect(),
        is_complete: evidence.whole,
    });
    let cleared = evidence.cleared.iter();
    let cleared = cleared.filter_map(|bytes| Identity::from_bytes(bytes));
    let verdicts = evidence.held.iter().filter_map(|held| {
        Some(Record {
            identity: Identity::from_bytes(&held.identity)?,
            consecutive_crashes: saturating_u8(held.generation),
            age: Duration::from_millis(held.age_ms),
            remaining: Duration::from_millis(held.left_ms),
            quarantine_count: saturating_u8(held.failed),
            succeeded_recently: held.familiar,
        })
    });
    (crash, cleared.collect(), verdicts.collect())
}

fn bytes(identity: &Identity) -> Bytes {
    Bytes::copy_from_slice(&identity.to_bytes())
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

fn saturating_u8(number: u32) -> u8 {
    u8::try_from(number).unwrap_or(u8::MAX)
}
