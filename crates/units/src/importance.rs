//! Importance levels of requests and the classes built from them.

use std::fmt;
use std::str::FromStr;

use displaydoc::Display;
use serde::{Deserialize, Serialize};

/// The importance of a kind of request; more important requests are shed later.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Importance {
    /// Shed first.
    Low,
    /// The default for kinds that declare no importance.
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
    /// All levels, in ascending order.
    pub const ALL: [Self; 4] = [Self::Low, Self::Normal, Self::High, Self::Critical];

    /// Returns the name used in declarations.
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

/// The first criterion of the shedding order: the importance of the workspace that a request is
/// made for, then that of its kind. Without a workspace, the importance of the kind serves as both.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
pub struct Class {
    /// The importance of the workspace.
    pub workspace: Importance,
    /// The importance of the kind of request.
    pub kind: Importance,
}

impl Class {
    /// The number of different classes.
    pub const COUNT: usize = Importance::ALL.len() * Importance::ALL.len();

    /// Returns the position in the shedding order, counted from zero.
    #[must_use]
    pub fn index(self) -> usize {
        self.workspace as usize * Importance::ALL.len() + self.kind as usize
    }

    /// Returns the class at this position in the shedding order, if there is one.
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
