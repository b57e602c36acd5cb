//! Names of services, nodes, failure domains, request kinds, events, operators and workspaces.

use std::fmt;
use std::rc::Rc;
use std::str::FromStr;

use displaydoc::Display;
use serde::{Deserialize, Serialize};

/// The maximum length of a name, in bytes.
const MAX_NAME_LENGTH: usize = 63;

/// Why a name could not be parsed.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum NameError {
    /// a name must not be empty
    Empty,
    /// a name has at most 63 bytes, this one has {0}
    TooLong(usize),
    /// a name has only a-z, 0-9, '-', '_' and '.', and starts with a letter or digit: found {0:?}
    Character(char),
}

impl std::error::Error for NameError {}

fn validate(text: &str) -> Result<(), NameError> {
    if text.is_empty() {
        return Err(NameError::Empty);
    }
    if text.len() > MAX_NAME_LENGTH {
        return Err(NameError::TooLong(text.len()));
    }
    let is_allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "-_.".contains(c);
    if let Some(bad) = text.chars().find(|c| !is_allowed(*c)) {
        return Err(NameError::Character(bad));
    }
    match text.chars().next() {
        Some(first) if !first.is_ascii_alphanumeric() => Err(NameError::Character(first)),
        _ => Ok(()),
    }
}

macro_rules! name {
    ($(#[$doc:meta])* $type:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $type(Rc<str>);

        impl $type {
            /// Returns the name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(&self.0)
            }
        }

        impl FromStr for $type {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, NameError> {
                validate(text)?;
                Ok(Self(Rc::from(text)))
            }
        }

        impl TryFrom<String> for $type {
            type Error = NameError;

            fn try_from(text: String) -> Result<Self, NameError> {
                text.parse()
            }
        }

        impl From<$type> for String {
            fn from(name: $type) -> Self {
                name.0.to_string()
            }
        }
    };
}

name!(
    /// The name of a service, such as `ledger`.
    ServiceName
);
name!(
    /// The name of a node, unique in a deployment.
    NodeName
);
name!(
    /// The name of a failure domain.
    DomainName
);
name!(
    /// The name of a kind of request, such as `disbursement`.
    KindName
);
name!(
    /// The name of a declared event.
    EventName
);
name!(
    /// The name of an operator, as given with a command.
    OperatorName
);
name!(
    /// The name of a workspace.
    WorkspaceName
);
