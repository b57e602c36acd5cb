//! Errors of announcements and of rows of retired upstreams.

use std::net::SocketAddr;

use displaydoc::Display;
use http::StatusCode;
use sailtrack_units::ServiceName;

use crate::dialect::DialectError;
use crate::key::KeyError;

/// Why a message is not an announcement of this node's upstream.
#[derive(Debug, Display)]
pub(crate) enum AnnouncementError {
    /// {0}
    Dialect(DialectError),
    /// the upstream beside this node is of service {expected}, not {announced}
    Service {
        /// The service of this node's upstream.
        expected: ServiceName,
        /// The service in the message.
        announced: ServiceName,
    },
    /// the upstream beside this node is at {expected}, not at {announced}
    Address {
        /// The address of this node's upstream.
        expected: SocketAddr,
        /// The address in the message.
        announced: SocketAddr,
    },
    /// the upstream beside this node tells when it was started, this message does not
    MissingStart,
}

impl std::error::Error for AnnouncementError {}

impl AnnouncementError {
    pub(crate) fn status(&self) -> StatusCode {
        match self {
            Self::Dialect(DialectError::NotFound) => StatusCode::NOT_FOUND,
            _ => StatusCode::BAD_REQUEST,
        }
    }
}

/// Why a row of the table of retired upstreams is invalid.
#[derive(Debug, Display)]
pub(crate) enum RowError {
    /// {0}
    Unreadable(String),
    /// the row was removed
    Removed,
    /// {0}
    Key(KeyError),
    /// the upstream id in the row differs from the key
    IdMismatch,
}

impl std::error::Error for RowError {}
