//! Writes streamed bodies.

use bytes::{Bytes, BytesMut};
use displaydoc::Display;

use crate::body::Stream;
use crate::clock;
use crate::entry::request::Incoming;
use crate::entry::sender::Sender;
use crate::events::Truncation;

/// Why a streamed body was not completed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
enum Failure {
    /// the upstream broke off
    Upstream,
    /// the client reads no more
    Client,
    /// the deadline passed
    Deadline,
}

impl Sender<'_> {
    /// Writes a streamed body until the deadline of its request; returns false if it was not
    /// completed.
    ///
    /// The connection then closes without the end of the body, so that the client sees a truncated
    /// response.
    pub(super) async fn write_stream(
        &mut self,
        stream: Stream,
        is_chunked: bool,
        incoming: &Incoming,
    ) -> bool {
        let entry = self.entry;
        let mut written = 0;
        let deadline = || entry.shutdown.answer_deadline(incoming.deadline);
        let writing = self.write_pieces(stream, is_chunked, &mut written);
        let result = clock::timeout_when(deadline, writing).await;
        let Err(failure) = result.unwrap_or(Err(Failure::Deadline)) else {
            return true;
        };
        self.pipeline.close();
        self.entry.metrics.record_truncated_response();
        self.entry.events.log_truncation(&Truncation {
            attempt: &incoming.attempt,
            kind: &incoming.route.name,
            reason: &failure,
            bytes: written,
            elapsed: incoming.received_at.elapsed(),
        });
        false
    }

    async fn write_pieces(
        &mut self,
        mut stream: Stream,
        is_chunked: bool,
        written: &mut u64,
    ) -> Result<(), Failure> {
        loop {
            let piece = stream.next().await.map_err(|_| Failure::Upstream)?;
            let is_last = piece.is_none();
            let length = piece.as_ref().map_or(0, Bytes::len);
            let bytes = encode(piece, is_chunked);
            if !bytes.is_empty() && !self.write(bytes).await {
                return Err(Failure::Client);
            }
            *written += length as u64;
            if is_last {
                return Ok(());
            }
        }
    }
}

/// Returns the encoded bytes of a piece of a streamed body, or of its end.
fn encode(piece: Option<Bytes>, is_chunked: bool) -> BytesMut {
    match (piece, is_chunked) {
        (Some(piece), false) => BytesMut::from(piece),
        (Some(piece), true) => {
            let mut bytes = BytesMut::with_capacity(piece.len() + 16);
            bytes.extend_from_slice(format!("{:x}\r\n", piece.len()).as_bytes());
            bytes.extend_from_slice(&piece);
            bytes.extend_from_slice(b"\r\n");
            bytes
        }
        (None, true) => BytesMut::from(&b"0\r\n\r\n"[..]),
        (None, false) => BytesMut::new(),
    }
}
