//! Rows of the platform's table.

use serde::Deserialize;

/// One row of the table.
#[derive(Debug, Clone, Deserialize)]
pub(crate) struct Row {
    pub(crate) version: u64,
    pub(crate) value: String,
}

/// Several rows of the table.
#[derive(Debug, Clone, Deserialize)]
pub(crate) struct Rows {
    pub(crate) rows: Vec<Row>,
}

/// The result of a write that was answered.
#[derive(Debug, Clone)]
pub(crate) enum Written {
    /// The write took effect; this is the row now.
    Done(Row),
    /// The write had no effect; this is the current row.
    Conflict(Row),
}
