//! What a request asks for, told from what another one asks for.

use std::fmt;
use std::str::FromStr;

use displaydoc::Display;

/// The bytes that stand for the whole request. To find two requests with the same ones takes some
/// 2^64 tries, so nobody makes another caller's request look like a harmful one.
const DIGEST_BYTES: usize = 16;
/// The bytes that stand for the caller alone; two callers that share them share a bound.
const CALLER_BYTES: usize = 4;
/// The bytes of an identity.
pub const IDENTITY_BYTES: usize = DIGEST_BYTES + CALLER_BYTES;
/// The digits by which logs name a request among the some hundred that ran beside it.
const SHORT_DIGITS: usize = 12;

/// Stands for a request by what it asks: its method, host, target, body, and on whose behalf.
///
/// Each attempt of a caller has an id of its own; this is the same for all of them, wherever they
/// come in. Who is made to answer for it is kept beside it, and makes no difference between two.
#[derive(Debug, Clone, Copy)]
pub struct Identity {
    digest: [u8; DIGEST_BYTES],
    caller: Caller,
}

/// Who is made to answer for a request, as far as it tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
pub struct Caller([u8; CALLER_BYTES]);

impl Caller {
    /// Returns the caller that says this of itself.
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
    /// Returns the identity that these bytes are, if there are as many as one has.
    #[must_use]
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        let (digest, caller) = bytes.split_at_checked(DIGEST_BYTES)?;
        Some(Self {
            digest: digest.try_into().ok()?,
            caller: Caller(caller.try_into().ok()?),
        })
    }

    /// Returns its bytes.
    #[must_use]
    pub fn to_bytes(&self) -> [u8; IDENTITY_BYTES] {
        let mut bytes = [0; IDENTITY_BYTES];
        bytes[..DIGEST_BYTES].copy_from_slice(&self.digest);
        bytes[DIGEST_BYTES..].copy_from_slice(&self.caller.0);
        bytes
    }

    /// Returns who is made to answer for it.
    #[must_use]
    pub fn caller(&self) -> Caller {
        self.caller
    }

    /// Returns how its text begins, enough to find it in logs.
    #[must_use]
    pub fn short(&self) -> String {
        let mut text = self.to_string();
        text.truncate(SHORT_DIGITS);
        text
    }

    /// Returns how much a place is preferred for this request; every node gets the same number.
    #[must_use]
    pub fn preference(&self, place: &str) -> u64 {
        let mut bytes = self.digest.to_vec();
        bytes.extend_from_slice(place.as_bytes());
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
        for (place, byte) in digest.iter_mut().enumerate() {
            let digits = &text[2 * place..2 * place + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| error())?;
        }
        let caller = Caller::default();
        Ok(Self { digest, caller })
    }
}

/// Takes in a request piece by piece and returns its identity.
#[derive(Clone)]
pub struct Hasher {
    request: blake3::Hasher,
    caller: Caller,
}

impl Hasher {
    /// Starts with what is known before the body: on whose behalf it comes, its method, host and
    /// target, in a fixed order.
    ///
    /// Each part goes in with its length, so that nothing of one can pass for the next.
    #[must_use]
    pub fn new(parts: &[&[u8]], caller: Caller) -> Self {
        let mut request = blake3::Hasher::new();
        for part in parts {
            request.update(&(part.len() as u64).to_le_bytes());
            request.update(part);
        }
        Self { request, caller }
    }

    /// Takes in a piece of the body; how it is cut into pieces makes no difference.
    pub fn update(&mut self, piece: &[u8]) {
        self.request.update(piece);
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
