//! The level, limit, queue and window under time that the test sets.

use std::rc::Rc;
use std::time::{Duration, Instant};

use sailtrack_units::{Class, Importance, KindName, Rank};

use crate::level::Level;
use crate::limit::Limit;
use crate::pressure::Pressure;
use crate::queue::{Queue, Verdict};
use crate::window::Windows;

const STEP: Duration = Duration::from_millis(1);

fn kind() -> KindName {
    "lookup".parse().expect("a name")
}

fn rank(importance: Importance, hash: u8) -> Rank {
    Rank::from_index((importance as u8) << 6 | hash)
}

/// Returns the same with the class that decides before it.
fn place(importance: Importance, hash: u8) -> (Class, Rank) {
    (importance.into(), rank(importance, hash))
}

/// Sends as many calls as `each` says for each rank and refuses those below `fits`.
fn surge(level: &mut Level, now: &mut Instant, fits: u8) {
    for index in 0..=u8::MAX {
        let rank = Rank::from_index(index);
        if level.current(*now) > rank {
            continue;
        }
        level.record_arrival(*now, rank);
        if index < fits {
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
        assert!(windows < 30, "still at {}", level.current(now));
    }
}

#[test]
fn queue_keeps_order() {
    let mut queue = Queue::default();
    let low = queue.push(place(Importance::Low, 9), false, 2);
    let high = queue.push(place(Importance::High, 1), false, 2);
    let critical = queue.push(place(Importance::Critical, 0), false, 2);
    let refused = queue.push(place(Importance::Normal, 63), false, 2);
    assert!(refused.is_none());
    let told = |place: Option<(_, futures::channel::oneshot::Receiver<Verdict>)>| {
        place.and_then(|(_, mut verdict)| verdict.try_recv().ok().flatten())
    };
    assert_eq!(told(low), Some(Verdict::Displaced));
    assert!(queue.admit_first());
    assert_eq!(told(critical), Some(Verdict::Admitted));
    assert!(queue.admit_first());
    assert_eq!(told(high), Some(Verdict::Admitted));
    assert!(!queue.admit_first());
}

#[test]
fn begun_goes_first() {
    let mut queue = Queue::default();
    let new = queue.push(place(Importance::High, 63), false, 2);
    let begun = queue.push(place(Importance::High, 0), true, 2);
    assert!(queue.admit_first());
    let mut verdict = begun.expect("it waits").1;
    assert_eq!(verdict.try_recv(), Ok(Some(Verdict::Admitted)));
    drop(new);
}

/// Runs an upstream with true slots, in which calls wait their turn, at the limit that is found.
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

/// Lets eight requests enter, end and meet this pressure, in rounds of 100 ms.
fn meet(windows: &Rc<Windows>, now: &mut Instant, rounds: usize, pressure: f64) -> usize {
    let mut entered = 0;
    for _ in 0..rounds {
        let places: Vec<_> = (0..8)
            .filter_map(|_| windows.acquire(&kind(), *now))
            .collect();
        entered = places.len();
        *now += STEP * 100;
        for place in &places {
            place.record(*now, Pressure(pressure));
        }
    }
    entered
}

#[test]
fn window_cut_and_opened() {
    let windows = Rc::new(Windows::default());
    let mut now = Instant::now();
    assert_eq!(meet(&windows, &mut now, 1, 1.0), 8);
    assert!(
        meet(&windows, &mut now, 3, 2.5) <= 5,
        "twice its aim takes off a third"
    );
    assert!(meet(&windows, &mut now, 10, 2.5) <= 2);
    assert_eq!(meet(&windows, &mut now, 40, 0.5), 8);
}

#[test]
fn window_keeps_aim() {
    let windows = Rc::new(Windows::default());
    let mut now = Instant::now();
    // Each request in progress adds a quarter of the limit, so five meet the aim.
    let mut entered = 8;
    for _ in 0..20 {
        let met = f64::from(u32::try_from(entered).expect("few")) / 4.0;
        entered = meet(&windows, &mut now, 1, met);
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
    assert_eq!(meet(&windows, &mut now, 1, 0.5), 4, "a sixth of the slots");
    let next = meet(&windows, &mut now, 1, 0.5);
    assert!((7..=8).contains(&next), "{next} after a round with room");
    assert_eq!(meet(&windows, &mut now, 40, 0.5), 8);
    windows.ramp_up(now, 24);
    windows.end_ramp_up();
    assert_eq!(meet(&windows, &mut now, 1, 0.5), 8, "it begins open again");
}

#[test]
fn small_window_paces() {
    let windows = Rc::new(Windows::default());
    let mut now = Instant::now();
    meet(&windows, &mut now, 60, 10.0);
    let mut entered = 0;
    for _ in 0..100 {
        entered += usize::from(windows.acquire(&kind(), now).is_some());
        now += STEP;
    }
    assert!(entered <= 1, "{entered}");
    assert!(meet(&windows, &mut now, 60, 0.5) >= 4, "it is not stuck");
}

#[test]
fn lesser_calls_press_less() {
    let mut queue = Queue::default();
    let _low = queue.push(place(Importance::Low, 9), false, 3);
    let _critical = queue.push(place(Importance::Critical, 9), false, 3);
    let displaced = queue.push(place(Importance::High, 9), false, 3);
    let _one_more = queue.push(place(Importance::High, 8), false, 3);
    assert_eq!(queue.len_from(Importance::Low.into()), 3);
    assert_eq!(
        queue.len_from(Importance::High.into()),
        3,
        "the low one gave way"
    );
    assert_eq!(queue.len_from(Importance::Critical.into()), 1);
    let (place, _) = displaced.expect("it waits");
    assert!(queue.remove(place));
    assert!(!queue.remove(place));
    assert!(queue.admit_first());
    assert_eq!(queue.len_from(Importance::Low.into()), 1);
    assert_eq!(queue.len_from(Importance::Critical.into()), 0);
}

/// The workspace decides first, and among equal ones the kind.
#[test]
fn classes_in_order() {
    let class = |workspace, kind| Class { workspace, kind };
    let lookup = class(Importance::High, Importance::Normal);
    let payment = class(Importance::High, Importance::Critical);
    let preferred = class(Importance::Critical, Importance::Normal);
    let mut queue = Queue::default();
    let waiting = [lookup, preferred, payment].map(|class| {
        let (_, verdict) = queue
            .push((class, Rank::LOWEST), false, 3)
            .expect("there is room");
        verdict
    });
    assert_eq!(
        [lookup, payment, preferred].map(|class| queue.len_from(class)),
        [3, 2, 1]
    );
    let mut order = Vec::new();
    let [mut lookup, mut preferred, mut payment] = waiting;
    while queue.admit_first() {
        let named = [
            ("lookup", &mut lookup),
            ("preferred", &mut preferred),
            ("payment", &mut payment),
        ];
        for (name, verdict) in named {
            if matches!(verdict.try_recv(), Ok(Some(Verdict::Admitted))) {
                order.push(name);
            }
        }
    }
    assert_eq!(order, ["preferred", "payment", "lookup"]);
}
