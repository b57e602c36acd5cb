//! Numeric identifiers of requests, incarnations, configuration versions and store eras.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Identifies a root request and all calls made for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u128);

impl RequestId {
    /// Returns a random identifier.
    pub fn draw(random: &mut impl rand::Rng) -> Self {
        Self(random.random())
    }

    /// Returns the identifier derived from a key that the client chose; equal keys give equal
    /// identifiers.
    #[must_use]
    pub fn from_key(key: &str) -> Self {
        Self(xxhash_rust::xxh3::xxh3_128(key.as_bytes()))
    }

    /// Returns a hash that is the same for this request on every node.
    #[must_use]
    pub fn stable_hash(self) -> u64 {
        xxhash_rust::xxh3::xxh3_64(&self.0.to_be_bytes())
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for RequestId {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        u128::from_str_radix(text, 16).map(Self)
    }
}

macro_rules! counter {
    ($(#[$doc:meta])* $type:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $type(pub u64);

        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }

        impl FromStr for $type {
            type Err = ParseIntError;

            fn from_str(text: &str) -> Result<Self, ParseIntError> {
                text.parse().map(Self)
            }
        }
    };
}

counter!(
    /// Identifies one run of a node process, so that a restart under the same name is recognized.
    Incarnation
);
counter!(
    /// The version of an accepted configuration; zero means that none has been accepted yet.
    ConfigVersion
);
counter!(
    /// Increases each time the store is restored from a backup; zero means that the store does not
    /// report it.
    Era
);
