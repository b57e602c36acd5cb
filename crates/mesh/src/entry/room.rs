//! How much memory the bodies of requests may take up together.

use std::cell::Cell;
use std::rc::Rc;

use sailtrack_net::transparent::Framing;

/// A body without a stated length is reckoned with this much, or with the limit if that is less.
const UNSTATED: usize = 256 * 1024;

/// How much memory the bodies of requests may take up together.
#[derive(Debug)]
pub(crate) struct Room {
    free: Rc<Cell<usize>>,
}

/// The place of one body, given back when it is dropped.
#[derive(Debug)]
pub(crate) struct Taken {
    free: Rc<Cell<usize>>,
    bytes: usize,
}

impl Room {
    pub(crate) fn new(bytes: usize) -> Self {
        Self {
            free: Rc::new(Cell::new(bytes)),
        }
    }

    /// Takes room for a body, or returns nothing if there is not enough.
    pub(crate) fn take(&self, framing: Framing, limit: usize) -> Option<Taken> {
        let bytes = match framing {
            Framing::None => 0,
            Framing::Length(length) => usize::try_from(length).unwrap_or(usize::MAX).min(limit),
            Framing::Chunked | Framing::UntilClose => UNSTATED.min(limit),
        };
        let left = self.free.get().checked_sub(bytes)?;
        self.free.set(left);
        Some(Taken {
            free: Rc::clone(&self.free),
            bytes,
        })
    }
}

impl Drop for Taken {
    fn drop(&mut self) {
        self.free.set(self.free.get() + self.bytes);
    }
}
