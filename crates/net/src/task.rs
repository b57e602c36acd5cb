//! Spawns tasks whose panics don't end the process, and counts work in flight.

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

/// Spawns a task; a panic in it is logged and ends that task alone.
pub fn spawn<F>(name: &'static str, task: F)
where
    F: Future<Output = ()> + 'static,
{
    // A combinator, since an async block would store the future of the task twice.
    let guarded = AssertUnwindSafe(task).catch_unwind().map(move |result| {
        if result.is_err() {
            PANICS.set(PANICS.get() + 1);
            emit(&catalogue::TASK_PANICKED, &[("task", &name)]);
        }
    });
    monoio::spawn(guarded);
}

/// RAII guard that counts one piece of work until it is dropped.
#[derive(Debug)]
pub struct Guard(Rc<Cell<usize>>);

impl Guard {
    /// Increments `count` until the guard is dropped.
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
