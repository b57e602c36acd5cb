//! Reassembles bodies that arrive in several messages.

use bytes::{Bytes, BytesMut};

/// Maximum size of a reassembled body.
const MAX_BODY: u64 = 64 * 1024 * 1024;

/// A message whose body is incomplete.
pub(super) struct Reassembly<M> {
    pub(super) message: M,
    body: BytesMut,
    length: usize,
}

impl<M> Reassembly<M> {
    /// Starts with the first part of a body of `length` bytes; returns `None` if it is too long.
    pub(super) fn new(message: M, first: &Bytes, length: u64) -> Option<Self> {
        if length > MAX_BODY || first.len() as u64 > length {
            return None;
        }
        let length = usize::try_from(length).ok()?;
        let mut body = BytesMut::with_capacity(length);
        body.extend_from_slice(first);
        Some(Self {
            message,
            body,
            length,
        })
    }

    /// Appends a part; returns false if the body exceeds the announced length.
    pub(super) fn add(&mut self, part: &Bytes) -> bool {
        self.body.extend_from_slice(part);
        self.body.len() <= self.length
    }

    /// Returns true if the body has the announced length.
    pub(super) fn is_complete(&self) -> bool {
        self.body.len() == self.length
    }

    /// Returns the message and its complete body.
    pub(super) fn finish(self) -> (M, Bytes) {
        (self.message, self.body.freeze())
    }
}
