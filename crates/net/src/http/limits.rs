//! Limits on the size of messages, on times and on connections.

use std::time::Duration;

/// The maximum size of a request or status line with its headers, in bytes.
///
/// The decoder of `monoio-http` crashes the process on a header name of more than 64 KiB, so the
/// limit stays well below that.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// The maximum size of a request body, in bytes.
const MAX_REQUEST_BODY_BYTES: usize = 1024 * 1024;

/// The maximum size of a response body, in bytes; the largest are register bundles and route packs.
const MAX_RESPONSE_BODY_BYTES: usize = 8 * 1024 * 1024;

/// How long a connection may take to deliver its next complete request.
const READ_TIMEOUT: Duration = Duration::from_mins(1);

/// How long a peer may take to accept a response.
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);

/// The maximum number of open connections of one port.
const MAX_CONNECTIONS: usize = 4096;

/// The maximum size of a body on a port with few callers, in bytes.
const MAX_SMALL_BODY_BYTES: usize = 64 * 1024;

/// The maximum number of open connections of a port with few callers.
const MAX_FEW_CONNECTIONS: usize = 64;

/// Limits on messages, times and connections.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// The maximum size of a request or status line with its headers, in bytes.
    pub head_bytes: usize,
    /// The maximum size of a received body, in bytes.
    pub body_bytes: usize,
    /// How long a connection may take to deliver its next complete request.
    pub read_time: Duration,
    /// How long a peer may take to accept a response.
    pub write_time: Duration,
    /// The maximum number of open connections of one port.
    pub connections: usize,
    /// An artificial delay for each accepted connection, during which no other is accepted.
    pub accept_time: Duration,
}

impl Limits {
    /// Returns the limits of a port that receives requests.
    #[must_use]
    pub const fn server() -> Self {
        Self {
            head_bytes: MAX_HEAD_BYTES,
            body_bytes: MAX_REQUEST_BODY_BYTES,
            read_time: READ_TIMEOUT,
            write_time: WRITE_TIMEOUT,
            connections: MAX_CONNECTIONS,
            accept_time: Duration::ZERO,
        }
    }

    /// Returns the limits of a port that only the own instance and the platform call, with short
    /// messages.
    #[must_use]
    pub const fn few_callers() -> Self {
        Self {
            body_bytes: MAX_SMALL_BODY_BYTES,
            connections: MAX_FEW_CONNECTIONS,
            ..Self::server()
        }
    }

    /// Returns the limits of a connection that receives responses.
    #[must_use]
    pub const fn client() -> Self {
        Self {
            body_bytes: MAX_RESPONSE_BODY_BYTES,
            ..Self::server()
        }
    }
}
