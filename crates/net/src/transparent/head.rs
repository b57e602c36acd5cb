//! Parses the start line and header fields of a message with `httparse`.

use std::ops::RangeInclusive;

use bytes::Bytes;
use displaydoc::Display;
use httparse::{EMPTY_HEADER, Header, Status};

use crate::transparent::fields::{Field, Fields};

/// The statuses that a response may have.
const STATUSES: RangeInclusive<u16> = 100..=599;

/// The maximum number of header fields; a message with more is rejected.
const MAX_FIELDS: usize = 100;

/// Why the head of a message was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum HeadError {
    /// the head is malformed
    Malformed,
    /// the head has too many fields or bytes
    TooLarge,
    /// the body length is given more than once or in more than one way
    Ambiguous,
    /// the transfer coding is not supported
    Coding,
}

impl std::error::Error for HeadError {}

/// The request line and header fields of a request.
#[derive(Debug, Clone)]
pub struct RequestHead {
    /// The method.
    pub method: Bytes,
    /// The path with its query, as received.
    pub target: Bytes,
    /// True for HTTP/1.1, false for HTTP/1.0.
    pub is_1_1: bool,
    /// The header fields.
    pub fields: Fields,
}

impl RequestHead {
    /// Parses the head at the start of `bytes`, which must contain a complete one.
    pub fn parse(bytes: &Bytes) -> Result<Self, HeadError> {
        let mut headers = [EMPTY_HEADER; MAX_FIELDS];
        let mut request = httparse::Request::new(&mut headers);
        require_complete(request.parse(bytes))?;
        let method = request.method.ok_or(HeadError::Malformed)?;
        let target = request.path.ok_or(HeadError::Malformed)?;
        Ok(Self {
            method: bytes.slice_ref(method.as_bytes()),
            target: bytes.slice_ref(target.as_bytes()),
            is_1_1: request.version == Some(1),
            fields: fields(bytes, request.headers),
        })
    }

    /// Returns true if the connection can carry another request after this one.
    #[must_use]
    pub fn keeps_alive(&self) -> bool {
        self.is_1_1 && !self.fields.lists("connection", "close")
    }
}

/// The status line and header fields of a response.
#[derive(Debug, Clone)]
pub struct ResponseHead {
    /// The status code.
    pub status: u16,
    /// The reason phrase.
    pub reason: Bytes,
    /// True for HTTP/1.1, false for HTTP/1.0.
    pub is_1_1: bool,
    /// The header fields.
    pub fields: Fields,
}

impl ResponseHead {
    /// Parses the head at the start of `bytes`, which must contain a complete one.
    pub fn parse(bytes: &Bytes) -> Result<Self, HeadError> {
        let mut headers = [EMPTY_HEADER; MAX_FIELDS];
        let mut response = httparse::Response::new(&mut headers);
        require_complete(response.parse(bytes))?;
        let reason = response.reason.unwrap_or_default();
        let status = response.code.filter(|code| is_status(*code));
        Ok(Self {
            status: status.ok_or(HeadError::Malformed)?,
            reason: Bytes::copy_from_slice(reason.as_bytes()),
            is_1_1: response.version == Some(1),
            fields: fields(bytes, response.headers),
        })
    }

    /// Returns true if the connection can carry another exchange after this one.
    #[must_use]
    pub fn keeps_alive(&self) -> bool {
        self.is_1_1 && !self.fields.lists("connection", "close")
    }
}

/// Returns true if a response may have this status.
#[must_use]
pub fn is_status(code: u16) -> bool {
    STATUSES.contains(&code)
}

fn require_complete(parsed: httparse::Result<usize>) -> Result<(), HeadError> {
    match parsed {
        Ok(Status::Complete(_)) => Ok(()),
        Err(httparse::Error::TooManyHeaders) => Err(HeadError::TooLarge),
        Ok(Status::Partial) | Err(_) => Err(HeadError::Malformed),
    }
}

fn fields(bytes: &Bytes, headers: &[Header<'_>]) -> Fields {
    let fields = headers.iter().map(|header| Field {
        name: bytes.slice_ref(header.name.as_bytes()),
        value: bytes.slice_ref(header.value),
    });
    Fields(fields.collect())
}
