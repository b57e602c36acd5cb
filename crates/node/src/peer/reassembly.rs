//! Reassembles answers that arrive in chunks.

use bytes::{Bytes, BytesMut};
use sailtrack_wire as wire;

use crate::call::Answer;
use crate::peer::convert::answer_from_wire;

/// Limit on the body of an answer; equals the limit of the HTTP side.
const MAX_BODY: usize = 8 * 1024 * 1024;
/// Limit on the bytes of a body in one frame.
pub(crate) const CHUNK_SIZE: usize = 64 * 1024;

/// An answer whose body may be incomplete.
pub(crate) struct Reassembly {
    head: wire::Answer,
    body: BytesMut,
    length: usize,
}

impl Reassembly {
    /// Starts with the head of an answer; returns `None` if the body is too long.
    pub(crate) fn new(mut head: wire::Answer) -> Option<Self> {
        let length = usize::try_from(head.body_length).ok()?;
        if length > MAX_BODY || head.body.len() > length {
            return None;
        }
        let first = std::mem::take(&mut head.body);
        Some(Self {
            head,
            body: BytesMut::from(&first[..]),
            length,
        })
    }

    /// Appends a chunk; returns false if the body exceeds the announced length.
    pub(crate) fn append(&mut self, chunk: &Bytes) -> bool {
        if self.body.len() + chunk.len() > self.length {
            return false;
        }
        self.body.extend_from_slice(chunk);
        true
    }

    /// Returns true once the body is complete.
    pub(crate) fn is_complete(&self) -> bool {
        self.body.len() == self.length
    }

    /// Returns the complete answer.
    pub(crate) fn finish(self) -> Answer {
        let mut answer = answer_from_wire(self.head);
        answer.body = self.body.freeze();
        answer
    }
}
