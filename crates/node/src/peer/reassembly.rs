//! Puts the chunks of a long answer together.

use bytes::{Bytes, BytesMut};
use sailtrack_wire as wire;

use crate::call::Answer;
use crate::peer::convert::answer_from_wire;

/// The largest body of an answer; it equals the bound of the HTTP side.
const MAX_BODY: usize = 8 * 1024 * 1024;
/// The most bytes of a body that go into one frame.
pub(crate) const CHUNK_SIZE: usize = 64 * 1024;

/// An answer of which a part may still be missing.
pub(crate) struct Reassembly {
    head: wire::Answer,
    body: BytesMut,
    length: usize,
}

impl Reassembly {
    /// Starts with the head of an answer, or nothing if its body is too long.
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

    /// Adds a chunk; returns false if the body becomes longer than was said.
    pub(crate) fn append(&mut self, chunk: &Bytes) -> bool {
        if self.body.len() + chunk.len() > self.length {
            return false;
        }
        self.body.extend_from_slice(chunk);
        true
    }

    /// Returns true once the whole body is there.
    pub(crate) fn is_complete(&self) -> bool {
        self.body.len() == self.length
    }

    /// Returns the whole answer.
    pub(crate) fn finish(self) -> Answer {
        let mut answer = answer_from_wire(self.head);
        answer.body = self.body.freeze();
        answer
    }
}
