//! The store in which everything lives that must outlast a node.

pub(crate) mod clock;
mod feed;

use std::time::Duration;

use displaydoc::Display;
use futures::future::LocalBoxFuture;
use sailtrack_units::Era;

pub use clock::StoreTime;
pub(crate) use clock::{Clock, MAX_DRIFT as CLOCK_DRIFT, MAX_ERROR as CLOCK_ERROR};
pub(crate) use feed::{Debounce, Follower, LONG_POLL_TIMEOUT, Reachability, follow};

/// The tables that the mesh uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Table {
    /// configuration
    Configuration,
    /// members
    Members,
    /// retired upstreams
    Retired,
    /// quotas
    Quotas,
}

/// The version of the whole store after a transaction.
///
/// A store that comes back from a copy gives numbers out again; the later era is the later version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct StoreVersion {
    /// The era of the store.
    pub era: Era,
    /// The number within it.
    pub number: u64,
}

/// What a row holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Content {
    /// A text.
    Text(String),
    /// Nothing, since the row was removed.
    Removed,
    /// Something that is no text, written by somebody else; why it cannot be read.
    Unreadable(String),
}

/// One row of a table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// Its key; empty if that cannot be read.
    pub key: String,
    /// What it holds.
    pub content: Content,
    /// The version at which it was last changed.
    pub version: StoreVersion,
}

/// Rows as of one moment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rows {
    /// The rows.
    pub rows: Vec<Row>,
    /// The version of the store at that moment.
    pub version: StoreVersion,
    /// What the clock of the store showed then, if it tells that.
    pub now: Option<StoreTime>,
    /// Whether these are all rows that were asked for.
    pub is_complete: bool,
}

/// One row as of one moment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Lookup {
    /// The row, if it is there.
    pub row: Option<Row>,
    /// The era of the store.
    pub era: Era,
    /// What the clock of the store showed then, if it tells that.
    pub now: Option<StoreTime>,
}

/// Why an operation on the store failed.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum StoreError {
    /// the store cannot be reached, or its answer was lost: {0}
    Unanswered(String),
    /// the store refuses at present, with status {0}; nothing was done
    Refused(u16),
    /// the store does not have the history that was asked for: no longer, or not in this era
    HistoryGone,
    /// a row has another version than was required
    Conflict,
    /// the answer of the store cannot be read: {0}
    Malformed(String),
}

impl std::error::Error for StoreError {}

/// The future of an operation on the store.
pub type Operation<'a, T> = LocalBoxFuture<'a, Result<T, StoreError>>;

/// A transactional store of rows.
///
/// An operation without an answer may have been performed, or may be later.
pub trait Store {
    /// Returns all rows of a table.
    fn rows(&self, table: Table) -> Operation<'_, Rows>;

    /// Returns one row of a table.
    fn row<'a>(&'a self, table: Table, key: &'a str) -> Operation<'a, Lookup>;

    /// Returns the rows that changed after a version, as soon as there is one or `wait` is over.
    fn changes(&self, table: Table, after: StoreVersion, wait: Duration) -> Operation<'_, Rows>;

    /// Writes a row, whatever stands there.
    fn put<'a>(&'a self, table: Table, key: &'a str, value: &'a str) -> Operation<'a, ()>;

    /// Writes a row if it still has this version; zero stands for one that is not there.
    fn replace<'a>(
        &'a self,
        table: Table,
        key: &'a str,
        value: &'a str,
        version: StoreVersion,
    ) -> Operation<'a, ()>;

    /// Removes a row if it still has this version.
    fn remove<'a>(&'a self, table: Table, key: &'a str, version: StoreVersion)
    -> Operation<'a, ()>;
}
