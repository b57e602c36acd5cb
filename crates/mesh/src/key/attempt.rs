//! Identifier of an attempt of a client.

use std::fmt;
use std::rc::Rc;

/// Identifies one attempt of a client; chosen by the client and opaque to the mesh.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptKey(Rc<str>);

impl AttemptKey {
    /// The longest key in bytes; keys are remembered for a minute.
    pub const MAX_BYTES: usize = 1024;

    /// Returns the key as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for AttemptKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.0)
    }
}

impl From<&str> for AttemptKey {
    fn from(text: &str) -> Self {
        Self(Rc::from(text))
    }
}

impl std::borrow::Borrow<str> for AttemptKey {
    fn borrow(&self) -> &str {
        &self.0
    }
}
