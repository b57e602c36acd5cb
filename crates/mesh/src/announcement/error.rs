//! Why a message or a row tells nothing about the own upstream.

use std::net::SocketAddr;

use displaydoc::Display;
use http::StatusCode;
use sailtrack_units::ServiceName;

use crate::dialect::DialectError;
use crate::key::KeyError;

/// Why a message is not one of the own upstream.
#[derive(Debug, Display)]
pub(crate) enum AnnouncementError {
    /// {0}
    Dialect(DialectError),
    /// the upstream beside this node is of service {own}, not {told}
    Service {
        /// The service of the own upstream.
        own: ServiceName,
        /// The service in the message.
        told: ServiceName,
    },
    /// the upstream beside this node is at {own}, not at {told}
    Address {
        /// Where the own upstream is.
        own: SocketAddr,
        /// The address in the message.
        told: SocketAddr,
    },
    /// the upstream beside this node tells when it was started, this message does not
    Start,
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

/// Why a row among those of upstreams that left names no life.
#[derive(Debug, Display)]
pub(crate) enum RowError {
    /// {0}
    Unreadable(String),
    /// the row was removed
    Removed,
    /// {0}
    Key(KeyError),
    /// the life in it has another id than the row
    OtherId,
}

impl std::error::Error for RowError {}
