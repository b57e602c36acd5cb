//! The level, limit, queue and window under simulated time.

use std::rc::Rc;
use std::time::{Duration, Instant};

use sailtrack_units::{Class, Importance, KindName, Rank};

use crate::level::Level;
use crate::limit::Limit;
use crate::pressure::Pressure;
use crate::queue::{Outcome, Queue};
use crate::window::Windows;

const STEP: Duration = Duration::from_millis(1);

fn kind() -> KindName {
    "lookup".parse().expect("valid name")
}

fn rank(importance: Importance, hash: u8) -> Rank {
    Rank::from_index((importance as u8) << 6 | hash)
}

/// Returns the rank with the class that takes precedence over it.
fn key(importance: Importance, hash: u8) -> (Class, Rank) {
    (importance.into(), rank(importance, hash))
}

/// Sends one call of each admitted rank and refuses those below `capacity`.
fn surge(level: &mut Level, now: &mut Instant, capacity: u8) {
    for index in 0..=u8::MAX {
        let rank = Rank::from_index(index);
        if level.current(*now) > rank {
            continue;
        }
        level.record_arrival(*now, rank);
        if index < capacity {
            level.record_saturation();
            level.record_refusal();
        }
    }
    *now += Duration::from_millis(100);
}

#[test]
fn level_finds_what_fits() {
    let mut now = Instant::now();
    let mut level = Level::new(now);
    for _ in 0..60 {
        surge(&mut level, &mut now, 150);
    }
    let found = level.current(now).index();
    assert!((110..=170).contains(&found), "{found}");
}

#[test]
fn level_opens_again() {
    let mut now = Instant::now();
    let mut level = Level::new(now);
    for _ in 0..20 {
        surge(&mut level, &mut now, 200);
    }
    assert!(level.current(now) > Rank::from_index(100));
    let mut windows = 0;
    while level.current(now) > Rank::LOWEST {
        surge(&mut level, &mut now, 0);
        windows += 1;
        assert!(windows < 30, "level is still {}", level.current(now));
    }
}

#[test]
fn queue_keeps_order() {
    let mut queue = Queue::default();
    let low = queue.push(key(Importance::Low, 9), false, 2);
    let high = queue.push(key(Importance::High, 1), false, 2);
    let critical = queue.push(key(Importance::Critical, 0), false, 2);
    let refused = queue.push(key(Importance::Normal, 63), false, 2);
    assert!(refused.is_none());
    let outcome = |key: Option<(_, futures::channel::oneshot::Receiver<Outcome>)>| {
        key.and_then(|(_, mut outcome)| outcome.try_recv().ok().flatten())
    };
    assert_eq!(outcome(low), Some(Outcome::Displaced));
    assert!(queue.admit_next());
    assert_eq!(outcome(critical), Some(Outcome::Admitted));
    assert!(queue.admit_next());
    assert_eq!(outcome(high), Some(Outcome::Admitted));
    assert!(!queue.admit_next());
}

/// Within a class, nested calls are admitted before others, whatever their rank.
#[test]
fn begun_goes_first() {
    let mut queue = Queue::default();
    let new = queue.push(key(Importance::High, 63), false, 2);
    let begun = queue.push(key(Importance::High, 0), true, 2);
    assert!(queue.admit_next());
    let mut outcome = begun.expect("the call waits").1;
    assert_eq!(outcome.try_recv(), Ok(Some(Outcome::Admitted)));
    drop(new);
}

/// Runs a simulated upstream in which calls beyond `slots` queue, at the limit found so far.
fn run(limit: &mut Limit, now: &mut Instant, slots: usize, seconds: f64, time: Duration) {
    let end = *now + Duration::from_secs_f64(seconds);
    while *now < end {
        let allowed = limit.allowed(*now);
        #[allow(clippy::cast_precision_loss)]
        let waiting = (allowed as f64 / slots as f64).max(1.0);
        limit.record_saturation();
        for _ in 0..allowed.min(slots) {
            limit.record_completion(*now, &kind(), time.mul_f64(waiting), false);
        }
        *now += time;
    }
}

#[test]
fn limit_shrinks_to_slots() {
    let mut now = Instant::now();
    let mut limit = Limit::new(now, Some(100));
    for _ in 0..100 {
        limit.record_completion(now, &kind(), STEP * 10, true);
        now += STEP;
    }
    run(&mut limit, &mut now, 10, 60.0, STEP * 10);
    let found = limit.allowed(now);
    assert!((9..=30).contains(&found), "{found}");
}

#[test]
fn slower_service_keeps_limit() {
    let mut now = Instant::now();
    let mut limit = Limit::new(now, Some(20));
    run(&mut limit, &mut now, 20, 10.0, STEP * 10);
    run(&mut limit, &mut now, 20, 30.0, STEP * 100);
    let found = limit.allowed(now);
    assert!(found >= 16, "{found}");
}

#[test]
fn shed_lowers_limit() {
    let now = Instant::now();
    let mut limit = Limit::new(now, Some(40));
    limit.record_shed(now, 20);
    assert_eq!(limit.allowed(now), 19);
}

#[test]
fn start_is_ramped() {
    let now = Instant::now();
    let mut limit = Limit::new(now, Some(100));
    limit.ramp_up(now, Duration::from_secs(2));
    assert_eq!(limit.allowed(now), 20);
    assert_eq!(limit.allowed(now + Duration::from_secs(1)), 60);
    assert_eq!(limit.allowed(now + Duration::from_secs(2)), 100);
}

