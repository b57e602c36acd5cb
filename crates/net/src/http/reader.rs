//! Reads complete messages of limited size from a connection.

#[cfg(test)]
mod tests;

use bytes::Bytes;
use displaydoc::Display;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, StatusCode};
use monoio::io::OwnedReadHalf;
use monoio::io::stream::Stream as _;
use monoio::net::TcpStream;
use monoio_http::common::body::BodyExt as _;
use monoio_http::common::error::HttpError;
use monoio_http::h1::codec::decoder::{
    DecodeError, FillPayload as _, RequestDecoder, ResponseDecoder,
};
use monoio_http::h1::payload::Payload;

use crate::http::bounded::{Bounded, Budget};
use crate::http::limits::Limits;
use crate::http::message::{Request, Response};
use crate::transparent::is_status;

/// Bytes allowed in addition to a body, for chunk framing and for bytes read ahead.
const FRAMING_SLACK: usize = 64 * 1024;

/// Why a message was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum InputError {
    /// the message is malformed, too large in its head, or was cut
    Malformed,
    /// the length of the body is given twice or in two ways
    Ambiguous,
    /// a body needs a Content-Length
    LengthRequired,
    /// the body is larger than the bound
    TooLarge,
    /// the body ended early
    Cut,
}

impl std::error::Error for InputError {}

impl InputError {
    /// Returns the status of the response to a rejected request.
    pub(crate) fn status(self) -> StatusCode {
        match self {
            Self::Malformed | Self::Ambiguous | Self::Cut => StatusCode::BAD_REQUEST,
            Self::LengthRequired => StatusCode::LENGTH_REQUIRED,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        }
    }
}

/// How the end of a body is determined.
enum Framing {
    Absent,
    Length(usize),
    Chunked,
}

fn framing(headers: &HeaderMap) -> Result<Framing, InputError> {
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
    let length = lengths.next();
    let encoded = headers.contains_key(TRANSFER_ENCODING);
    if lengths.next().is_some() || (encoded && length.is_some()) {
        return Err(InputError::Ambiguous);
    }
    if encoded {
        return Ok(Framing::Chunked);
    }
    let Some(length) = length else {
        return Ok(Framing::Absent);
    };
    let digits = length.to_str().map_err(|_| InputError::Malformed)?;
    let length = digits.parse().map_err(|_| InputError::Malformed)?;
    Ok(Framing::Length(length))
}

/// Distinguishes a lost connection from malformed input.
fn classify(error: &HttpError) -> InputError {
    match error {
        HttpError::IOError(_)
        | HttpError::H1DecodeError(DecodeError::Io(_) | DecodeError::UnexpectedEof) => {
            InputError::Cut
        }
        _ => InputError::Malformed,
    }
}

async fn collect(body: Payload) -> Result<Bytes, InputError> {
    body.bytes().await.map_err(|_| InputError::Cut)
}

/// Reads the requests of one connection.
pub(crate) struct RequestReader {
    decoder: RequestDecoder<Bounded<OwnedReadHalf<TcpStream>>>,
    budget: Budget,
    limits: Limits,
}

impl RequestReader {
    pub(crate) fn new(stream: OwnedReadHalf<TcpStream>, limits: Limits) -> Self {
        let budget = Budget::default();
        let bounded = Bounded::new(stream, budget.clone());
        Self {
            decoder: RequestDecoder::new(bounded),
            budget,
            limits,
        }
    }

    /// Returns the reader and the next request, or `None` at the end of the stream.
    ///
    /// Taking the reader by value lets the caller wait for the next request while it handles the
    /// current one, without losing bytes.
    pub(crate) async fn advance(mut self) -> (Self, Result<Option<Request>, InputError>) {
        let result = self.read().await;
        (self, result)
    }

    async fn read(&mut self) -> Result<Option<Request>, InputError> {
        self.budget.reset(self.limits.head_bytes);
        let Some(decoded) = self.decoder.next().await else {
            return Ok(None);
        };
        let (head, body) = decoded.map_err(|_| InputError::Malformed)?.into_parts();
        match framing(&head.headers)? {
            Framing::Chunked => return Err(InputError::LengthRequired),
            Framing::Length(length) if length > self.limits.body_bytes => {
                return Err(InputError::TooLarge);
            }
            Framing::Length(_) | Framing::Absent => {}
        }
        self.budget.reset(self.limits.body_bytes + FRAMING_SLACK);
        self.decoder
            .fill_payload()
            .await
            .map_err(|_| InputError::Cut)?;
        let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
        Ok(Some(Request {
            method: head.method,
            path: path.to_owned(),
            headers: head.headers,
            body: collect(body).await?,
        }))
    }
}

/// Reads the responses of one connection.
pub(crate) struct ResponseReader {
    decoder: ResponseDecoder<Bounded<OwnedReadHalf<TcpStream>>>,
    budget: Budget,
    limits: Limits,
}

impl ResponseReader {
    pub(crate) fn new(stream: OwnedReadHalf<TcpStream>, limits: Limits) -> Self {
        let budget = Budget::default();
        let bounded = Bounded::new(stream, budget.clone());
        Self {
            decoder: ResponseDecoder::new(bounded),
            budget,
            limits,
        }
    }

    /// Returns the next complete response; one whose body ends with the connection is rejected.
    pub(crate) async fn read(&mut self) -> Result<Response, InputError> {
        self.budget.reset(self.limits.head_bytes);
        let decoded = self.decoder.next().await.ok_or(InputError::Cut)?;
        let (head, body) = decoded.map_err(|error| classify(&error))?.into_parts();
        if !is_status(head.status.as_u16()) {
            return Err(InputError::Malformed);
        }
        let has_no_body = matches!(
            head.status,
            StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
        );
        match framing(&head.headers)? {
            Framing::Length(length) if length > self.limits.body_bytes => {
                return Err(InputError::TooLarge);
            }
            Framing::Absent if !has_no_body => return Err(InputError::LengthRequired),
            Framing::Length(_) | Framing::Chunked | Framing::Absent => {}
        }
        self.budget.reset(self.limits.body_bytes + FRAMING_SLACK);
        self.decoder
            .fill_payload()
            .await
            .map_err(|_| InputError::Cut)?;
        Ok(Response {
            status: head.status,
            headers: head.headers,
            body: collect(body).await?,
        })
    }
}
