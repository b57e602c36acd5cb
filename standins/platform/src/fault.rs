//! Faults that a test puts into the stand-in.

use serde::Deserialize;

/// How the stand-in behaves, as JSON such as `{"mode": "slow", "ms": 300}`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(tag = "mode", rename_all = "kebab-case")]
pub(crate) enum Fault {
    /// It works.
    #[default]
    None,
    /// Nothing is answered and nothing takes effect.
    Down,
    /// Everything is refused.
    Refuse,
    /// Everything takes effect at once and is answered this much later.
    Slow {
        /// How much longer, in milliseconds.
        ms: u64,
    },
    /// The next writes take effect and are not answered.
    LoseAnswers {
        /// How many writes.
        count: u64,
    },
    /// The next writes are not answered and take effect later.
    LateWrites {
        /// How many writes.
        count: u64,
        /// How much later, in milliseconds.
        ms: u64,
    },
}
