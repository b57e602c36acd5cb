//! Puts bodies together that come in several messages.

use bytes::{Bytes, BytesMut};

/// The longest body that is put together.
const LONGEST: u64 = 64 * 1024 * 1024;

/// A message whose body is not whole yet.
pub(super) struct Reassembly<M> {
    pub(super) message: M,
    body: BytesMut,
    length: usize,
}

impl<M> Reassembly<M> {
    /// Starts with the first part of a body; returns nothing if it is too long.
    pub(super) fn new(message: M, first: &Bytes, length: u64) -> Option<Self> {
        if length > LONGEST || first.len() as u64 > length {
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

    /// Adds a part; returns false if there is more than was announced.
    pub(super) fn add(&mut self, part: &Bytes) -> bool {
        self.body.extend_from_slice(part);
        self.body.len() <= self.length
    }

    /// Returns true once nothing is missing.
    pub(super) fn is_whole(&self) -> bool {
        self.body.len() == self.length
    }

    /// Returns the message and its whole body.
    pub(super) fn finish(self) -> (M, Bytes) {
        (self.message, self.body.freeze())
    }
}
