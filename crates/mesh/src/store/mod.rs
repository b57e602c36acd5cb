//! Interface of the store, which holds all state that must outlive a node.

pub(crate) mod clock;
mod feed;

use std::time::Duration;

use displaydoc::Display;
use futures::future::LocalBoxFuture;
use sailtrack_units::Era;

pub use clock::StoreTime;
pub(crate) use clock::{Clock, MAX_DRIFT as CLOCK_DRIFT, MAX_ERROR as CLOCK_ERROR};
pub(crate) use feed::{Debounce, Follower, LONG_POLL_TIMEOUT, Reachability, follow};

/// A table of the store.
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

/// A version of the whole store, assigned by each transaction.
///
/// A store that is restored from a backup reuses numbers, so versions are ordered by era first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct StoreVersion {
    /// The era of the store.
    pub era: Era,
    /// The transaction number within the era.
    pub number: u64,
}

/// The content of a row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Content {
    /// A text.
    Text(String),
    /// The row was removed.
    Removed,
    /// Content that is not text and was not written by a node, with the reason why it is unreadable.
    Unreadable(String),
}

/// One row of a table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// The key; empty if it cannot be read.
    pub key: String,
    /// The content.
    pub content: Content,
    /// The store version of the last change.
    pub version: StoreVersion,
}

/// A consistent snapshot of rows, or the changes since a version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rows {
    /// The rows.
    pub rows: Vec<Row>,
    /// The version of the store at the time of the read.
    pub version: StoreVersion,
    /// The store's clock at the time of the read, if reported.
    pub now: Option<StoreTime>,
    /// Whether all requested rows are included.
    pub is_complete: bool,
}

/// The result of reading one row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Lookup {
    /// The row, if it exists.
    pub row: Option<Row>,
    /// The era of the store.
    pub era: Era,
    /// The store's clock at the time of the read, if reported.
    pub now: Option<StoreTime>,
}

/// Why an operation on the store failed.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum StoreError {
    /// no response from the store: {0}
    Unanswered(String),
    /// the store rejected the operation with status {0}; it had no effect
    Refused(u16),
    /// the store does not have the requested history: it was discarded or is of another era
    HistoryGone,
    /// version conflict: a row does not have the expected version
    Conflict,
    /// malformed response from the store: {0}
    Malformed(String),
}

impl std::error::Error for StoreError {}

/// The future of an operation on the store.
pub type Operation<'a, T> = LocalBoxFuture<'a, Result<T, StoreError>>;

/// A transactional store of rows.
///
/// An operation that fails without a response may have taken effect, or may still do so later.
pub trait Store {
    /// Returns all rows of a table.
    fn rows(&self, table: Table) -> Operation<'_, Rows>;

    /// Returns one row of a table.
    fn row<'a>(&'a self, table: Table, key: &'a str) -> Operation<'a, Lookup>;

    /// Long poll: returns the rows that changed after a version as soon as there are any, or an
    /// empty list after `wait`.
    fn changes(&self, table: Table, after: StoreVersion, wait: Duration) -> Operation<'_, Rows>;

    /// Writes a row unconditionally.
    fn put<'a>(&'a self, table: Table, key: &'a str, value: &'a str) -> Operation<'a, ()>;

    /// Compare-and-swap: writes a row if it still has this version; version zero requires that the
    /// row does not exist.
    fn replace<'a>(
        &'a self,
        table: Table,
        key: &'a str,
        value: &'a str,
        version: StoreVersion,
    ) -> Operation<'a, ()>;

    /// Compare-and-delete: removes a row if it still has this version.
    fn remove<'a>(&'a self, table: Table, key: &'a str, version: StoreVersion)
    -> Operation<'a, ()>;
}
