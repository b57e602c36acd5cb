//! Errors that end a process.

use std::io;
use std::net::SocketAddr;

use displaydoc::Display;
use sailtrack_settings::Problems;

use crate::table::Missing;

/// An error that ends a process.
#[derive(Debug, Display)]
pub enum Error {
    /// invalid settings:
    /// {0}
    Settings(Problems),
    /// cannot start the runtime: {0}
    Runtime(io::Error),
    /// cannot open the {port} port on {address}: {error}
    Port {
        /// The name of the port.
        port: &'static str,
        /// The address to which it was to be bound.
        address: SocketAddr,
        /// The error of the operating system.
        error: io::Error,
    },
    /// cannot handle signals: {0}
    Signal(io::Error),
    /// {0}
    Service(Missing),
}

impl std::error::Error for Error {}

impl From<Missing> for Error {
    fn from(error: Missing) -> Self {
        Self::Service(error)
    }
}
