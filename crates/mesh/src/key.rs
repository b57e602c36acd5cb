//! Identifiers that others choose and that are opaque here.

use std::convert::Infallible;
use std::fmt;
use std::rc::Rc;
use std::str::FromStr;

macro_rules! key {
    ($(#[$doc:meta])* $type:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub struct $type(Rc<str>);

        impl $type {
            /// Returns the key as text.
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
            type Err = Infallible;

            fn from_str(text: &str) -> Result<Self, Infallible> {
                Ok(Self::from(text))
            }
        }

        impl From<&str> for $type {
            fn from(text: &str) -> Self {
                Self(Rc::from(text))
            }
        }

        impl std::borrow::Borrow<str> for $type {
            fn borrow(&self) -> &str {
                &self.0
            }
        }
    };
}

key!(
    /// Identifies one attempt of a client, chosen by the client.
    AttemptKey
);
key!(
    /// Identifies one life of an upstream, chosen by the upstream.
    UpstreamKey
);
