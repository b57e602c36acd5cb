//! What can go wrong in the rig.

use displaydoc::Display;

/// What can go wrong in the rig.
#[derive(Debug, Display)]
pub enum RigError {
    /// {0}
    Io(std::io::Error),
    /// cannot start {0}: {1}
    Start(String, std::io::Error),
    /// no loopback network is free
    NoNetwork,
    /// {0} was not reached within {1:?}
    NotReached(String, std::time::Duration),
    /// {0}; the last lines of the logs: {1}
    NotStarted(Box<RigError>, String),
    /// there is no process called {0}
    NoProcess(String),
    /// {0} answered: {1}
    Http(String, String),
    /// {0}
    Settings(sailtrack_settings::Problems),
    /// {file}: {text}
    Deployment {
        /// The file.
        file: String,
        /// What is wrong.
        text: String,
    },
    /// {0}
    Expectation(String),
    /// the output of a tool makes no sense: {0}
    Output(String),
}

impl std::error::Error for RigError {}

impl From<std::io::Error> for RigError {
    fn from(error: std::io::Error) -> Self {
        Self::Io(error)
    }
}

impl From<sailtrack_settings::Problems> for RigError {
    fn from(problems: sailtrack_settings::Problems) -> Self {
        Self::Settings(problems)
    }
}
