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

/// Stands for a request by what it asks: its caller, method, host, target and body.
///
/// Each attempt of a caller has an id of its own; this is the same for all of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Identity([u8; IDENTITY_BYTES]);

/// The caller of a request, as far as its identity tells it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Caller([u8; CALLER_BYTES]);

/// an identity has 40 hexadecimal digits: {0:?}
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub struct IdentityError(String);

impl std::error::Error for IdentityError {}

impl Identity {
    /// Returns the identity that these bytes are, if there are as many as one has.
    #[must_use]
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(Self)
    }

    /// Returns its bytes.
    #[must_use]
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }

    /// Returns who made the request.
    #[must_use]
    pub fn caller(&self) -> Caller {
        let mut caller = [0; CALLER_BYTES];
        caller.copy_from_slice(&self.0[DIGEST_BYTES..]);
        Caller(caller)
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
        let mut bytes = self.0.to_vec();
        bytes.extend_from_slice(place.as_bytes());
        xxhash_rust::xxh3::xxh3_64(&bytes)
    }
}

impl fmt::Display for Identity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl FromStr for Identity {
    type Err = IdentityError;

    fn from_str(text: &str) -> Result<Self, IdentityError> {
        let error = || IdentityError(text.to_owned());
        if text.len() != 2 * IDENTITY_BYTES || !text.is_ascii() {
            return Err(error());
        }
        let mut bytes = [0; IDENTITY_BYTES];
        for (place, byte) in bytes.iter_mut().enumerate() {
            let digits = &text[2 * place..2 * place + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| error())?;
        }
        Ok(Self(bytes))
    }
}

/// Takes in a request piece by piece and returns its identity.
#[derive(Clone)]
pub struct Hasher {
    request: blake3::Hasher,
    caller: [u8; CALLER_BYTES],
}

impl Hasher {
    /// Starts with what is known before the body.
    ///
    /// Each part goes in with its length, so that nothing of one can pass for the next.
    #[must_use]
    pub fn new(caller: &str, method: &[u8], host: &[u8], target: &[u8]) -> Self {
        let mut request = blake3::Hasher::new();
        for part in [caller.as_bytes(), method, host, target] {
            request.update(&(part.len() as u64).to_le_bytes());
            request.update(part);
        }
        let mut known = [0; CALLER_BYTES];
        known.copy_from_slice(&blake3::hash(caller.as_bytes()).as_bytes()[..CALLER_BYTES]);
        Self {
            request,
            caller: known,
        }
    }

    /// Takes in a piece of the body; how it is cut into pieces makes no difference.
    pub fn update(&mut self, piece: &[u8]) {
        self.request.update(piece);
    }

    /// Returns the identity of the request.
    #[must_use]
    pub fn finish(&self) -> Identity {
        let mut bytes = [0; IDENTITY_BYTES];
        bytes[..DIGEST_BYTES].copy_from_slice(&self.request.finalize().as_bytes()[..DIGEST_BYTES]);
        bytes[DIGEST_BYTES..].copy_from_slice(&self.caller);
        Identity(bytes)
    }
}
