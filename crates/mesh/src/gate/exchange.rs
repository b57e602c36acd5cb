//! One request to the own upstream and its answer.

#[cfg(test)]
mod tests;

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use displaydoc::Display;
use futures::FutureExt as _;
use futures::future::{Either, LocalBoxFuture, select};
use monoio::io::AsyncWriteRentExt as _;
use monoio::time::timeout;
use sailtrack_net::dial::DialError;
use sailtrack_net::transparent::{
    BodyError, BodyRest, Framing, HeadError, MessageError, ResponseHead, response_framing,
};

use crate::body::{Body, Source, Stream, Truncated};
use crate::dialect::FieldNames;
use crate::gate::pool::{Connection, Pool};
use crate::key::{AttemptKey, UpstreamKey};
use crate::request::Request;

/// The most bytes of an answer's head.
const HEAD_BYTES: usize = 64 * 1024;
/// A longer body is passed on while it is read. Up to here an answer that breaks off can be
/// repeated or refused, beyond it a hundred answers at once still fit into 13 MB.
const WHOLE_BYTES: usize = 128 * 1024;
/// How long an upstream may pause within a streamed body.
const PIECE_TIME: Duration = Duration::from_secs(30);
/// The most bytes of the body of an answer that is passed over.
const FOREIGN_BYTES: usize = 1024 * 1024;
/// The most answers to other requests that are passed over before the awaited one.
const MOST_FOREIGN: u32 = 3;

/// Why an exchange gave no answer that can be passed on.
#[derive(Debug, Display)]
pub(super) enum ExchangeError {
    /// no connection, nothing was sent: {0}
    Connect(DialError),
    /// its time was over before it was sent
    Late,
    /// the connection was lost: {0}
    Io(std::io::Error),
    /// {0}
    Message(MessageError),
    /// {0}
    Body(BodyError),
    /// {0}
    Head(HeadError),
    /// the answer does not bear the signature of the upstream
    Unsigned,
    /// the answer is in a coding that was not asked for
    Coded,
    /// the answer belongs to another request
    Foreign,
    /// the upstream was started again and knows nothing of the request
    Restarted,
}

impl ExchangeError {
    /// Returns true if the connection broke before the answer was whole.
    pub(super) fn is_broken(&self) -> bool {
        match self {
            Self::Io(_) => true,
            Self::Message(error) => !matches!(error, MessageError::Head(_)),
            Self::Body(error) => matches!(error, BodyError::Cut | BodyError::Io(_)),
            _ => false,
        }
    }

    /// Returns true if the upstream may still work on the request.
    pub(super) fn may_go_on(&self) -> bool {
        match self {
            Self::Connect(_) | Self::Late | Self::Restarted | Self::Unsigned | Self::Coded => false,
            Self::Io(_) | Self::Message(_) | Self::Body(_) | Self::Head(_) | Self::Foreign => true,
        }
    }

    /// Returns true if the upstream cannot have seen the request.
    pub(super) fn is_unsent(&self) -> bool {
        matches!(self, Self::Connect(_) | Self::Late)
    }
}

/// An answer of the upstream.
pub(super) struct UpstreamAnswer {
    pub(super) head: ResponseHead,
    pub(super) body: Body,
}

/// The rest of a long body on the connection to the upstream.
struct UpstreamSource {
    connection: Connection,
    first: Option<Bytes>,
    rest: BodyRest,
}

impl Source for UpstreamSource {
    fn next(&mut self) -> LocalBoxFuture<'_, Result<Option<Bytes>, Truncated>> {
        async {
            if let Some(first) = self.first.take() {
                return Ok(Some(first));
            }
            let piece = self.connection.reader.piece(&mut self.rest);
            match timeout(PIECE_TIME, piece).await {
                Ok(Ok(piece)) => Ok(piece),
                Ok(Err(_)) | Err(_) => Err(Truncated),
            }
        }
        .boxed_local()
    }
}

/// Sends a request to this life of the upstream and returns its answer, a long body as a stream.
///
/// Dropping the future or the stream closes the connection, which tells the upstream to stop.
pub(super) async fn exchange(
    pool: &Pool,
    fields: &FieldNames,
    upstream: &UpstreamKey,
    work: &Request,
) -> Result<UpstreamAnswer, ExchangeError> {
    let taken = pool.take(!work.idempotent).await;
    let mut connection = taken.map_err(ExchangeError::Connect)?;
    // The node may have stood still meanwhile, and its caller may have been told.
    if work.time_left().is_zero() {
        return Err(ExchangeError::Late);
    }
    let request = request_bytes(fields, upstream, work);
    let (first, was_sent) = send(&mut connection, request).await?;
    let is_head = work.head.starts_with(b"HEAD ");
    let own = find_own(&mut connection, fields, &work.attempt, first, is_head).await?;
    let Own {
        head,
        framing,
        mut rest,
    } = own;
    let begun = read_begin(&mut connection, &mut rest).await?;
    if rest.is_ended() {
        if was_sent && framing != Framing::UntilClose {
            pool.give_back(connection, &head);
        }
        let body = Body::Whole(begun);
        return Ok(UpstreamAnswer { head, body });
    }
    let length = match framing {
        Framing::Length(length) => Some(length),
        Framing::None | Framing::Chunked | Framing::UntilClose => None,
    };
    let source = UpstreamSource {
        connection,
        first: Some(begun),
        rest,
    };
    let body = Body::Stream(Stream::new(length, Box::new(source)));
    Ok(UpstreamAnswer { head, body })
}

