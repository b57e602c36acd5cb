//! Identifies one life of an upstream.

use std::fmt;
use std::rc::Rc;
use std::str::FromStr;

use displaydoc::Display;
use sailtrack_units::Timestamp;

/// Stands between the id and the time of the start; no id contains it.
const SEPARATOR: char = '/';

/// One life of an upstream: its id and, if it tells that, when it was started.
///
/// An upstream may start again under the id that it had. It knows nothing of
/// before, so what holds for one life must not be taken to hold for the next.
/// As text it is the id, or the id, a slash and the time.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct UpstreamKey {
    id: Rc<str>,
    started: Option<Timestamp>,
}

/// Why a text names no life of an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum KeyError {
    /// an id of an upstream must not be empty or contain a slash: {0:?}
    Id(String),
    /// after the slash must stand a whole number of milliseconds: {0:?}
    StartTime(String),
}

impl std::error::Error for KeyError {}

impl UpstreamKey {
    /// Returns the key of the life with this id that was started at this time.
    pub fn new(id: &str, started: Option<Timestamp>) -> Result<Self, KeyError> {
        if id.is_empty() || id.contains(SEPARATOR) {
            return Err(KeyError::Id(id.to_owned()));
        }
        let id = Rc::from(id);
        Ok(Self { id, started })
    }

    /// Returns the id, which later lives may share.
    #[must_use]
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Returns when this life was started, if it tells that.
    #[must_use]
    pub fn started(&self) -> Option<Timestamp> {
        self.started
    }

    /// Returns true if both name the same life, as far as they say.
    #[must_use]
    pub fn is_same_incarnation(&self, other: &Self) -> bool {
        let is_same_start = match (self.started, other.started) {
            (Some(one), Some(two)) => one == two,
            _ => true,
        };
        self.id == other.id && is_same_start
    }

    /// Returns true if both tell their start and this one is the earlier.
    #[must_use]
    pub fn is_older_than(&self, other: &Self) -> bool {
        matches!((self.started, other.started), (Some(one), Some(two)) if one < two)
    }
}

impl fmt::Display for UpstreamKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.started {
            Some(started) => write!(f, "{}{SEPARATOR}{}", self.id, started.0),
            None => f.write_str(&self.id),
        }
    }
}

impl FromStr for UpstreamKey {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self, KeyError> {
        let Some((id, started)) = text.split_once(SEPARATOR) else {
            return Self::new(text, None);
        };
        let millis = started.parse();
        let started = millis.map_err(|_| KeyError::StartTime(started.to_owned()))?;
        Self::new(id, Some(Timestamp(started)))
    }
}
