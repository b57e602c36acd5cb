//! Requests and what became of them, as messages between nodes.

use std::time::Duration;

use bytes::Bytes;
use displaydoc::Display;
use sailtrack_admission::Pressure;
use sailtrack_quarantine::Identity;
use sailtrack_units::{Class, Pace, Rank};
use sailtrack_wire::{Forward, Reply};

use crate::body::Body;
use crate::clock;
use crate::key::AttemptKey;
use crate::request::{Request, Response};

/// The most bytes of a body in one message, so that a long one does not hold up others.
pub(super) const CHUNK: usize = 32 * 1024;

/// The chunks of a streamed body that are sent before the first grant.
pub(super) const FIRST_GRANT: u32 = 4;

/// the message holds no sound request: {0}
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub(super) struct WorkError(String);

impl std::error::Error for WorkError {}

/// Returns the message for a request; the body beyond the first part follows in chunks.
pub(super) fn work_to_wire(exchange: u64, work: &Request) -> Forward {
    let first = work.body.len().min(CHUNK);
    Forward {
        exchange,
        id: work.attempt.to_string(),
        service: work.service.to_string(),
        kind: work.kind.to_string(),
        idempotent: work.idempotent,
        rank: u32::from(work.rank.index()),
        class: u32::try_from(work.class.index()).unwrap_or_default(),
        begun: work.is_nested,
        time_left_us: u64::try_from(work.time_left().as_micros()).unwrap_or(u64::MAX),
        head: work.head.clone(),
        body: work.body.slice(..first),
        body_length: work.body.len() as u64,
        repeated: work.is_retry,
        identity: Bytes::copy_from_slice(&work.identity.to_bytes()),
        known_crashes: u32::from(work.known_crashes),
        workspace: work
            .workspace
            .as_ref()
            .map(ToString::to_string)
            .unwrap_or_default(),
    }
}

/// Returns the request that a message with its whole body stands for.
pub(super) fn work_from_wire(message: Forward) -> Result<Request, WorkError> {
    let error = |what: &dyn std::fmt::Display| WorkError(what.to_string());
    let rank = u8::try_from(message.rank).map_err(|e| error(&e))?;
    let identity = Identity::from_bytes(&message.identity);
    let identity = identity.ok_or_else(|| error(&"its identity has not the right length"))?;
    let class = usize::try_from(message.class)
        .ok()
        .and_then(Class::from_index);
    let workspace = (!message.workspace.is_empty()).then(|| message.workspace.parse());
    let workspace = workspace.transpose().map_err(|e| error(&e))?;
    Ok(Request {
        workspace,
        attempt: AttemptKey::from(message.id.as_str()),
        identity,
        known_crashes: u8::try_from(message.known_crashes).unwrap_or(u8::MAX),
        service: message.service.parse().map_err(|e| error(&e))?,
        kind: message.kind.parse().map_err(|e| error(&e))?,
        idempotent: message.idempotent,
        rank: Rank::from_index(rank),
        class: class.ok_or_else(|| error(&"there is no such class"))?,
        // Only the node where a call comes in repeats it.
        completed_calls: 0,
        is_nested: message.begun,
        is_retry: message.repeated,
        deadline: clock::now() + Duration::from_micros(message.time_left_us),
        head: message.head,
        body: message.body,
    })
}

/// Returns the message for what became of a request, without its body.
pub(super) fn returned_to_wire(exchange: u64, returned: &Response) -> Reply {
    let (length_known, body_length) = match &returned.body {
        Body::Whole(bytes) => (true, bytes.len() as u64),
        Body::Stream(stream) => (stream.length.is_some(), stream.length.unwrap_or(0)),
    };
    Reply {
        exchange,
        outcome: returned.outcome.into(),
        reason: returned.reason.into(),
        status: u32::from(returned.status),
        head: returned.head.clone(),
        body: Bytes::new(),
        body_length,
        streamed: returned.body.whole().is_none(),
        length_known,
        offered: returned.was_sent,
        pressure_percent: returned.pressure.percent(),
        path_pressure_percent: returned.path_pressure.percent(),
        failed_below: returned.failed_below,
        absent_below: returned.absent_below,
        pace_percent: returned.pace.map_or(0, Pace::percent),
        retry_after_ms: u64::try_from(returned.retry_after.as_millis()).unwrap_or(u64::MAX),
    }
}

/// Returns what became of a request, from a message and its body.
pub(super) fn returned_from_wire(message: Reply, body: Body) -> Response {
    Response {
        outcome: message.outcome(),
        reason: message.reason(),
        status: u16::try_from(message.status).unwrap_or_default(),
        was_sent: message.offered,
        pressure: Pressure::from_percent(message.pressure_percent),
        path_pressure: Pressure::from_percent(message.path_pressure_percent),
        // Zero, for an upstream that tells none, is no pace either.
        pace: Pace::from_percent(message.pace_percent).ok(),
        failed_below: message.failed_below,
        absent_below: message.absent_below,
        retry_after: Duration::from_millis(message.retry_after_ms),
        head: message.head,
        body,
    }
}