/// Sends a request and returns the first head that comes back, and whether all of the request was
/// written by then: an upstream may answer and close before it has read a whole request.
async fn send(
    connection: &mut Connection,
    request: BytesMut,
) -> Result<(Bytes, bool), ExchangeError> {
    let Connection { reader, writer, .. } = connection;
    let writing = std::pin::pin!(writer.write_all(request));
    let reading = std::pin::pin!(reader.response_head(HEAD_BYTES));
    let (head, was_sent) = match select(writing, reading).await {
        Either::Left(((written, _), reading)) => {
            let head = reading.await;
            if let (Err(error), Err(_)) = (written, &head) {
                return Err(ExchangeError::Io(error));
            }
            (head, true)
        }
        Either::Right((head, _)) => (head, false),
    };
    Ok((head.map_err(ExchangeError::Message)?, was_sent))
}

/// Reads a body to its end, or as far as it is held in memory.
async fn read_begin(
    connection: &mut Connection,
    rest: &mut BodyRest,
) -> Result<Bytes, ExchangeError> {
    let mut body = BytesMut::new();
    while body.len() < WHOLE_BYTES {
        let piece = connection.reader.piece(rest).await;
        match piece.map_err(ExchangeError::Body)? {
            Some(piece) if body.is_empty() && rest.is_ended() => return Ok(piece),
            Some(piece) => body.extend_from_slice(&piece),
            None => break,
        }
    }
    Ok(body.freeze())
}

fn request_bytes(fields: &FieldNames, upstream: &UpstreamKey, work: &Request) -> BytesMut {
    let left = work.time_left();
    let own = format!(
        "{}: {}\r\n{}: {}\r\n\r\n",
        fields.time_left_ms,
        left.as_millis(),
        fields.expected_upstream,
        upstream.id(),
    );
    let mut bytes = BytesMut::with_capacity(work.head.len() + own.len() + work.body.len());
    bytes.extend_from_slice(&work.head);
    bytes.extend_from_slice(own.as_bytes());
    bytes.extend_from_slice(&work.body);
    bytes
}

/// The head of the awaited answer; its body has not been read.
struct Own {
    head: ResponseHead,
    framing: Framing,
    rest: BodyRest,
}

/// Passes over answers until the one to the request with this id.
///
/// An upstream may answer an earlier request twice; the second answer then
/// stands before the one that is awaited.
async fn find_own(
    connection: &mut Connection,
    fields: &FieldNames,
    attempt: &AttemptKey,
    first: Bytes,
    is_head: bool,
) -> Result<Own, ExchangeError> {
    let mut bytes = first;
    for _ in 0..=MOST_FOREIGN {
        let head = ResponseHead::parse(&bytes).map_err(ExchangeError::Head)?;
        let framing = response_framing(head.status, is_head, &head.fields);
        let framing = framing.map_err(ExchangeError::Head)?;
        let is_interim = head.status < 200;
        if !is_interim && belongs_to(&head, fields, attempt) {
            check(&head, fields)?;
            return Ok(Own {
                rest: BodyRest::new(framing),
                head,
                framing,
            });
        }
        let body = connection.reader.body(framing, FOREIGN_BYTES).await;
        body.map_err(ExchangeError::Body)?;
        if !is_interim && !head.keeps_alive() {
            return Err(ExchangeError::Foreign);
        }
        bytes = connection
            .reader
            .response_head(HEAD_BYTES)
            .await
            .map_err(ExchangeError::Message)?;
    }
    Err(ExchangeError::Foreign)
}

/// Returns true if the answer is the one to the request with this id.
///
/// Only a refusal may come without an id; answers that come late or twice bear theirs.
fn belongs_to(head: &ResponseHead, fields: &FieldNames, attempt: &AttemptKey) -> bool {
    match head.fields.get(fields.attempt) {
        Some(id) => id == attempt.as_str(),
        None => head.status == 421 || head.fields.get(fields.not_run).is_some(),
    }
}

/// Checks that a success really is the upstream's own body.
fn check(head: &ResponseHead, fields: &FieldNames) -> Result<(), ExchangeError> {
    if !(200..300).contains(&head.status) {
        return Ok(());
    }
    if head.fields.get(fields.signature).is_none() {
        return Err(ExchangeError::Unsigned);
    }
    if head.fields.get("content-encoding").is_some() {
        return Err(ExchangeError::Coded);
    }
    Ok(())
}
