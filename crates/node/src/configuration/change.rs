//! One accepted change of the configuration.

use sailtrack_units::{ConfigVersion, OperatorName, Timestamp};
use serde::{Deserialize, Serialize};

/// One accepted change of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Change {
    /// The id of the command that made it.
    pub(crate) command: String,
    /// The operator who issued the command.
    pub(crate) operator: OperatorName,
    /// The version that it created.
    pub(crate) version: ConfigVersion,
    /// When it was accepted.
    pub(crate) at: Timestamp,
    /// A short description of the change.
    pub(crate) summary: String,
}
