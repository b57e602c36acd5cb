//! Which calls are admitted under a rate limit.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use sailtrack_units::{Importance, Period, Rank, Rate};

use crate::{Admission, Config, Decision, Policy, Waiting};

const CONFIG: Config = Config {
    policy: Policy::Adaptive,
    fixed_limit: 100,
    queue_time: Period::from_millis(100),
    nested_queue_time: Period::from_millis(200),
    warm_up: Period::from_millis(0),
};
const TIME_LEFT: Duration = Duration::from_secs(5);

thread_local! {
    static NOW: Cell<Instant> = Cell::new(Instant::now());
}

fn advance(time: Duration) {
    NOW.set(NOW.get() + time);
}

fn limited(rate: f64) -> Rc<Admission> {
    let admission = Admission::with_clock(CONFIG, || NOW.get(), NOW.get());
    let admission = Rc::new(admission);
    admission.limit_rate(Some(Rate(rate)));
    admission
}

fn submit(admission: &Rc<Admission>, importance: Importance) -> Decision {
    let rank = Rank::from_index((importance as u8) << 6);
    admission.submit(rank, false, TIME_LEFT)
}

fn waiting(decision: Decision) -> Waiting {
    match decision {
        Decision::Waiting(waiting) => waiting,
        Decision::Admitted(_) => panic!("it was admitted"),
        Decision::Refused(reason) => panic!("it was refused: {reason:?}"),
    }
}

#[test]
fn important_first() {
    let admission = limited(20.0);
    let low = waiting(submit(&admission, Importance::Low));
    let high = waiting(submit(&admission, Importance::High));
    advance(Duration::from_millis(50));
    admission.admit_waiting();
    assert!(high.is_decided());
    assert!(!low.is_decided());
    assert!(high.end().is_ok());
}

/// Nobody waits in a queue that cannot empty in time, and who waits holds no slot.
#[test]
fn short_queue() {
    let admission = limited(20.0);
    let first = waiting(submit(&admission, Importance::Normal));
    let second = waiting(submit(&admission, Importance::Normal));
    let third = submit(&admission, Importance::Normal);
    assert!(matches!(third, Decision::Refused(_)));
    assert_eq!(admission.in_flight(), 0);
    drop((first, second));
    let slow = limited(0.3);
    let refused = submit(&slow, Importance::Critical);
    assert!(matches!(refused, Decision::Refused(_)));
}

/// The end of a limit admits what waits for it.
#[test]
fn end_of_limit() {
    let admission = limited(20.0);
    let waiting = waiting(submit(&admission, Importance::Normal));
    admission.limit_rate(None);
    assert!(waiting.is_decided());
    assert_eq!(admission.rate_turn(NOW.get()), None);
    assert!(admission.has_rate_left(NOW.get()));
}
