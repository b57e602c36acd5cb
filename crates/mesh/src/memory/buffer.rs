//! Request bodies in memory.

#[cfg(test)]
mod tests;

use std::fmt;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};

use crate::memory::Charge;

/// A body is held in segments of this size, so that it never has to be moved when it grows and its
/// memory can be used again by bodies of other lengths.
const SEGMENT_BYTES: usize = 64 * 1024;
/// The shortest segment.
const MIN_SEGMENT_BYTES: usize = 256;

/// A request body. Clones share its memory, which is charged until the last one is dropped.
#[derive(Clone, Default)]
pub(crate) struct Buffer(Option<Rc<Content>>);

struct Content {
    segments: Vec<Bytes>,
    length: usize,
    /// Held, not read.
    _charge: Option<Charge>,
}

/// A body of which the rest is still arriving.
pub(crate) struct Assembly {
    charge: Charge,
    segments: Vec<Bytes>,
    segment: BytesMut,
    length: usize,
}

impl Buffer {
    /// Returns the length in bytes.
    pub(crate) fn len(&self) -> usize {
        self.0.as_ref().map_or(0, |content| content.length)
    }

    /// Returns the segments in order.
    pub(crate) fn segments(&self) -> impl Iterator<Item = &Bytes> {
        self.0.iter().flat_map(|content| &content.segments)
    }

    /// Returns the body in one piece, or `None` if it is longer than `limit`. It is copied if it has
    /// several segments.
    pub(crate) fn join_up_to(&self, limit: usize) -> Option<Bytes> {
        if self.len() > limit {
            return None;
        }
        let mut segments = self.segments();
        let first = segments.next().cloned().unwrap_or_default();
        if first.len() == self.len() {
            return Some(first);
        }
        let mut joined = BytesMut::with_capacity(self.len());
        for segment in self.segments() {
            joined.extend_from_slice(segment);
        }
        Some(joined.freeze())
    }

    /// Returns the body in pieces of up to `size` bytes.
    pub(crate) fn pieces(&self, size: usize) -> impl Iterator<Item = Bytes> {
        self.segments().flat_map(move |segment| {
            let starts = (0..segment.len()).step_by(size);
            starts.map(move |start| segment.slice(start..segment.len().min(start + size)))
        })
    }
}

impl fmt::Debug for Buffer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} bytes", self.len())
    }
}

#[cfg(test)]
impl From<&'static [u8]> for Buffer {
    /// Returns a body that is charged to no budget.
    fn from(bytes: &'static [u8]) -> Self {
        Self(Some(Rc::new(Content {
            segments: vec![Bytes::from_static(bytes)],
            length: bytes.len(),
            _charge: None,
        })))
    }
}

impl Assembly {
    /// Starts a body for which `charge` has been admitted.
    pub(crate) fn new(charge: Charge) -> Self {
        Self {
            charge,
            segments: Vec::new(),
            segment: BytesMut::new(),
            length: 0,
        }
    }

    /// Returns how many bytes have arrived.
    pub(crate) fn len(&self) -> usize {
        self.length
    }

    /// Returns the charge of the body.
    pub(crate) fn charge(&mut self) -> &mut Charge {
        &mut self.charge
    }

    /// Appends a piece, for which enough must have been charged.
    pub(crate) fn push(&mut self, mut piece: &[u8]) {
        while !piece.is_empty() {
            if self.segment.len() == self.segment.capacity() {
                self.start_segment();
            }
            let room = self.segment.capacity() - self.segment.len();
            let (now, rest) = piece.split_at(room.min(piece.len()));
            self.segment.extend_from_slice(now);
            self.length += now.len();
            piece = rest;
        }
    }

    /// Returns the complete body.
    pub(crate) fn finish(mut self) -> Buffer {
        if self.segment.len() == self.segment.capacity() {
            self.segments.push(self.segment.freeze());
        } else {
            // The rest of the segment is released, as it is no longer charged.
            self.segments.push(Bytes::copy_from_slice(&self.segment));
        }
        self.charge.shrink_to(self.length);
        Buffer(Some(Rc::new(Content {
            segments: self.segments,
            length: self.length,
            _charge: Some(self.charge),
        })))
    }

    /// Begins a segment that is as long as what has been charged and not arrived, within limits.
    fn start_segment(&mut self) {
        let full = std::mem::take(&mut self.segment);
        if !full.is_empty() {
            self.segments.push(full.freeze());
        }
        let expected = self.charge.bytes().saturating_sub(self.length);
        let size = expected.clamp(MIN_SEGMENT_BYTES, SEGMENT_BYTES);
        self.segment = BytesMut::with_capacity(size);
    }
}
