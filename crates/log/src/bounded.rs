//! An appender that never waits for who reads the log.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

use logforth::append::Async;
use logforth::append::asynchronous::AsyncBuilder;
use logforth::record::Record;
use logforth::{Append, Diagnostic, Error};

/// The most lines that wait to be written, some 300 bytes each. A reader that stands still holds
/// up the thread that writes, nothing else.
const MOST_WAITING: usize = 1000;

/// Lines that were given up since this was last asked.
static LEFT_OUT: AtomicU64 = AtomicU64::new(0);

/// Returns how many lines were given up since the last call.
pub(crate) fn take_left_out() -> u64 {
    // A plain read first: it is asked for with each line.
    if LEFT_OUT.load(Ordering::Relaxed) == 0 {
        return 0;
    }
    LEFT_OUT.swap(0, Ordering::Relaxed)
}

/// Hands lines to a thread of its own, and gives up those for which there is no room.
#[derive(Debug)]
pub(crate) struct Bounded {
    thread: Async,
    waiting: Arc<AtomicUsize>,
}

impl Bounded {
    /// Returns an appender that writes through `inner` on another thread.
    pub(crate) fn new(inner: impl Into<Box<dyn Append>>) -> Self {
        let waiting = Arc::<AtomicUsize>::default();
        let counted = Counted {
            inner: inner.into(),
            waiting: Arc::clone(&waiting),
        };
        let thread = AsyncBuilder::new("log").append(counted).build();
        Self { thread, waiting }
    }
}

impl Append for Bounded {
    fn append(&self, record: &Record, diags: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        if self.waiting.fetch_add(1, Ordering::Relaxed) >= MOST_WAITING {
            self.waiting.fetch_sub(1, Ordering::Relaxed);
            LEFT_OUT.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        self.thread.append(record, diags)
    }

    fn flush(&self) -> Result<(), Error> {
        self.thread.flush()
    }
}

/// Writes lines and counts that they no longer wait.
#[derive(Debug)]
struct Counted {
    inner: Box<dyn Append>,
    waiting: Arc<AtomicUsize>,
}

impl Append for Counted {
    fn append(&self, record: &Record, diags: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let result = self.inner.append(record, diags);
        self.waiting.fetch_sub(1, Ordering::Relaxed);
        result
    }

    fn flush(&self) -> Result<(), Error> {
        self.inner.flush()
    }
}
