//! When an answer is not expected any more.

use std::time::Duration;

use super::{Decision, LEAST, Usual, Waiting};

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Half of its kind take 100 ms or less, all but few 400 ms.
const USUAL: Usual = Usual {
    middle: ms(100),
    late: ms(300),
    longest: ms(400),
};

const WAITING: Waiting = Waiting {
    waited: ms(0),
    left: ms(5000),
    usual: Some(USUAL),
    slowness: 1.0,
    doubted: Duration::ZERO,
    overtaken: 0,
    silent: 0.0,
    is_lenient: false,
};

/// Plays the waiting to its end: how long it lasts, or nothing if it is waited to the deadline.
fn given_up_after(begin: Waiting) -> Option<Duration> {
    let mut now = begin;
    loop {
        match now.decide() {
            Decision::GiveUp => return Some(now.waited),
            Decision::Wait(_) if now.left.is_zero() => return None,
            Decision::Wait(time) => {
                assert!(
                    time > Duration::ZERO,
                    "it is looked at again at once: {now:?}"
                );
                let time = time.min(now.left);
                now.waited += time;
                now.left -= time;
            }
        }
    }
}

#[test]
fn passed_over() {
    let waiting = Waiting {
        overtaken: 5,
        ..WAITING
    };
    assert_eq!(given_up_after(waiting), Some(ms(1000)));
}

#[test]
fn nobody_answered() {
    assert_eq!(given_up_after(WAITING), Some(ms(1600)));
    let by_chance = Waiting {
        overtaken: 1,
        ..WAITING
    };
    assert_eq!(given_up_after(by_chance), Some(ms(1600)));
}

/// Passed by others only later: it is looked at again before the long time is over.
#[test]
fn passed_over_later() {
    let mut waiting = Waiting {
        waited: ms(1100),
        left: ms(3900),
        ..WAITING
    };
    let Decision::Wait(time) = waiting.decide() else {
        panic!("nobody has passed it");
    };
    assert!(time <= ms(50), "{time:?}");
    waiting.overtaken = 3;
    assert_eq!(waiting.decide(), Decision::GiveUp);
}

#[test]
fn nothing_known() {
    let waiting = Waiting {
        usual: None,
        overtaken: 100,
        ..WAITING
    };
    assert_eq!(given_up_after(waiting), None);
}

/// The machine says itself that work takes three times as long.
#[test]
fn slow_machine() {
    let waiting = Waiting {
        slowness: 3.0,
        overtaken: 5,
        ..WAITING
    };
    assert_eq!(given_up_after(waiting), Some(ms(3000)));
}

/// What has made calls, or was sent elsewhere before, is waited for as if nobody had passed it.
#[test]
fn lenient() {
    let waiting = Waiting {
        overtaken: 5,
        is_lenient: true,
        ..WAITING
    };
    assert_eq!(given_up_after(waiting), Some(ms(1600)));
}

/// With too little time for another upstream nothing is gained.
#[test]
fn no_time_left() {
    let waiting = Waiting {
        left: ms(1050),
        overtaken: 5,
        ..WAITING
    };
    assert_eq!(given_up_after(waiting), None);
    let enough = Waiting {
        left: ms(1110),
        overtaken: 5,
        ..WAITING
    };
    assert_eq!(given_up_after(enough), Some(ms(1000)));
}

/// One in some dozens takes seven times as long as most; none of these has been seen yet.
#[test]
fn seldom_long_work() {
    let usual = Usual {
        middle: ms(370),
        late: ms(500),
        longest: ms(600),
    };
    let waiting = Waiting {
        left: ms(10_000),
        usual: Some(usual),
        overtaken: 50,
        ..WAITING
    };
    let given_up = given_up_after(waiting).expect("it is silent");
    assert!(given_up > ms(370) * 7, "{given_up:?}");
}

/// A kind that takes 2 ms is not given up in the pauses of a busy machine.
#[test]
fn short_kinds() {
    let usual = Usual {
        middle: ms(1),
        late: ms(2),
        longest: ms(2),
    };
    let waiting = Waiting {
        usual: Some(usual),
        overtaken: 50,
        ..WAITING
    };
    assert_eq!(given_up_after(waiting), Some(LEAST));
}

/// While one was given up in vain and none has been quick since, the next are waited for longer.
#[test]
fn in_doubt() {
    let waiting = Waiting {
        doubted: ms(2000),
        ..WAITING
    };
    assert_eq!(given_up_after(waiting), Some(ms(4000)));
    let passed = Waiting {
        overtaken: 5,
        ..waiting
    };
    assert_eq!(given_up_after(passed), Some(ms(1000)));
}

/// Where a part of the kind was not answered lately, a late one is given up: sooner if others
/// have passed it. What has made calls is not.
#[test]
fn many_silent() {
    let waiting = Waiting {
        silent: 0.3,
        ..WAITING
    };
    assert_eq!(given_up_after(waiting), Some(ms(400)));
    let passed = Waiting {
        overtaken: 3,
        ..waiting
    };
    assert_eq!(given_up_after(passed), Some(ms(300)));
    let in_doubt = Waiting {
        doubted: ms(400),
        ..waiting
    };
    assert_eq!(
        given_up_after(in_doubt),
        Some(ms(800)),
        "it may have become slow"
    );
    let running = Waiting {
        is_lenient: true,
        ..passed
    };
    assert_eq!(given_up_after(running), Some(ms(1600)));
    let few = Waiting {
        silent: 0.1,
        ..passed
    };
    assert_eq!(given_up_after(few), Some(ms(1000)));
}
