//! How much a kind of request matters.

use std::fmt;
use std::str::FromStr;

use displaydoc::Display;
use serde::{Deserialize, Serialize};

/// How much a kind of request matters; the greatest is shed last.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Importance {
    /// Shed first.
    Low,
    /// The importance of what is not declared otherwise.
    #[default]
    Normal,
    /// Shed after normal requests.
    High,
    /// Shed last.
    Critical,
}

/// importance must be one of: low, normal, high, critical
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub struct ImportanceError;

impl std::error::Error for ImportanceError {}

impl Importance {
    /// Every importance, the least first.
    pub const ALL: [Self; 4] = [Self::Low, Self::Normal, Self::High, Self::Critical];

    /// Returns the word used for it in declarations.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Low => "low",
            Self::Normal => "normal",
            Self::High => "high",
            Self::Critical => "critical",
        }
    }
}

impl fmt::Display for Importance {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

impl FromStr for Importance {
    type Err = ImportanceError;

    fn from_str(text: &str) -> Result<Self, ImportanceError> {
        Self::ALL
            .into_iter()
            .find(|importance| importance.as_str() == text)
            .ok_or(ImportanceError)
    }
}

/// What decides first in which order requests are shed: how much the workspace matters on whose
/// behalf a request is made, then how much its kind does. Without a workspace the kind is both.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
pub struct Class {
    /// How much the workspace matters.
    pub workspace: Importance,
    /// How much the kind of request matters.
    pub kind: Importance,
}

impl Class {
    /// The number of different classes.
    pub const COUNT: usize = Importance::ALL.len() * Importance::ALL.len();

    /// Returns the place in the order, counted from zero.
    #[must_use]
    pub fn index(self) -> usize {
        self.workspace as usize * Importance::ALL.len() + self.kind as usize
    }

    /// Returns the class with this place in the order, if there is one.
    #[must_use]
    pub fn from_index(index: usize) -> Option<Self> {
        let workspace = *Importance::ALL.get(index / Importance::ALL.len())?;
        let kind = Importance::ALL[index % Importance::ALL.len()];
        Some(Self { workspace, kind })
    }
}

impl From<Importance> for Class {
    fn from(kind: Importance) -> Self {
        Self {
            workspace: kind,
            kind,
        }
    }
}
