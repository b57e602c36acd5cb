//! The rows by which later processes of this node learn which upstreams retired beside it.
//!
//! A row that the store does not record at once is written when the store responds again, since
//! copies in the memory of peers end with their processes.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt::Display;
use std::rc::Rc;
use std::time::Duration;

use futures::StreamExt as _;
use futures::channel::mpsc;
use monoio::time::{sleep, timeout};
use rand::Rng as _;
use sailtrack_log::{catalogue, emit};

use super::retirement::parse_retired;
use crate::key::UpstreamKey;
use crate::store::{Store, Table};

/// Timeout for one operation, after which copies on peers suffice for now.
const STORE_TIMEOUT: Duration = Duration::from_millis(600);
/// Minimum delay before another attempt.
const MIN_BACKOFF: Duration = Duration::from_millis(500);

/// Whether the store has a row.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Missing,
    Written,
    /// The store was restored from a backup, which may lack it.
    Lost,
}

/// The row of one upstream id.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Entry {
    upstream: UpstreamKey,
    state: State,
}

impl Entry {
    /// Returns true if the row says that an incarnation has retired: it names that one or a later
    /// one.
    fn covers(&self, upstream: &UpstreamKey) -> bool {
        self.upstream == *upstream || upstream.is_older_than(&self.upstream)
    }
}

/// The rows of upstreams that retired beside this node.
pub(crate) struct Rows {
    store: Rc<dyn Store>,
    /// The last retired incarnation of each upstream id.
    entries: RefCell<BTreeMap<String, Entry>>,
    wake: RefCell<mpsc::Sender<()>>,
    woken: RefCell<Option<mpsc::Receiver<()>>>,
}

impl Rows {
    pub(crate) fn new(store: Rc<dyn Store>) -> Self {
        let (wake, woken) = mpsc::channel(1);
        Self {
            store,
            entries: RefCell::default(),
            wake: RefCell::new(wake),
            woken: RefCell::new(Some(woken)),
        }
    }

    /// Returns true if the store has recorded the retirement of an incarnation or of a later one
    /// with the same id.
    pub(super) fn is_written(&self, upstream: &UpstreamKey) -> bool {
        let entries = self.entries.borrow();
        let entry = entries.get(upstream.id());
        entry.is_some_and(|entry| entry.covers(upstream) && entry.state == State::Written)
    }

    /// Records that the store has the row of an incarnation.
    pub(super) fn record_written(&self, upstream: &UpstreamKey) {
        self.set(upstream, State::Written);
    }

    /// Writes the row of an incarnation; if that fails, it is written later.
    pub(super) async fn write(&self, upstream: &UpstreamKey) -> bool {
        let is_known = self.entries.borrow().contains_key(upstream.id());
        let entry = self.set(upstream, State::Missing);
        if entry.upstream != *upstream {
            return entry.state == State::Written;
        }
        // An earlier process may have written the row of a later incarnation.
        let is_written = if is_known {
            self.put(upstream).await
        } else {
            self.write_entry(&entry).await
        };
        if is_written {
            self.finish(&entry);
        } else {
            self.wake();
        }
        is_written
    }

    /// Writes the row of an incarnation as soon as the store responds, unless it is written.
    pub(super) fn write_later(&self, upstream: &UpstreamKey) {
        if !self.is_written(upstream) {
            self.set(upstream, State::Missing);
            self.wake();
        }
    }

    /// Writes all rows again, since the store was restored from a backup that may lack them.
    pub(crate) fn restore(&self) {
        for entry in self.entries.borrow_mut().values_mut() {
            entry.state = State::Lost;
        }
        self.wake();
    }

    /// Writes rows that the store does not have, forever.
    pub(super) async fn write_missing(&self) {
        let Some(mut woken) = self.woken.take() else {
            return;
        };
        while woken.next().await.is_some() {
            while let Some(entry) = self.next_missing() {
                if self.write_entry(&entry).await {
                    log_written(&entry);
                    self.finish(&entry);
                } else {
                    sleep(MIN_BACKOFF.mul_f64(rand::rng().random_range(1.0..2.0))).await;
                }
            }
        }
    }

    /// Writes a row, unless the store has that of a later incarnation with the same id.
    async fn write_entry(&self, entry: &Entry) -> bool {
        let row = self.store.row(Table::Retired, entry.upstream.id());
        let reading = match timeout(STORE_TIMEOUT, row).await {
            Ok(Ok(reading)) => reading,
            Ok(Err(error)) => return log_failure(&error),
            Err(_) => return log_failure(&"late"),
        };
        let stored = reading.row.as_ref().map(parse_retired);
        if let Some(Ok(stored)) = stored {
            let stored = Entry {
                upstream: stored,
                state: State::Written,
            };
            if stored.covers(&entry.upstream) {
                self.record_written(&stored.upstream);
                return true;
            }
        }
        self.put(&entry.upstream).await
    }

    async fn put(&self, upstream: &UpstreamKey) -> bool {
        let retired = upstream.to_string();
        let put = self.store.put(Table::Retired, upstream.id(), &retired);
        match timeout(STORE_TIMEOUT, put).await {
            Ok(Ok(())) => true,
            Ok(Err(error)) => log_failure(&error),
            Err(_) => log_failure(&"late"),
        }
    }

    fn next_missing(&self) -> Option<Entry> {
        let entries = self.entries.borrow();
        let mut missing = entries
            .values()
            .filter(|entry| entry.state != State::Written);
        missing.next().cloned()
    }

    /// Sets the state of the row of an incarnation, unless a later one with the same id has retired;
    /// returns the entry of the id.
    fn set(&self, upstream: &UpstreamKey, state: State) -> Entry {
        let mut entries = self.entries.borrow_mut();
        let known = entries.get(upstream.id());
        if let Some(later) = known.filter(|known| upstream.is_older_than(&known.upstream)) {
            return later.clone();
        }
        let entry = Entry {
            upstream: upstream.clone(),
            state,
        };
        entries.insert(upstream.id().to_owned(), entry.clone());
        entry
    }

    /// Marks an entry as written, unless another incarnation has retired or the store was restored
    /// meanwhile.
    fn finish(&self, written: &Entry) {
        let mut entries = self.entries.borrow_mut();
        let entry = entries.get_mut(written.upstream.id());
        if let Some(entry) = entry.filter(|entry| *entry == written) {
            entry.state = State::Written;
        }
    }

    fn wake(&self) {
        // If the channel is full, the writer is about to run.
        let _ = self.wake.borrow_mut().try_send(());
    }
}

fn log_written(entry: &Entry) {
    if entry.state == State::Lost {
        let fields: &[(&str, &dyn Display)] =
            &[("table", &Table::Retired), ("key", &entry.upstream.id())];
        emit(&catalogue::ROW_RESTORED, fields);
    } else {
        emit(
            &catalogue::RETIREMENT_WRITTEN,
            &[("upstream", &entry.upstream)],
        );
    }
}

fn log_failure(reason: &dyn Display) -> bool {
    emit(
        &catalogue::STORE_FAILED,
        &[("operation", &"record retirement"), ("reason", reason)],
    );
    false
}
