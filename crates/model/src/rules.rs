//! Which mechanisms decide in a run, to see what each is worth.

use std::fmt;

/// A mechanism that can be switched off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mechanism {
    /// Kinds whose path has no upstream are held back.
    Breaker,
    /// Windows follow the pressure at the own upstream of a request too.
    OwnPressure,
    /// Windows bound what is begun of each kind; without them nothing holds kinds back.
    Windows,
    /// Calls of requests that have begun go before new requests and wait longer.
    BegunFirst,
    /// A full upstream's requests are brought to another one.
    Redirects,
    /// Full services tell which requests are to begin.
    Floors,
}

impl Mechanism {
    /// All of them.
    pub const ALL: [Self; 6] = [
        Self::Breaker,
        Self::OwnPressure,
        Self::Windows,
        Self::BegunFirst,
        Self::Redirects,
        Self::Floors,
    ];
}

impl fmt::Display for Mechanism {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Breaker => "breaker",
            Self::OwnPressure => "own pressure",
            Self::Windows => "windows",
            Self::BegunFirst => "begun first",
            Self::Redirects => "redirects",
            Self::Floors => "floors",
        })
    }
}

/// Which mechanisms decide in a run: all of them, or all but one.
#[derive(Debug, Clone, Copy, Default)]
pub struct Rules {
    off: Option<Mechanism>,
}

impl Rules {
    /// Returns the rules of a run without one mechanism.
    #[must_use]
    pub fn without(mechanism: Mechanism) -> Self {
        Self {
            off: Some(mechanism),
        }
    }

    pub(crate) fn has(self, mechanism: Mechanism) -> bool {
        self.off != Some(mechanism)
    }
}
