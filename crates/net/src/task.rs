//! Tasks that may panic without ending the process.

use std::cell::Cell;
use std::future::Future;
use std::panic::AssertUnwindSafe;
use std::rc::Rc;

use futures::FutureExt as _;
use sailtrack_log::{catalogue, emit};

thread_local! {
    static PANICS: Cell<u64> = const { Cell::new(0) };
}

/// Returns how many tasks of this thread have panicked.
#[must_use]
pub fn panics() -> u64 {
    PANICS.get()
}

/// Starts a task; a panic in it is logged and ends only the task.
pub fn spawn<F>(name: &'static str, task: F)
where
    F: Future<Output = ()> + 'static,
{
    // Combined, not awaited in a block: that would keep the state of the task twice.
    let guarded = AssertUnwindSafe(task).catch_unwind().map(move |result| {
        if result.is_err() {
            PANICS.set(PANICS.get() + 1);
            emit(&catalogue::TASK_PANICKED, &[("task", &name)]);
        }
    });
    monoio::spawn(guarded);
}

/// Counts one piece of work for as long as it lives.
#[derive(Debug)]
pub struct Guard(Rc<Cell<usize>>);

impl Guard {
    /// Adds one to `count` until the value is dropped.
    #[must_use]
    pub fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(Rc::clone(count))
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
