//! Writes streamed bodies.

use bytes::{Bytes, BytesMut};
use displaydoc::Display;

use crate::body::Stream;
use crate::clock;
use crate::entry::request::Incoming;
use crate::entry::response::MAX_JOINED_BYTES;
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
            if !self.write_piece(piece, is_chunked).await {
                return Err(Failure::Client);
            }
            *written += length as u64;
            if is_last {
                return Ok(());
            }
        }
    }

    /// Writes a piece of a body, or its end.
    async fn write_piece(&mut self, piece: Option<Bytes>, is_chunked: bool) -> bool {
        match (piece, is_chunked) {
            (Some(piece), false) => self.write_with_body(BytesMut::new(), piece).await,
            (Some(piece), true) => self.write_chunk(piece).await,
            (None, true) => self.write(BytesMut::from(&b"0\r\n\r\n"[..])).await,
            (None, false) => true,
        }
    }

    async fn write_chunk(&mut self, piece: Bytes) -> bool {
        let mut bytes = BytesMut::from(format!("{:x}\r\n", piece.len()).as_bytes());
        if piece.len() <= MAX_JOINED_BYTES {
            bytes.extend_from_slice(&piece);
            bytes.extend_from_slice(b"\r\n");
            return self.write(bytes).await;
        }
        self.write_with_body(bytes, piece).await && self.write(BytesMut::from(&b"\r\n"[..])).await
    }
}