/// Runs rounds of 100 ms in which up to eight requests start, meet this pressure and end; returns
/// how many started in the last round.
fn run_rounds(windows: &Rc<Windows>, now: &mut Instant, rounds: usize, pressure: f64) -> usize {
    let mut entered = 0;
    for _ in 0..rounds {
        let permits: Vec<_> = (0..8)
            .filter_map(|_| windows.acquire(&kind(), *now))
            .collect();
        entered = permits.len();
        *now += STEP * 100;
        for permit in &permits {
            permit.record(*now, Pressure(pressure));
        }
    }
    entered
}

#[test]
fn window_cut_and_opened() {
    let windows = Rc::new(Windows::default());
    let mut now = Instant::now();
    assert_eq!(run_rounds(&windows, &mut now, 1, 1.0), 8);
    assert!(
        run_rounds(&windows, &mut now, 3, 2.5) <= 5,
        "twice the target removes a third"
    );
    assert!(run_rounds(&windows, &mut now, 10, 2.5) <= 2);
    assert_eq!(run_rounds(&windows, &mut now, 40, 0.5), 8);
}

#[test]
fn window_keeps_aim() {
    let windows = Rc::new(Windows::default());
    let mut now = Instant::now();
    // Each request in progress adds a quarter of the limit, so five reach the target pressure.
    let mut entered = 8;
    for _ in 0..20 {
        let pressure = f64::from(u32::try_from(entered).expect("small number")) / 4.0;
        entered = run_rounds(&windows, &mut now, 1, pressure);
        assert!(entered >= 3, "{entered}");
    }
    assert!((4..=6).contains(&entered), "{entered}");
}

#[test]
fn windows_ramp_up() {
    let windows = Rc::new(Windows::default());
    let mut now = Instant::now();
    let held = windows.acquire(&kind(), now);
    windows.ramp_up(now, 24);
    drop(held);
    assert_eq!(
        run_rounds(&windows, &mut now, 1, 0.5),
        4,
        "one sixth of the slots"
    );
    let next = run_rounds(&windows, &mut now, 1, 0.5);
    assert!(
        (7..=8).contains(&next),
        "{next} after a round with spare capacity"
    );
    assert_eq!(run_rounds(&windows, &mut now, 40, 0.5), 8);
    windows.ramp_up(now, 24);
    windows.end_ramp_up();
    assert_eq!(
        run_rounds(&windows, &mut now, 1, 0.5),
        8,
        "new windows are unlimited again"
    );
}

/// A window below one request spaces requests out, and grows again.
#[test]
fn small_window_paces() {
    let windows = Rc::new(Windows::default());
    let mut now = Instant::now();
    run_rounds(&windows, &mut now, 60, 10.0);
    let mut entered = 0;
    for _ in 0..100 {
        entered += usize::from(windows.acquire(&kind(), now).is_some());
        now += STEP;
    }
    assert!(entered <= 1, "{entered}");
    assert!(
        run_rounds(&windows, &mut now, 60, 0.5) >= 4,
        "the window grows again"
    );
}

/// Queued calls do not count for the pressure that calls of higher classes see.
#[test]
fn lesser_calls_press_less() {
    let mut queue = Queue::default();
    let _low = queue.push(key(Importance::Low, 9), false, 3);
    let _critical = queue.push(key(Importance::Critical, 9), false, 3);
    let displaced = queue.push(key(Importance::High, 9), false, 3);
    let _one_more = queue.push(key(Importance::High, 8), false, 3);
    assert_eq!(queue.len_at_least(Importance::Low.into()), 3);
    assert_eq!(
        queue.len_at_least(Importance::High.into()),
        3,
        "the low one was displaced"
    );
    assert_eq!(queue.len_at_least(Importance::Critical.into()), 1);
    let (key, _) = displaced.expect("the call waits");
    assert!(queue.remove(key));
    assert!(!queue.remove(key));
    assert!(queue.admit_next());
    assert_eq!(queue.len_at_least(Importance::Low.into()), 1);
    assert_eq!(queue.len_at_least(Importance::Critical.into()), 0);
}

/// The importance of the workspace comes first, then that of the kind.
#[test]
fn classes_in_order() {
    let class = |workspace, kind| Class { workspace, kind };
    let lookup = class(Importance::High, Importance::Normal);
    let payment = class(Importance::High, Importance::Critical);
    let preferred = class(Importance::Critical, Importance::Normal);
    let mut queue = Queue::default();
    let waiting = [lookup, preferred, payment].map(|class| {
        let (_, outcome) = queue
            .push((class, Rank::LOWEST), false, 3)
            .expect("the queue has capacity");
        outcome
    });
    assert_eq!(
        [lookup, payment, preferred].map(|class| queue.len_at_least(class)),
        [3, 2, 1]
    );
    let mut order = Vec::new();
    let [mut lookup, mut preferred, mut payment] = waiting;
    while queue.admit_next() {
        let named = [
            ("lookup", &mut lookup),
            ("preferred", &mut preferred),
            ("payment", &mut payment),
        ];
        for (name, outcome) in named {
            if matches!(outcome.try_recv(), Ok(Some(Outcome::Admitted))) {
                order.push(name);
            }
        }
    }
    assert_eq!(order, ["preferred", "payment", "lookup"]);
}
