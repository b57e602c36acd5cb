//! Why a program of the product ends with a failure.

use std::io;
use std::net::SocketAddr;

use displaydoc::Display;
use sailtrack_settings::Problems;

use crate::table::Missing;

/// Why a program of the product ends with a failure.
#[derive(Debug, Display)]
pub enum Error {
    /// the settings are not sound:
    /// {0}
    Settings(Problems),
    /// the runtime cannot start: {0}
    Runtime(io::Error),
    /// cannot open the {port} port on {address}: {error}
    Port {
        /// Which port.
        port: &'static str,
        /// Its address.
        address: SocketAddr,
        /// Why not.
        error: io::Error,
    },
    /// cannot take over a signal: {0}
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
