//! Exit statuses, documented in `docs/LANGUAGE.md`.

use std::process::ExitCode;

/// The exit status of the program.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Exit {
    /// The command succeeded.
    Success = 0,
    /// An unexpected error, such as a file that can't be read or an invalid response.
    Failure = 1,
    /// The arguments, the command or the declaration are invalid.
    Usage = 2,
    /// Another operator's change was accepted first.
    Conflict = 3,
    /// The outcome is unknown: the command may or may not have taken effect.
    Unknown = 4,
    /// The command had no effect, since a node or something that it needs was unreachable.
    Unreachable = 5,
    /// The change was accepted, but not confirmed to be in force on every instance.
    Partial = 6,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}
