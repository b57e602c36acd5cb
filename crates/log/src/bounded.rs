//! A log appender that never blocks: it drops lines if the reader of the log is too slow.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

use logforth::append::Async;
use logforth::append::asynchronous::AsyncBuilder;
use logforth::record::Record;
use logforth::{Append, Diagnostic, Error};

/// The most lines that wait to be written, some 300 bytes each. A reader that stops reading only
/// blocks the writing thread.
const MAX_PENDING_LINES: usize = 1000;

/// The number of lines dropped since the last call of [`take_dropped_count`].
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Returns how many lines were dropped since the last call.
pub(crate) fn take_dropped_count() -> u64 {
    // This is called for each line, and a load is cheaper than a swap.
    if DROPPED.load(Ordering::Relaxed) == 0 {
        return 0;
    }
    DROPPED.swap(0, Ordering::Relaxed)
}

/// An appender that passes lines to a writer thread and drops those beyond a limit.
#[derive(Debug)]
pub(crate) struct Bounded {
    thread: Async,
    pending: Arc<AtomicUsize>,
}

impl Bounded {
    /// Returns an appender that writes through `inner` on another thread.
    pub(crate) fn new(inner: impl Into<Box<dyn Append>>) -> Self {
        let pending = Arc::<AtomicUsize>::default();
        let counted = Counted {
            inner: inner.into(),
            pending: Arc::clone(&pending),
        };
        let thread = AsyncBuilder::new("log").append(counted).build();
        Self { thread, pending }
    }
}

impl Append for Bounded {
    fn append(&self, record: &Record, diags: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        if self.pending.fetch_add(1, Ordering::Relaxed) >= MAX_PENDING_LINES {
            self.pending.fetch_sub(1, Ordering::Relaxed);
            DROPPED.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        self.thread.append(record, diags)
    }

    fn flush(&self) -> Result<(), Error> {
        self.thread.flush()
    }
}

/// The writer thread's side: writes lines and updates the number of pending lines.
#[derive(Debug)]
struct Counted {
    inner: Box<dyn Append>,
    pending: Arc<AtomicUsize>,
}

impl Append for Counted {
    fn append(&self, record: &Record, diags: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let result = self.inner.append(record, diags);
        self.pending.fetch_sub(1, Ordering::Relaxed);
        result
    }

    fn flush(&self) -> Result<(), Error> {
        self.inner.flush()
    }
}
