//! Errors of the subcommands.

use std::net::SocketAddr;
use std::path::PathBuf;

use displaydoc::Display;
use sailtrack_language::SyntaxError;
use sailtrack_settings::Problems;

use crate::exit::Exit;

/// Why a subcommand failed.
#[derive(Debug, Display)]
pub(crate) enum Error {
    /// {0}
    Problems(Problems),
    /// {0}
    Syntax(SyntaxError),
    /// {0}: {1}
    File(PathBuf, std::io::Error),
    /// the node at {0} cannot be reached: {1}
    Node(SocketAddr, sailtrack_net::http::ExchangeError),
    /// no answer came from the node at {node}: the command may have taken effect, ask with: show command {command}
    Unanswered {
        /// The operator port of the node.
        node: SocketAddr,
        /// The id of the command.
        command: String,
    },
    /// the answer of the node makes no sense: {0}
    Answer(String),
    /// {0}
    Refused(String),
    /// --output {0} needs --to FILE
    OutputFile(&'static str),
    /// cannot draw the picture: {0}
    Picture(String),
    /// {0}
    Io(std::io::Error),
}

impl std::error::Error for Error {}

impl Error {
    /// Returns the exit status for this error.
    pub(crate) fn exit(&self) -> Exit {
        match self {
            Self::Problems(_) | Self::Syntax(_) | Self::Refused(_) | Self::OutputFile(_) => {
                Exit::Usage
            }
            Self::Node(..) => Exit::Unreachable,
            Self::Unanswered { .. } => Exit::Unknown,
            Self::File(..) | Self::Answer(_) | Self::Picture(_) | Self::Io(_) => Exit::Failure,
        }
    }
}

impl From<std::io::Error> for Error {
    fn from(error: std::io::Error) -> Self {
        Self::Io(error)
    }
}
