//! One request to the local upstream and its response.

mod error;
mod prefix;
mod send;
mod source;
#[cfg(test)]
mod tests;

use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use sailtrack_net::transparent::{BodyError, BodyRest, Framing, ResponseHead, response_framing};

use crate::body::{Body, Stream};
use crate::dialect::FieldNames;
use crate::events::{Events, Received};
use crate::gate::crash::Detector;
use crate::gate::history::History;
use crate::gate::pool::{Connection, Pool};
use crate::key::UpstreamKey;
use crate::memory::{Budget, Buffer};
use crate::metrics::Metrics;
use crate::request::{Memory, Request};
pub(super) use error::ExchangeError;
use send::{Written, send};
use source::UpstreamSource;

/// The status of another upstream at the address of the expected one.
pub(super) const MISDIRECTED: u16 = 421;
/// The maximum size of a response head.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// The maximum body size of a stale response, which is read and discarded.
const MAX_STALE_BODY_BYTES: usize = 1024 * 1024;
/// The maximum number of responses to other requests that are skipped before the expected one.
const MAX_STALE_RESPONSES: u32 = 3;

/// A response of the upstream.
pub(super) struct UpstreamResponse {
    pub(super) head: ResponseHead,
    pub(super) body: Body,
    /// Counts the memory of a body that is not streamed.
    pub(super) memory: Option<Memory>,
}

/// A request to be sent to an incarnation of the upstream.
pub(super) struct Exchange<'a> {
    pub(super) pool: &'a Pool,
    pub(super) detector: &'a Rc<Detector>,
    pub(super) answers: &'a Budget,
    pub(super) fields: &'a FieldNames,
    pub(super) events: &'a Events,
    pub(super) metrics: &'a Metrics,
    pub(super) upstream: &'a UpstreamKey,
    pub(super) request: &'a Request,
}

