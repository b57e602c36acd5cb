//! Answers to clients.

use std::time::Duration;

use bytes::{BufMut as _, BytesMut};
use displaydoc::Display;
use sailtrack_wire::{Outcome, Reason};

use crate::work::Returned;

/// The part of the time left after which a client is asked to come back at the latest.
const RETURN_SHARE: u32 = 3;

/// Why a request gets no answer of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(super) enum Refusal {
    /// the request is malformed, or its end can be read in two ways
    Malformed,
    /// no route leads to this host and path
    NoRoute,
    /// the head did not come in time
    TooSlow,
    /// the body is too large
    BodyTooLarge,
    /// the head is too large
    HeadTooLarge,
    /// the answer of the upstream was lost or cannot be passed on
    Lost,
    /// the request did not run, come back later
    NotRun,
    /// the time is over
    Late,
}

impl Refusal {
    /// Returns the HTTP status for it.
    pub(super) fn status(self) -> u16 {
        match self {
            Self::Malformed => 400,
            Self::NoRoute => 404,
            Self::TooSlow => 408,
            Self::BodyTooLarge => 413,
            Self::HeadTooLarge => 431,
            Self::Lost => 502,
            Self::NotRun => 503,
            Self::Late => 504,
        }
    }

    fn phrase(self) -> &'static str {
        match self {
            Self::Malformed => "Bad Request",
            Self::NoRoute => "Not Found",
            Self::TooSlow => "Request Timeout",
            Self::BodyTooLarge => "Content Too Large",
            Self::HeadTooLarge => "Request Header Fields Too Large",
            Self::Lost => "Bad Gateway",
            Self::NotRun => "Service Unavailable",
            Self::Late => "Gateway Timeout",
        }
    }
}

/// Returns the bytes of an answer of our own.
pub(super) fn refuse(refusal: Refusal, retry_after: Option<Duration>, close: bool) -> BytesMut {
    let text = format!("{refusal}\n");
    let mut bytes = BytesMut::with_capacity(256);
    let line = format!("HTTP/1.1 {} {}\r\n", refusal.status(), refusal.phrase());
    bytes.put_slice(line.as_bytes());
    if let Some(after) = retry_after {
        let field = format!("Retry-After: {:.3}\r\n", after.as_secs_f64());
        bytes.put_slice(field.as_bytes());
    }
    bytes.put_slice(b"Content-Type: text/plain; charset=utf-8\r\n");
    end_head(&mut bytes, Some(text.len()), close);
    bytes.put_slice(text.as_bytes());
    bytes
}

/// Returns the bytes of what became of a request; `time_left` is what the client still waits.
pub(super) fn conclude(
    returned: &Returned,
    is_head: bool,
    time_left: Duration,
    close: bool,
) -> BytesMut {
    match (returned.outcome, returned.reason) {
        (Outcome::Done, _) => pass_on(returned, is_head, close),
        (Outcome::NotRun, _) => {
            let after = returned.retry_after.min(time_left / RETURN_SHARE);
            refuse(Refusal::NotRun, Some(after), close)
        }
        (Outcome::Unknown, Reason::Deadline) => refuse(Refusal::Late, None, close),
        (Outcome::Unknown, _) => refuse(Refusal::Lost, None, close),
    }
}

fn pass_on(returned: &Returned, is_head: bool, close: bool) -> BytesMut {
    let mut bytes = BytesMut::with_capacity(returned.head.len() + returned.body.len() + 64);
    bytes.put_slice(&returned.head);
    let has_no_length = is_head || matches!(returned.status, 204 | 304);
    let length = (!has_no_length).then_some(returned.body.len());
    end_head(&mut bytes, length, close);
    bytes.put_slice(&returned.body);
    bytes
}

fn end_head(bytes: &mut BytesMut, length: Option<usize>, close: bool) {
    if let Some(length) = length {
        bytes.put_slice(format!("Content-Length: {length}\r\n").as_bytes());
    }
    if close {
        bytes.put_slice(b"Connection: close\r\n");
    }
    bytes.put_slice(b"\r\n");
}
