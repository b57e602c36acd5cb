//! How much memory the bodies of requests may take up together.

use std::cell::Cell;
use std::rc::Rc;

use sailtrack_net::transparent::Framing;

/// A body without a stated length is reckoned with this much, or with the limit if that is less.
const UNSTATED: usize = 256 * 1024;

/// How much memory the bodies of requests may take up together.
#[derive(Debug)]
pub(crate) struct Memory {
    bytes: Cell<usize>,
    taken: Rc<Cell<usize>>,
}

/// The memory of one body, given back when it is dropped.
#[derive(Debug)]
pub(crate) struct Guard {
    taken: Rc<Cell<usize>>,
    bytes: usize,
}

impl Memory {
    pub(crate) fn new(bytes: usize) -> Self {
        Self {
            bytes: Cell::new(bytes),
            taken: Rc::default(),
        }
    }

    /// Changes how much there is; what is taken stays taken.
    pub(crate) fn resize(&self, bytes: usize) {
        self.bytes.set(bytes);
    }

    /// Takes memory for a body, or returns nothing if there is not enough.
    pub(crate) fn take(&self, framing: Framing, limit: usize) -> Option<Guard> {
        let bytes = match framing {
            Framing::None => 0,
            Framing::Length(length) => usize::try_from(length).unwrap_or(usize::MAX).min(limit),
            Framing::Chunked | Framing::UntilClose => UNSTATED.min(limit),
        };
        let taken = self.taken.get().checked_add(bytes)?;
        // Without a body no memory is needed.
        if bytes > 0 && taken > self.bytes.get() {
            return None;
        }
        self.taken.set(taken);
        Some(Guard {
            taken: Rc::clone(&self.taken),
            bytes,
        })
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.taken.set(self.taken.get() - self.bytes);
    }
}
