//! Answers to clients.

use std::time::Duration;

use bytes::{BufMut as _, BytesMut};
use displaydoc::Display;
use sailtrack_wire::{Outcome, Reason};

use crate::body::{Body, Stream};
use crate::request::Response;

/// The part of the time left after which a client is asked to come back at the latest.
const RETURN_SHARE: u32 = 3;

/// Why a request gets no answer of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(super) enum Refusal {
    /// the request is malformed, or its end can be read in two ways
    Malformed,
    /// the request needs a key of a workspace, and has none or one that no workspace has
    NoKey,
    /// the workspace asks more than it may, come back later
    OverQuota,
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
    /// upstreams ended under this request, so it is sent to none any more; do not send it again
    Harmful,
    /// the time is over
    Late,
}

impl Refusal {
    /// Returns why a request ends without an answer of an upstream, if it does.
    pub(super) fn of(returned: &Response) -> Option<Self> {
        match (returned.outcome, returned.reason) {
            (Outcome::Done, _) => None,
            (Outcome::NotRun, Reason::Quarantined) => Some(Self::Harmful),
            (Outcome::NotRun, Reason::OverQuota) => Some(Self::OverQuota),
            (Outcome::NotRun, _) => Some(Self::NotRun),
            (Outcome::Unknown, Reason::Deadline) => Some(Self::Late),
            (Outcome::Unknown, _) => Some(Self::Lost),
        }
    }

    /// Returns the HTTP status for it.
    pub(super) fn status(self) -> u16 {
        match self {
            // Callers repeat what promises that nothing ran, and this must not come again.
            Self::Malformed | Self::Harmful => 400,
            Self::NoKey => 401,
            Self::NoRoute => 404,
            Self::TooSlow => 408,
            Self::BodyTooLarge => 413,
            Self::OverQuota => 429,
            Self::HeadTooLarge => 431,
            Self::Lost => 502,
            Self::NotRun => 503,
            Self::Late => 504,
        }
    }

    fn phrase(self) -> &'static str {
        match self {
            Self::Malformed | Self::Harmful => "Bad Request",
            Self::NoKey => "Unauthorized",
            Self::NoRoute => "Not Found",
            Self::TooSlow => "Request Timeout",
            Self::BodyTooLarge => "Content Too Large",
            Self::OverQuota => "Too Many Requests",
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
    end_head(&mut bytes, Some(text.len() as u64), close);
    bytes.put_slice(text.as_bytes());
    bytes
}

/// What is written to a client: all at once, or a head and then a stream.
pub(super) struct Written {
    pub(super) bytes: BytesMut,
    pub(super) stream: Option<Stream>,
    /// The stream is written in chunks, since its length is not known.
    pub(super) is_chunked: bool,
    /// The connection ends after it.
    pub(super) close: bool,
}

impl Written {
    fn whole(bytes: BytesMut, close: bool) -> Self {
        Self {
            bytes,
            stream: None,
            is_chunked: false,
            close,
        }
    }
}

/// What a client asked for, as far as its answer depends on it.
#[derive(Debug, Clone, Copy)]
pub(super) struct Asked {
    /// Only the head is wanted.
    pub(super) is_head: bool,
    /// It understands chunks.
    pub(super) is_1_1: bool,
    /// How long it still waits.
    pub(super) time_left: Duration,
    /// The connection ends after the answer.
    pub(super) close: bool,
}

/// Returns what is written about what became of a request.
pub(super) fn conclude(returned: Response, asked: Asked) -> Written {
    let Some(refusal) = Refusal::of(&returned) else {
        return pass_on(returned, asked);
    };
    let after = returned.retry_after.min(asked.time_left / RETURN_SHARE);
    let may_return = matches!(refusal, Refusal::NotRun | Refusal::OverQuota);
    let after = may_return.then_some(after);
    Written::whole(refuse(refusal, after, asked.close), asked.close)
}

fn pass_on(returned: Response, asked: Asked) -> Written {
    let mut bytes = BytesMut::with_capacity(returned.head.len() + 256);
    bytes.put_slice(&returned.head);
    let has_no_length = asked.is_head || matches!(returned.status, 204 | 304);
    match returned.body {
        Body::Whole(body) => {
            let length = (!has_no_length).then_some(body.len() as u64);
            end_head(&mut bytes, length, asked.close);
            bytes.put_slice(&body);
            Written::whole(bytes, asked.close)
        }
        Body::Stream(stream) => {
            let is_chunked = stream.length.is_none() && asked.is_1_1;
            if is_chunked {
                bytes.put_slice(b"Transfer-Encoding: chunked\r\n");
            }
            // Without a length or chunks the body ends with the connection.
            let close = asked.close || (stream.length.is_none() && !is_chunked);
            end_head(&mut bytes, stream.length, close);
            Written {
                bytes,
                stream: Some(stream),
                is_chunked,
                close,
            }
        }
    }
}

fn end_head(bytes: &mut BytesMut, length: Option<u64>, close: bool) {
    if let Some(length) = length {
        bytes.put_slice(format!("Content-Length: {length}\r\n").as_bytes());
    }
    if close {
        bytes.put_slice(b"Connection: close\r\n");
    }
    bytes.put_slice(b"\r\n");
}
