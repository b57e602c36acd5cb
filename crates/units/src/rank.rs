//! The order in which requests are shed.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use crate::{Importance, RequestId};

/// The lower bits of a rank, which hold a hash of the root request.
const HASH_BITS: u32 = 6;
/// Mask of the hash bits.
const HASH_MASK: u8 = (1 << HASH_BITS) - 1;
/// The upper hash bits that hold the importance of the kind instead, in a rank whose first
/// criterion is the importance of the workspace.
const KIND_BITS: u32 = 2;
/// Position of the kind bits.
const KIND_SHIFT: u32 = HASH_BITS - KIND_BITS;

/// The position of a request in the shedding order; the smallest is shed first.
///
/// Requests are ordered by importance, then by a hash of the root request. The hash is the same on
/// every node, so that all layers keep the same requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
pub struct Rank(u8);

impl Rank {
    /// The number of different ranks.
    pub const COUNT: usize = 4 << HASH_BITS;
    /// The rank that is shed first; as an admission level it admits every request.
    pub const LOWEST: Self = Self(0);
    /// The rank that is shed last.
    pub const HIGHEST: Self = Self(u8::MAX);

    /// Returns the rank of a root request with this importance.
    #[must_use]
    pub fn new(importance: Importance, request: RequestId) -> Self {
        let class = (importance as u8) << HASH_BITS;
        let hash = (request.stable_hash() >> (u64::BITS - HASH_BITS)).to_le_bytes()[0];
        Self(class | hash)
    }

    /// Returns the rank of a root request made for a workspace: ordered by the importance of the
    /// workspace, then by that of the kind.
    #[must_use]
    pub fn for_workspace(workspace: Importance, kind: Importance, request: RequestId) -> Self {
        let Self(by_hash) = Self::new(workspace, request);
        let kind_bits = (kind as u8) << KIND_SHIFT;
        let hash = (by_hash & HASH_MASK) >> KIND_BITS;
        Self((by_hash & !HASH_MASK) | kind_bits | hash)
    }

    /// Returns the rank at this position in the shedding order, counted from zero.
    #[must_use]
    pub fn from_index(index: u8) -> Self {
        Self(index)
    }

    /// Returns the position in the shedding order, counted from zero.
    #[must_use]
    pub fn index(self) -> u8 {
        self.0
    }

    /// Returns the importance that is the first criterion of this rank.
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
