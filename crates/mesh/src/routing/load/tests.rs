//! What speaks for and against a node.

use std::time::{Duration, Instant};

use bytes::Bytes;
use sailtrack_wire::Reason;

use crate::body::Body;
use crate::routing::load::PeerLoad;
use crate::work::Returned;

const TIME: Duration = Duration::from_millis(20);

fn failed(below: bool) -> Returned {
    Returned {
        failed_below: below,
        ..Returned::answered(500, Bytes::new(), Body::Whole(Bytes::new()))
    }
}

#[test]
fn failures_leave_it_out() {
    let (mut load, now) = (PeerLoad::default(), Instant::now());
    for _ in 0..5 {
        load.note(now, TIME, &failed(false));
    }
    assert!(!load.is_available(now));
    assert!(load.is_available(now + Duration::from_secs(1)));
}

/// Whole services were gone when a service further down failed.
#[test]
fn failures_below_do_not() {
    let (mut load, now) = (PeerLoad::default(), Instant::now());
    for _ in 0..50 {
        load.note(now, TIME, &failed(true));
    }
    assert!(load.is_available(now));
}

/// Whole services were gone when every upstream turned half of its requests away.
#[test]
fn turning_away_does_not() {
    let (mut load, now) = (PeerLoad::default(), Instant::now());
    for _ in 0..50 {
        load.note(now, TIME, &Returned::turned_away(Reason::UpstreamShed));
    }
    assert!(load.is_available(now));
    let sound = PeerLoad::default();
    assert!(
        load.weight(now, 20) > sound.weight(now, 20),
        "another node is preferred"
    );
}

#[test]
fn slow_ones_are_known() {
    let (mut slow, mut quick, now) = (PeerLoad::default(), PeerLoad::default(), Instant::now());
    let answer = Returned::answered(200, Bytes::new(), Body::Whole(Bytes::new()));
    for _ in 0..30 {
        slow.note(now, TIME * 5, &answer);
        quick.note(now, TIME, &answer);
    }
    let (slow, quick) = (slow.time(now), quick.time(now));
    assert!(slow.expect("known") > quick.expect("known") * 4.0);
}

/// A node whose upstream had crashed got nothing from anybody after it was back.
#[test]
fn failures_fade() {
    let (mut load, now) = (PeerLoad::default(), Instant::now());
    for _ in 0..50 {
        load.note(now, TIME, &failed(false));
    }
    let sound = PeerLoad::default();
    assert!(load.weight(now, 20) > sound.weight(now, 20) * 10.0);
    let later = now + Duration::from_secs(6);
    assert!(load.weight(later, 20) < sound.weight(later, 20) * 1.1);
    load.renew();
    assert!(load.is_available(now), "another upstream did not fail");
}

/// A node that was slow once got nothing any more by which it could show that it is quick.
#[test]
fn times_are_forgotten() {
    let (mut load, now) = (PeerLoad::default(), Instant::now());
    assert!(load.time(now).is_none());
    let answer = Returned::answered(200, Bytes::new(), Body::Whole(Bytes::new()));
    load.note(now, TIME, &answer);
    assert!(load.time(now).is_some());
    assert!(load.time(now + Duration::from_secs(3)).is_none());
}

/// A node that holds a kind back, as a service further down is gone, is sound itself.
#[test]
fn held_back_is_sound() {
    let (mut load, now) = (PeerLoad::default(), Instant::now());
    for _ in 0..50 {
        let held = Returned {
            absent_below: true,
            ..Returned::refused(Reason::NoUpstream)
        };
        load.note(now, TIME, &held);
    }
    assert!(load.is_available(now));
}
