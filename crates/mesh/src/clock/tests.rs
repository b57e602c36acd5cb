//! A test clock that can be advanced independently of the clock of the runtime.

use std::cell::Cell;
use std::time::Duration;

use monoio::time::sleep;
use sailtrack_net::runtime;
use sailtrack_units::Moment;

use crate::clock::{Elapsed, timeout_at};

/// Durations of the suspensions that tests simulate.
pub(crate) const SUSPENSIONS: [Duration; 3] = [
    Duration::from_secs(1),
    Duration::from_secs(5),
    Duration::from_secs(30),
];

thread_local! {
    /// Total time for which the instance of this test has been suspended.
    static SUSPENDED: Cell<Duration> = const { Cell::new(Duration::ZERO) };
}

pub(crate) fn now() -> Moment {
    Moment::now() + SUSPENDED.get()
}

/// Simulates a suspension of `time`, which only this clock counts.
pub(crate) fn suspend(time: Duration) {
    SUSPENDED.set(SUSPENDED.get() + time);
}

/// A deadline that passes during a suspension expires right after the instance resumes, not when
/// the timer of the runtime fires.
#[test]
fn deadline_passed() {
    let waited = async {
        let deadline = now() + Duration::from_millis(900);
        let began = std::time::Instant::now();
        let waiting = timeout_at(deadline, sleep(Duration::from_secs(20)));
        let suspending = async {
            sleep(Duration::from_millis(100)).await;
            suspend(Duration::from_secs(1));
        };
        let (result, ()) = futures::join!(waiting, suspending);
        (result, began.elapsed())
    };
    let (result, time) = runtime::run(waited).expect("a runtime");
    assert_eq!(result, Err(Elapsed));
    assert!(time < Duration::from_millis(800), "{time:?}");
}

#[test]
fn ends_in_time() {
    let deadline = now() + Duration::from_secs(5);
    let result = runtime::run(timeout_at(deadline, std::future::ready(7))).expect("a runtime");
    assert_eq!(result, Ok(7));
}
