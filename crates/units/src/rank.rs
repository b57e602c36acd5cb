//! The order in which requests are shed.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use crate::{Importance, RequestId};

/// Bits of the rank that come from the hash of the root request.
const HASH_BITS: u32 = 6;
/// The bits of the hash.
const HASH_MASK: u8 = (1 << HASH_BITS) - 1;
/// Bits in place of the first ones of the hash that come from the kind, where a workspace decides
/// first.
const SECOND_BITS: u32 = 2;
/// Where those bits begin.
const SECOND_SHIFT: u32 = HASH_BITS - SECOND_BITS;

/// The place of a request in the order of shedding; the smallest is shed first.
///
/// Importance decides, then a hash of the root request that is the same on
/// every node, so that all layers keep the same requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
pub struct Rank(u8);

impl Rank {
    /// The number of different ranks.
    pub const COUNT: usize = 4 << HASH_BITS;
    /// The rank that is shed first; as an admission level it admits everything.
    pub const LOWEST: Self = Self(0);
    /// The rank that is shed last.
    pub const HIGHEST: Self = Self(u8::MAX);

    /// Returns the rank of a root request of this importance.
    #[must_use]
    pub fn new(importance: Importance, request: RequestId) -> Self {
        let class = (importance as u8) << HASH_BITS;
        let hash = (request.stable_hash() >> (u64::BITS - HASH_BITS)).to_le_bytes()[0];
        Self(class | hash)
    }

    /// Returns the rank of a root request that matters this much on behalf of its workspace, and
    /// among those of equal workspaces this much by its kind.
    #[must_use]
    pub fn for_workspace(workspace: Importance, kind: Importance, request: RequestId) -> Self {
        let Self(by_hash) = Self::new(workspace, request);
        let second = (kind as u8) << SECOND_SHIFT;
        let hash = (by_hash & HASH_MASK) >> SECOND_BITS;
        Self((by_hash & !HASH_MASK) | second | hash)
    }

    /// Returns the rank with this place in the order, counted from zero.
    #[must_use]
    pub fn from_index(index: u8) -> Self {
        Self(index)
    }

    /// Returns the place in the order, counted from zero.
    #[must_use]
    pub fn index(self) -> u8 {
        self.0
    }

    /// Returns the importance that the rank was made from.
    #[must_use]
    pub fn importance(self) -> Importance {
        Importance::ALL[usize::from(self.0 >> HASH_BITS)]
    }
}

impl fmt::Display for Rank {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for Rank {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        text.parse().map(Self)
    }
}
