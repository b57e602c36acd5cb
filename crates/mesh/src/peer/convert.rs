//! Conversion of requests and responses to and from messages between nodes.

#[cfg(test)]
mod tests;

use std::time::Duration;

use bytes::Bytes;
use displaydoc::Display;
use sailtrack_admission::Pressure;
use sailtrack_net::transparent::is_status;
use sailtrack_quarantine::Identity;
use sailtrack_units::{Class, Pace, Rank};
use sailtrack_wire::{Forward, Outcome, Reason, Reply};

use crate::body::Body;
use crate::clock;
use crate::key::AttemptKey;
use crate::memory::{Buffer, Caller};
use crate::overdue;
use crate::rate_limit::RateLimit;
use crate::request::{OverLimit, Request, Response};

/// Maximum number of body bytes per message, so that a long body does not delay other messages.
pub(super) const MAX_CHUNK: usize = 32 * 1024;

/// Initial flow-control window: number of chunks of a streamed body sent before the first grant.
pub(super) const INITIAL_GRANT: u32 = 4;

/// invalid request message: {0}
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub(super) struct RequestError(String);

impl std::error::Error for RequestError {}

/// Returns the message for a request; a long body follows in chunks.
pub(super) fn request_to_wire(exchange: u64, request: &Request) -> Forward {
    let body = &request.body;
    Forward {
        exchange,
        id: request.attempt.to_string(),
        service: request.service.to_string(),
        kind: request.kind.to_string(),
        idempotent: request.idempotent,
        rank: u32::from(request.rank.index()),
        class: u32::try_from(request.class.index()).unwrap_or_default(),
        begun: request.is_nested,
        time_left_us: u64::try_from(request.time_left().as_micros()).unwrap_or(u64::MAX),
        head: request.head.clone(),
        body: body.join_up_to(MAX_CHUNK).unwrap_or_default(),
        body_length: body.len() as u64,
        repeated: request.is_retry,
        identity: Bytes::copy_from_slice(&request.identity.to_bytes()),
        known_crashes: u32::from(request.known_crashes),
        workspace: request
            .workspace
            .as_ref()
            .map(ToString::to_string)
            .unwrap_or_default(),
        rate_limit: None,
        may_queue: request.over_limit == OverLimit::Queue,
    }
}

/// Parses a request from a message, without its body.
pub(super) fn request_from_wire(message: Forward) -> Result<Request, RequestError> {
    let error = |what: &dyn std::fmt::Display| RequestError(what.to_string());
    let rank = u8::try_from(message.rank).map_err(|e| error(&e))?;
    let identity = Identity::from_bytes(&message.identity);
    let identity = identity.ok_or_else(|| error(&"the identity has the wrong length"))?;
    let class = usize::try_from(message.class)
        .ok()
        .and_then(Class::from_index);
    if message.id.len() > AttemptKey::MAX_BYTES {
        return Err(error(&"the id is too long"));
    }
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
        class: class.ok_or_else(|| error(&"unknown class"))?,
        // Not sent: only the node that received the call retries it and needs the count.
        completed_calls: 0,
        is_nested: message.begun,
        is_retry: message.repeated,
        over_limit: if message.may_queue {
            OverLimit::Queue
        } else {
            OverLimit::Refuse
        },
        overdue: overdue::Signal::default(),
        deadline: clock::now() + Duration::from_micros(message.time_left_us),
        caller: Caller::Anonymous,
        client: None,
        head: message.head,
        body: Buffer::default(),
    })
}

/// Returns the message for a response, without its body.
pub(super) fn response_to_wire(exchange: u64, response: &Response) -> Reply {
    let (length_known, body_length) = match &response.body {
        Body::Whole(bytes) => (true, bytes.len() as u64),
        Body::Stream(stream) => (stream.length.is_some(), stream.length.unwrap_or(0)),
    };
    Reply {
        exchange,
        outcome: response.outcome.into(),
        reason: response.reason.into(),
        status: u32::from(response.status),
        head: response.head.clone(),
        body: Bytes::new(),
        body_length,
        streamed: response.body.whole().is_none(),
        length_known,
        offered: response.was_sent,
        pressure_percent: response.pressure.percent(),
        path_pressure_percent: response.path_pressure.percent(),
        failed_below: response.failed_below,
        absent_below: response.absent_below,
        pace_percent: response.pace.map_or(0, Pace::percent),
        retry_after_ms: millis(response.retry_after),
        rate_limit: response.rate_limit.to_wire(),
        turn_ms: response.turn.map(millis),
        leaving: response
            .leaving
            .as_ref()
            .map(ToString::to_string)
            .unwrap_or_default(),
        overdue: false,
    }
}

/// Returns the message that a reply is overdue.
pub(super) fn overdue_to_wire(exchange: u64, response: &Response) -> Reply {
    Reply {
        overdue: true,
        ..response_to_wire(exchange, response)
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Parses a response from a message and its body. A status that is none shows that the upstream gave
/// no answer, which nodes of earlier releases pass on.
pub(super) fn response_from_wire(message: Reply, body: Body) -> Response {
    let status = u16::try_from(message.status).unwrap_or_default();
    if message.outcome() == Outcome::Done && !is_status(status) {
        return Response::unknown(Reason::Connection);
    }
    Response {
        outcome: message.outcome(),
        reason: message.reason(),
        status,
        was_sent: message.offered,
        pressure: Pressure::from_percent(message.pressure_percent),
        path_pressure: Pressure::from_percent(message.path_pressure_percent),
        // Zero, sent for an upstream that reports no pace, is not a valid pace.
        pace: Pace::from_percent(message.pace_percent).ok(),
        failed_below: message.failed_below,
        absent_below: message.absent_below,
        retry_after: Duration::from_millis(message.retry_after_ms),
        rate_limit: RateLimit::from_wire(message.rate_limit.as_ref()),
        turn: message.turn_ms.map(Duration::from_millis),
        // A peer only passes on keys that it could parse.
        leaving: message.leaving.parse().ok(),
        memory: None,
        head: message.head,
        body,
    }
}
