//! Why the stand-in ends with a failure.

use displaydoc::Display;
use sailtrack_settings::Problems;

/// Why the stand-in ends with a failure.
#[derive(Debug, Display)]
pub enum Error {
    /// the settings are not sound:
    /// {0}
    Settings(Problems),
    /// {0}
    Io(std::io::Error),
}

impl std::error::Error for Error {}
