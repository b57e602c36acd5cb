//! Conversion of calls, answers and handovers to and from wire messages.

use std::time::{Duration, Instant};

use sailtrack_declaration::Repeat;
use sailtrack_units::{Allowance, Incarnation, NodeName, Rank, Ticket, Timestamp};
use sailtrack_wire as wire;
use sailtrack_wire::WireError;

use crate::call::{Answer, Call};
use crate::ticket::{Entry, Part};
use sailtrack_admission::Pressure;

/// Returns the message for a call.
pub(crate) fn call_to_wire(exchange: u64, call: &Call, entry: bool) -> wire::Call {
    wire::Call {
        exchange,
        request: call.request.0.to_be_bytes().to_vec().into(),
        kind: call.kind.to_string(),
        root_kind: call.root_kind.to_string(),
        service: call.service.to_string(),
        method: call.method.to_string(),
        path: call.path.clone(),
        rank: call.rank.index().into(),
        allowance: call.allowance.0,
        time_left_us: u64::try_from(call.time_left().as_micros()).unwrap_or(u64::MAX),
        ticket: call.ticket.as_ref().map(wire::Ticket::from),
        content_type: call.content_type.clone(),
        body: call.body.clone(),
        hops: call.depth,
        entry,
    }
}

/// Returns the call in a message.
pub(crate) fn call_from_wire(message: wire::Call) -> Result<Call, WireError> {
    let ticket = message.ticket.clone().map(Ticket::try_from).transpose()?;
    let repeat = match ticket {
        Some(_) => Repeat::Never,
        None => Repeat::Once,
    };
    Ok(Call {
        request: message.request_id()?,
        root_kind: message.root_kind.parse()?,
        kind: message.kind.parse()?,
        repeat,
        service: message.service.parse()?,
        method: message.method.parse().map_err(|_| WireError::Missing)?,
        rank: message.shedding_rank()?,
        path: message.path,
        allowance: Allowance(message.allowance),
        deadline: Instant::now()
            + Duration::from_micros(message.time_left_us.min(MAX_TIME_LEFT_US)),
        ticket,
        depth: message.hops,
        content_type: message.content_type,
        body: message.body,
    })
}

/// Limit on the time left that is accepted from a message: one day, in microseconds.
const MAX_TIME_LEFT_US: u64 = 86_400_000_000;

/// Returns the head of the message for an answer, without its body.
pub(crate) fn answer_to_wire(exchange: u64, answer: &Answer) -> wire::Answer {
    wire::Answer {
        exchange,
        outcome: answer.outcome.into(),
        reason: answer.reason.into(),
        status: answer.status.into(),
        allowance_used: answer.used.0,
        level: answer.level.index().into(),
        retry_after_ms: u64::try_from(answer.retry_after.as_millis()).unwrap_or(u64::MAX),
        content_type: answer.content_type.clone(),
        body: bytes::Bytes::new(),
        body_length: answer.body.len() as u64,
        pressure_percent: answer.pressure.percent(),
        path_pressure_percent: answer.path_pressure.percent(),
    }
}

/// Returns the answer in a message.
pub(crate) fn answer_from_wire(message: wire::Answer) -> Answer {
    Answer {
        outcome: message.outcome(),
        reason: message.reason(),
        status: u16::try_from(message.status).unwrap_or(0),
        used: Allowance(message.allowance_used),
        level: Rank::from_index(u8::try_from(message.level).unwrap_or(u8::MAX)),
        pressure: Pressure::from_percent(message.pressure_percent),
        path_pressure: Pressure::from_percent(message.path_pressure_percent),
        retry_after: Duration::from_millis(message.retry_after_ms),
        content_type: message.content_type,
        body: message.body,
    }
}

/// Returns the message for a part of a handover.
pub(crate) fn part_to_wire(exchange: u64, part: &Part) -> wire::Handover {
    let entries = part.entries.iter().map(|entry| wire::Kept {
        serial: entry.ticket.serial,
        minted_ms: entry.ticket.minted.0,
        answer: Some(wire::Answer {
            body: entry.answer.body.clone(),
            ..answer_to_wire(0, &entry.answer)
        }),
    });
    wire::Handover {
        exchange,
        home: part.home.to_string(),
        incarnation: part.incarnation.0,
        kept: entries.collect(),
        total: part.total as u64,
    }
}

/// Returns the part of a handover in a message.
pub(crate) fn part_from_wire(message: wire::Handover) -> Result<Part, WireError> {
    let home: NodeName = message.home.parse()?;
    let incarnation = Incarnation(message.incarnation);
    let entries = message.kept.into_iter().map(|kept| {
        let ticket = Ticket {
            home: home.clone(),
            incarnation,
            serial: kept.serial,
            minted: Timestamp(kept.minted_ms),
        };
        let answer = kept.answer.ok_or(WireError::Missing)?;
        Ok(Entry {
            ticket,
            answer: answer_from_wire(answer),
        })
    });
    let entries: Result<Vec<Entry>, WireError> = entries.collect();
    Ok(Part {
        entries: entries?,
        home,
        incarnation,
        total: usize::try_from(message.total).unwrap_or(usize::MAX),
    })
}
