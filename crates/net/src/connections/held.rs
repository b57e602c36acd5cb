//! Bytes that count for a connection.

use crate::connections::{Inner, Registration};

/// Bytes that count for a connection until this is dropped.
pub struct Held {
    registration: Registration,
    bytes: usize,
}

impl Held {
    /// Counts bytes from now on, and makes room if they are too many.
    pub(super) fn new(registration: Registration, bytes: usize) -> Self {
        if !registration.is_closed() {
            registration.start_holding(bytes);
            let Inner { registry, state } = &*registration.0;
            state.answers.set(state.answers.get() + bytes);
            registry.answers.set(registry.answers.get() + bytes);
            registry.make_room();
        }
        Self {
            registration,
            bytes,
        }
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        // What a closed connection holds was subtracted when it was closed.
        if self.registration.is_closed() {
            return;
        }
        let Inner { registry, state } = &*self.registration.0;
        state.answers.set(state.answers.get() - self.bytes);
        registry.answers.set(registry.answers.get() - self.bytes);
    }
}
