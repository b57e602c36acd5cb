//! A limit on the total memory used for request bodies.

use std::cell::Cell;
use std::rc::Rc;

use sailtrack_net::transparent::Framing;

/// Bytes reserved for a body of unknown length, or the body limit if that is smaller.
const UNKNOWN_LENGTH_BYTES: usize = 256 * 1024;

/// A memory budget shared by all request bodies.
#[derive(Debug)]
pub(crate) struct Memory {
    capacity: Cell<usize>,
    reserved: Rc<Cell<usize>>,
}

/// Memory reserved for one body; released on drop.
#[derive(Debug)]
pub(crate) struct Guard {
    reserved: Rc<Cell<usize>>,
    bytes: usize,
}

impl Memory {
    pub(crate) fn new(capacity: usize) -> Self {
        Self {
            capacity: Cell::new(capacity),
            reserved: Rc::default(),
        }
    }

    /// Changes the capacity; existing reservations stay.
    pub(crate) fn resize(&self, capacity: usize) {
        self.capacity.set(capacity);
    }

    /// Reserves memory for a body, or returns `None` if not enough is left.
    pub(crate) fn reserve(&self, framing: Framing, limit: usize) -> Option<Guard> {
        let bytes = match framing {
            Framing::None => 0,
            Framing::Length(length) => usize::try_from(length).unwrap_or(usize::MAX).min(limit),
            Framing::Chunked | Framing::UntilClose => UNKNOWN_LENGTH_BYTES.min(limit),
        };
        let reserved = self.reserved.get().checked_add(bytes)?;
        // A request without a body is accepted even when the budget is exceeded.
        if bytes > 0 && reserved > self.capacity.get() {
            return None;
        }
        self.reserved.set(reserved);
        Some(Guard {
            reserved: Rc::clone(&self.reserved),
            bytes,
        })
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.reserved.set(self.reserved.get() - self.bytes);
    }
}
