//! Identifier of an incarnation of an upstream.

use std::fmt;
use std::rc::Rc;
use std::str::FromStr;

use displaydoc::Display;
use sailtrack_units::Timestamp;

/// Separates the id from the start time; ids can't contain it.
const SEPARATOR: char = '/';

/// An incarnation of an upstream: its id and, if it reports one, its start time.
///
/// An upstream may restart under the same id without any state of its previous incarnation, so what
/// holds for one must not be assumed for the next. The text form is the id alone, or the id, a
/// slash and the start time in milliseconds.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct UpstreamKey {
    id: Rc<str>,
    started: Option<Timestamp>,
}

/// Why a text is not a valid key.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum KeyError {
    /// an id of an upstream must not be empty or contain a slash: {0:?}
    Id(String),
    /// after the slash must stand a whole number of milliseconds: {0:?}
    StartTime(String),
}

impl std::error::Error for KeyError {}

impl UpstreamKey {
    /// Returns the key of the incarnation with this id and start time.
    pub fn new(id: &str, started: Option<Timestamp>) -> Result<Self, KeyError> {
        if id.is_empty() || id.contains(SEPARATOR) {
            return Err(KeyError::Id(id.to_owned()));
        }
        let id = Rc::from(id);
        Ok(Self { id, started })
    }

    /// Returns the id, which later incarnations may share.
    #[must_use]
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Returns the start time, if the upstream reports one.
    #[must_use]
    pub fn started(&self) -> Option<Timestamp> {
        self.started
    }

    /// Returns true if both may be the same incarnation: the ids are equal, and so are the start
    /// times if both are known.
    #[must_use]
    pub fn is_same_incarnation(&self, other: &Self) -> bool {
        let is_same_start = match (self.started, other.started) {
            (Some(own), Some(others)) => own == others,
            _ => true,
        };
        self.id == other.id && is_same_start
    }

    /// Returns true if both have a start time and this one is earlier.
    #[must_use]
    pub fn is_older_than(&self, other: &Self) -> bool {
        matches!((self.started, other.started), (Some(own), Some(others)) if own < others)
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
