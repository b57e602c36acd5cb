//! Identifies equal requests by a hash of their content.

use std::fmt;
use std::str::FromStr;

use displaydoc::Display;

/// Length of the request digest. Finding a collision takes about 2^64 attempts, so a caller cannot
/// craft a poison request with the identity of another caller's request.
const DIGEST_BYTES: usize = 16;
/// Length of the caller hash. Two callers with the same hash share one limit on ledger entries.
const CALLER_BYTES: usize = 4;
/// Length of a serialized identity.
pub const IDENTITY_BYTES: usize = DIGEST_BYTES + CALLER_BYTES;
/// Length of the abbreviated form for logs, enough to tell apart the hundred or so requests in
/// flight at one crash.
const SHORT_DIGITS: usize = 12;

/// The identity of a request: a digest of its workspace, method, host, target and body.
///
/// All attempts of a caller share it, on whichever node they arrive, while each has its own request
/// id. The caller is carried along for accounting and does not take part in comparison.
#[derive(Debug, Clone, Copy)]
pub struct Identity {
    digest: [u8; DIGEST_BYTES],
    caller: Caller,
}

/// A hash of the caller that a request is accounted to, as the request states it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
pub struct Caller([u8; CALLER_BYTES]);

impl Caller {
    /// Returns the caller with a given name.
    #[must_use]
    pub fn named(name: &[u8]) -> Self {
        let mut caller = [0; CALLER_BYTES];
        caller.copy_from_slice(&blake3::hash(name).as_bytes()[..CALLER_BYTES]);
        Self(caller)
    }
}

impl PartialEq for Identity {
    fn eq(&self, other: &Self) -> bool {
        self.digest == other.digest
    }
}

impl Eq for Identity {}

impl std::hash::Hash for Identity {
    fn hash<H: std::hash::Hasher>(&self, state: &mut H) {
        self.digest.hash(state);
    }
}

impl PartialOrd for Identity {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Identity {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.digest.cmp(&other.digest)
    }
}

/// an identity has 32 hexadecimal digits: {0:?}
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub struct IdentityError(String);

impl std::error::Error for IdentityError {}

impl Identity {
    /// Parses the bytes written by `to_bytes`; returns `None` if the length is wrong.
    #[must_use]
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        let (digest, caller) = bytes.split_at_checked(DIGEST_BYTES)?;
        Some(Self {
            digest: digest.try_into().ok()?,
            caller: Caller(caller.try_into().ok()?),
        })
    }

    /// Returns the digest followed by the caller hash.
    #[must_use]
    pub fn to_bytes(&self) -> [u8; IDENTITY_BYTES] {
        let mut bytes = [0; IDENTITY_BYTES];
        bytes[..DIGEST_BYTES].copy_from_slice(&self.digest);
        bytes[DIGEST_BYTES..].copy_from_slice(&self.caller.0);
        bytes
    }

    /// Returns the caller that the request is accounted to.
    #[must_use]
    pub fn caller(&self) -> Caller {
        self.caller
    }

    /// Returns the first digits of the textual form, for logs.
    #[must_use]
    pub fn short(&self) -> String {
        let mut text = self.to_string();
        text.truncate(SHORT_DIGITS);
        text
    }

    /// Returns the weight of a target in rendezvous hashing: the target with the greatest weight is
    /// preferred for this request, and all nodes compute the same weights.
    #[must_use]
    pub fn preference(&self, target: &str) -> u64 {
        let mut bytes = self.digest.to_vec();
        bytes.extend_from_slice(target.as_bytes());
        xxhash_rust::xxh3::xxh3_64(&bytes)
    }
}

impl fmt::Display for Identity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut bytes = self.digest.iter();
        bytes.try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl FromStr for Identity {
    type Err = IdentityError;

    fn from_str(text: &str) -> Result<Self, IdentityError> {
        let error = || IdentityError(text.to_owned());
        if text.len() != 2 * DIGEST_BYTES || !text.is_ascii() {
            return Err(error());
        }
        let mut digest = [0; DIGEST_BYTES];
        for (index, byte) in digest.iter_mut().enumerate() {
            let digits = &text[2 * index..2 * index + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| error())?;
        }
        let caller = Caller::default();
        Ok(Self { digest, caller })
    }
}

/// Computes the identity of a request incrementally.
#[derive(Clone)]
pub struct Hasher {
    request: blake3::Hasher,
    caller: Caller,
}

impl Hasher {
    /// Starts with the parts known before the body, in a fixed order: the workspace, method, host
    /// and target.
    ///
    /// Each part is prefixed with its length, so that moving bytes from one part to the next changes
    /// the digest.
    #[must_use]
    pub fn new(parts: &[&[u8]], caller: Caller) -> Self {
        let mut request = blake3::Hasher::new();
        for part in parts {
            request.update(&(part.len() as u64).to_le_bytes());
            request.update(part);
        }
        Self { request, caller }
    }

    /// Adds a chunk of the body. Chunk boundaries do not affect the digest.
    pub fn update(&mut self, chunk: &[u8]) {
        self.request.update(chunk);
    }

    /// Returns the identity of the request.
    #[must_use]
    pub fn finish(&self) -> Identity {
        let mut digest = [0; DIGEST_BYTES];
        digest.copy_from_slice(&self.request.finalize().as_bytes()[..DIGEST_BYTES]);
        let caller = self.caller;
        Identity { digest, caller }
    }
}
