//! What is kept of the id of a request.

use crate::key::AttemptKey;

/// So many bytes that no two ids have the same digest.
const DIGEST_BYTES: usize = 16;

/// The digest of an id: a record takes the same room however long the id is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct Digest([u8; DIGEST_BYTES]);

impl From<&AttemptKey> for Digest {
    fn from(attempt: &AttemptKey) -> Self {
        let hash = blake3::hash(attempt.as_str().as_bytes());
        let mut digest = [0; DIGEST_BYTES];
        digest.copy_from_slice(&hash.as_bytes()[..DIGEST_BYTES]);
        Self(digest)
    }
}
