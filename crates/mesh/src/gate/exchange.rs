//! One request to the own upstream and its answer.

use std::time::Instant;

use bytes::{Bytes, BytesMut};
use displaydoc::Display;
use futures::future::{Either, select};
use monoio::io::AsyncWriteRentExt as _;
use sailtrack_net::dial::DialError;
use sailtrack_net::transparent::{
    BodyError, Framing, HeadError, MessageError, ResponseHead, response_framing,
};

use crate::dialect::FieldNames;
use crate::gate::pool::{Connection, Pool};
use crate::key::{AttemptKey, UpstreamKey};
use crate::work::Work;

/// The most bytes of an answer's head.
const HEAD_BYTES: usize = 64 * 1024;
/// The most bytes of an answer's body that a node holds in memory.
const BODY_BYTES: usize = 16 * 1024 * 1024;
/// The most answers to other requests that are passed over before the awaited one.
const MOST_FOREIGN: u32 = 3;

/// Why an exchange gave no answer that can be passed on.
#[derive(Debug, Display)]
pub(super) enum ExchangeError {
    /// no connection, nothing was sent: {0}
    Connect(DialError),
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
}

impl ExchangeError {
    /// Returns true if the upstream cannot have seen the request.
    pub(super) fn is_unsent(&self) -> bool {
        matches!(self, Self::Connect(_))
    }
}

/// A whole answer of the upstream.
pub(super) struct UpstreamAnswer {
    pub(super) head: ResponseHead,
    pub(super) body: Bytes,
}

/// Sends a request to this life of the upstream and returns the whole answer.
///
/// Dropping the future closes the connection, which tells the upstream to stop.
pub(super) async fn exchange(
    pool: &Pool,
    fields: &FieldNames,
    upstream: &UpstreamKey,
    work: &Work,
) -> Result<UpstreamAnswer, ExchangeError> {
    let mut connection = pool.take().await.map_err(ExchangeError::Connect)?;
    let request = request_bytes(fields, upstream, work);
    let Connection { reader, writer, .. } = &mut connection;
    let early = {
        let writing = std::pin::pin!(writer.write_all(request));
        let reading = std::pin::pin!(reader.response_head(HEAD_BYTES));
        match select(writing, reading).await {
            Either::Left(((written, _), reading)) => {
                // An upstream may answer and close before it has read a whole request.
                let head = reading.await;
                if let (Err(error), Err(_)) = (written, &head) {
                    return Err(ExchangeError::Io(error));
                }
                (head, true)
            }
            Either::Right((head, _)) => (head, false),
        }
    };
    let (first, was_sent) = early;
    let first = first.map_err(ExchangeError::Message)?;
    let is_head = work.head.starts_with(b"HEAD ");
    let answer = read_answer(&mut connection, fields, &work.attempt, first, is_head).await?;
    if was_sent && answer.is_reusable {
        pool.give_back(connection, &answer.answer.head);
    }
    Ok(answer.answer)
}

fn request_bytes(fields: &FieldNames, upstream: &UpstreamKey, work: &Work) -> BytesMut {
    let left = work.deadline.saturating_duration_since(Instant::now());
    let own = format!(
        "{}: {}\r\n{}: {upstream}\r\n\r\n",
        fields.time_left_ms,
        left.as_millis(),
        fields.expected_upstream,
    );
    let mut bytes = BytesMut::with_capacity(work.head.len() + own.len() + work.body.len());
    bytes.extend_from_slice(&work.head);
    bytes.extend_from_slice(own.as_bytes());
    bytes.extend_from_slice(&work.body);
    bytes
}

/// A whole answer, and whether its connection can carry another exchange.
struct Complete {
    answer: UpstreamAnswer,
    is_reusable: bool,
}

/// Reads answers until the one to the request with this id.
///
/// An upstream may answer an earlier request twice; the second answer then
/// stands before the one that is awaited.
async fn read_answer(
    connection: &mut Connection,
    fields: &FieldNames,
    attempt: &AttemptKey,
    first: Bytes,
    is_head: bool,
) -> Result<Complete, ExchangeError> {
    let mut bytes = first;
    for _ in 0..=MOST_FOREIGN {
        let head = ResponseHead::parse(&bytes).map_err(ExchangeError::Head)?;
        let framing = response_framing(head.status, is_head, &head.fields);
        let framing = framing.map_err(ExchangeError::Head)?;
        let body = connection.reader.body(framing, BODY_BYTES).await;
        let body = body.map_err(ExchangeError::Body)?;
        let is_interim = head.status < 200;
        let is_own = belongs_to(&head, fields, attempt);
        if !is_interim && is_own {
            check(&head, fields)?;
            let is_reusable = framing != Framing::UntilClose;
            let answer = UpstreamAnswer { head, body };
            return Ok(Complete {
                answer,
                is_reusable,
            });
        }
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
