//! Bytes that count for a connection.

use crate::connections::Registration;

/// Bytes of an answer that count for a connection until this is dropped.
pub struct Held {
    registration: Registration,
    bytes: usize,
}

impl Held {
    pub(super) fn new(registration: Registration, bytes: usize) -> Self {
        registration.add_answer(bytes);
        Self {
            registration,
            bytes,
        }
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.registration.remove_answer(self.bytes);
    }
}