impl Exchange<'_> {
    /// Sends the request and returns the response, with a long body as a stream. `on_head` is
    /// called with its head before the body is read. `body` is released once it has been written.
    ///
    /// Dropping the future or the stream closes the connection, which tells the upstream to stop.
    pub(super) async fn run(
        &self,
        body: Buffer,
        on_head: impl Fn(&ResponseHead),
    ) -> Result<UpstreamResponse, ExchangeError> {
        let acquired = self.pool.acquire(self.request).await;
        let mut connection = acquired.map_err(ExchangeError::Connect)?;
        // The node may have been suspended since the request was admitted, and the caller may have
        // been told that its time is over.
        if self.request.time_left().is_zero() {
            return Err(ExchangeError::Late);
        }
        connection.history.record_request();
        let head = request_head(self.fields, self.upstream, self.request);
        let (first_head, written) = send(&mut connection, head, body).await?;
        let matched = self.read_matching_head(&mut connection, first_head).await?;
        let MatchedHead {
            head,
            framing,
            mut rest,
        } = matched;
        if is_rejection(&head, self.fields) {
            self.log_rejection(&head, &connection.history);
            connection.history.record_rejection(&self.request.attempt);
        }
        on_head(&head);
        let ends_with_connection = framing == Framing::UntilClose;
        if ends_with_connection && written == Written::Failed {
            return Err(ExchangeError::Body(BodyError::Cut));
        }
        let prefix = self
            .read_prefix(&mut connection, &mut rest, framing)
            .await?;
        if rest.is_ended() {
            // The connections of a process that is killed end as those of whole responses do.
            if ends_with_connection && self.detector.has_ended().await {
                return Err(ExchangeError::Body(BodyError::Cut));
            }
            if written == Written::Whole && !ends_with_connection && self.is_named(&head) {
                self.pool.release(connection, &head);
            }
            return Ok(UpstreamResponse {
                head,
                body: Body::Whole(prefix.bytes),
                memory: prefix.charge.map(Memory::new),
            });
        }
        let length = match framing {
            Framing::Length(length) => Some(length),
            Framing::None | Framing::Chunked | Framing::UntilClose => None,
        };
        let source = UpstreamSource {
            detector: Rc::clone(self.detector),
            ends_with_connection,
            connection,
            first_piece: (!prefix.bytes.is_empty()).then_some(prefix),
            rest,
        };
        let body = Body::Stream(Stream::new(length, Box::new(source)));
        Ok(UpstreamResponse {
            head,
            body,
            memory: None,
        })
    }

    /// Skips stale responses until the one to this request.
    ///
    /// An upstream may answer an earlier request twice; the second response then precedes the
    /// expected one on the connection.
    async fn read_matching_head(
        &self,
        connection: &mut Connection,
        first_head: Bytes,
    ) -> Result<MatchedHead, ExchangeError> {
        let is_head_request = self.request.head.starts_with(b"HEAD ");
        let mut bytes = first_head;
        for _ in 0..=MAX_STALE_RESPONSES {
            let head = ResponseHead::parse(&bytes).map_err(ExchangeError::Head)?;
            let framing = response_framing(head.status, is_head_request, &head.fields);
            let framing = framing.map_err(ExchangeError::Head)?;
            let is_interim = head.status < 200;
            if !is_interim && self.is_response(&head, &connection.history) {
                verify(&head, self.fields)?;
                return Ok(MatchedHead {
                    rest: BodyRest::new(framing),
                    head,
                    framing,
                });
            }
            let skipped = connection.reader.skip_body(framing, MAX_STALE_BODY_BYTES);
            skipped.await.map_err(ExchangeError::Body)?;
            if !is_interim {
                self.record_skipped(&head, &connection.history);
                if !head.keeps_alive() {
                    return Err(ExchangeError::Mismatched);
                }
            }
            bytes = connection
                .reader
                .response_head(MAX_HEAD_BYTES)
                .await
                .map_err(ExchangeError::Message)?;
        }
        Err(ExchangeError::Mismatched)
    }

    /// Returns true if a response is the one to this request.
    ///
    /// A rejection may lack the id. Without one it can only be told from a copy of an earlier
    /// rejection if the connection carried nothing before.
    fn is_response(&self, head: &ResponseHead, history: &History) -> bool {
        match head.fields.get(self.fields.attempt) {
            Some(id) => id == self.request.attempt.as_str(),
            None => is_rejection(head, self.fields) && history.earlier_requests() == 0,
        }
    }

    /// Returns true if a response bears an id. Of an upstream whose rejections lack it, only the
    /// first one on each connection can be matched.
    fn is_named(&self, head: &ResponseHead) -> bool {
        head.fields.get(self.fields.attempt).is_some()
    }

    fn log_rejection(&self, head: &ResponseHead, history: &History) {
        let rejection = self.received(head, history);
        self.events.log_rejection(&rejection, self.upstream);
    }

    fn record_skipped(&self, head: &ResponseHead, history: &History) {
        self.metrics.record_skipped_response();
        let skipped = self.received(head, history);
        self.events.log_skipped_response(&skipped);
    }

    fn received<'a>(&'a self, head: &'a ResponseHead, history: &History) -> Received<'a> {
        Received {
            attempt: &self.request.attempt,
            named: head.fields.get(self.fields.attempt),
            status: head.status,
            connection: history.number(),
            earlier_requests: history.earlier_requests(),
        }
    }
}

fn request_head(fields: &FieldNames, upstream: &UpstreamKey, request: &Request) -> BytesMut {
    let time_left = request.time_left();
    let added = format!(
        "{}: {}\r\n{}: {}\r\n\r\n",
        fields.time_left_ms,
        time_left.as_millis(),
        fields.expected_upstream,
        upstream.id(),
    );
    let mut bytes = BytesMut::with_capacity(request.head.len() + added.len());
    bytes.extend_from_slice(&request.head);
    bytes.extend_from_slice(added.as_bytes());
    bytes
}

/// The head of the expected response; its body has not been read.
struct MatchedHead {
    head: ResponseHead,
    framing: Framing,
    rest: BodyRest,
}

/// Returns true if a response says that the upstream did not run its request.
pub(super) fn is_rejection(head: &ResponseHead, fields: &FieldNames) -> bool {
    head.status == MISDIRECTED || head.fields.get(fields.not_run).is_some()
}

/// Checks that a successful response was produced by the upstream itself and that its body is not
/// encoded.
fn verify(head: &ResponseHead, fields: &FieldNames) -> Result<(), ExchangeError> {
    if !(200..300).contains(&head.status) {
        return Ok(());
    }
    if head.fields.get(fields.signature).is_none() {
        return Err(ExchangeError::Unsigned);
    }
    if head.fields.get("content-encoding").is_some() {
        return Err(ExchangeError::Encoded);
    }
    Ok(())
}
