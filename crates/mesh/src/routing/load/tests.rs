//! Comparison and ejection of nodes by their statistics.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use sailtrack_admission::Pressure;
use sailtrack_placement::{Estimate, Latencies};
use sailtrack_units::{Class, Importance, Pace};
use sailtrack_wire::Reason;

use crate::body::Body;
use crate::request::Response;
use crate::routing::load::{Levels, PeerLoad};

const CLASS: Class = Class {
    workspace: Importance::Normal,
    kind: Importance::Normal,
};
const TIME: Duration = Duration::from_millis(20);

fn failed(below: bool) -> Response {
    Response {
        failed_below: below,
        ..Response::answered(500, Bytes::new(), Body::Whole(Bytes::new()))
    }
}

#[test]
fn failures_leave_it_out() {
    let (mut load, now) = (PeerLoad::default(), Instant::now());
    for _ in 0..4 {
        assert!(load.record(now, CLASS, &failed(false)).is_none());
    }
    assert!(
        load.record(now, CLASS, &failed(false)).is_some(),
        "reported once"
    );
    assert!(!load.is_available(now));
    assert!(load.is_available(now + Duration::from_secs(1)));
}

/// Failures of a nested call must not eject the caller's node: when a service failed, all services
/// that call it became unavailable.
#[test]
fn failures_below_do_not() {
    let (mut load, now) = (PeerLoad::default(), Instant::now());
    for _ in 0..50 {
        load.record(now, CLASS, &failed(true));
    }
    assert!(load.is_available(now));
}

/// Load shedding must not eject a node: when every upstream of a service shed half of its requests,
/// the service became unavailable.
#[test]
fn turning_away_does_not() {
    let (mut load, now) = (PeerLoad::default(), Instant::now());
    for _ in 0..50 {
        load.record(
            now,
            CLASS,
            &Response::rejected_by_upstream(Reason::UpstreamShed),
        );
    }
    assert!(load.is_available(now));
    let healthy = PeerLoad::default();
    assert!(
        cost(&load, now) > cost(&healthy, now),
        "another node is preferred"
    );
}

/// Returns the cost of a request at a node whose upstream has 20 slots.
fn cost(load: &PeerLoad, now: Instant) -> f64 {
    load.candidate(now, 20, CLASS, None)
        .cost(&Estimate::unknown(1.0))
}

/// Records a successful response with the given latency.
fn record_answer(
    load: &mut PeerLoad,
    times: &mut Latencies,
    now: Instant,
    kind: &str,
    time: Duration,
) {
    let answer = Response::answered(200, Bytes::new(), Body::Whole(Bytes::new()));
    let kind = kind.parse().expect("a name");
    load.record(now, CLASS, &answer);
    load.record_latency(now, times, (CLASS, &kind), time, Some(&answer));
}

#[test]
fn slow_ones_are_known() {
    let (mut slow, mut fast, now) = (PeerLoad::default(), PeerLoad::default(), Instant::now());
    let mut times = Latencies::default();
    for _ in 0..30 {
        record_answer(&mut slow, &mut times, now, "read", TIME * 5);
        record_answer(&mut fast, &mut times, now, "read", TIME);
    }
    assert!(slow.slowness_and_pace(now).0 > fast.slowness_and_pace(now).0 * 4.0);
    assert!(cost(&slow, now) > cost(&fast, now) * 2.0);
}

/// Latencies are compared by kind of request: a node that gets the long ones is not slow.
#[test]
fn long_work_is_not_slow() {
    let (mut one, mut other, now) = (PeerLoad::default(), PeerLoad::default(), Instant::now());
    let mut times = Latencies::default();
    for _ in 0..30 {
        record_answer(&mut one, &mut times, now, "search", TIME * 10);
        record_answer(&mut other, &mut times, now, "read", TIME);
        record_answer(&mut other, &mut times, now, "search", TIME * 10);
    }
    assert!(one.slowness_and_pace(now).0 < other.slowness_and_pace(now).0 * 1.2);
}

/// A request abandoned after a long time shows that the node is slow, even without a response.
#[test]
fn given_up_is_slow() {
    let (mut slow, mut fast, now) = (PeerLoad::default(), PeerLoad::default(), Instant::now());
    let (mut times, kind) = (Latencies::default(), "read".parse().expect("a name"));
    for _ in 0..10 {
        record_answer(&mut fast, &mut times, now, "read", TIME);
        slow.record_latency(now, &mut times, (CLASS, &kind), TIME * 5, None);
    }
    assert!(slow.slowness_and_pace(now).0 > fast.slowness_and_pace(now).0 * 2.0);
    let mut left = PeerLoad::default();
    left.record_latency(now, &mut times, (CLASS, &kind), TIME / 10, None);
    assert!(!left.is_known(), "a request abandoned early is no sample");
}

/// A node that has recovered must get requests again: one whose upstream had crashed got none from
/// any node.
#[test]
fn failures_fade() {
    let (mut load, now) = (PeerLoad::default(), Instant::now());
    for _ in 0..50 {
        load.record(now, CLASS, &failed(false));
    }
    let healthy = PeerLoad::default();
    assert!(cost(&load, now) > cost(&healthy, now) * 10.0);
    let later = now + Duration::from_secs(6);
    assert!(cost(&load, later) < cost(&healthy, later) * 1.1);
    load.reset();
    assert!(load.is_available(now), "the new upstream has not failed");
}

/// Measured latencies expire: a node that was slow once got no requests that show that it is fast
/// again.
#[test]
fn times_are_forgotten() {
    let (mut slow, mut fast, now) = (PeerLoad::default(), PeerLoad::default(), Instant::now());
    let mut times = Latencies::default();
    for _ in 0..30 {
        record_answer(&mut slow, &mut times, now, "read", TIME * 2);
        record_answer(&mut fast, &mut times, now, "read", TIME);
    }
    assert!(slow.slowness_and_pace(now).0 > fast.slowness_and_pace(now).0 * 1.5);
    let later = now + Duration::from_secs(30);
    record_answer(&mut fast, &mut times, later, "read", TIME);
    assert!(slow.slowness_and_pace(later).0 < fast.slowness_and_pace(later).0 * 1.2);
    slow.reset();
    assert!(!slow.is_known(), "the new upstream has not been slow");
}

/// The pace of an instance takes effect at once and expires soon.
#[test]
fn pace_counts() {
    let (mut load, now) = (PeerLoad::default(), Instant::now());
    load.record_report(now, 10, Pace::from_percent(250).ok());
    let slowness = |after| load.candidate(now + after, 20, CLASS, None).slowness;
    assert!(slowness(Duration::ZERO) > 2.4);
    assert!(slowness(Duration::from_secs(2)) < 1.01);
}

/// A node without recent reports is assumed to be as full as the others of its group.
#[test]
fn silence_is_not_room() {
    let (levels, now) = (Rc::<RefCell<Levels>>::default(), Instant::now());
    let (mut heard, mut silent) = (
        PeerLoad::with_levels(&levels),
        PeerLoad::with_levels(&levels),
    );
    silent.record_report(now, 100, None);
    let later = now + Duration::from_millis(800);
    for millis in 1..=20 {
        heard.record_report(now + Duration::from_millis(millis * 40), 100, None);
    }
    assert!(silent.candidate(later, 20, CLASS, None).pressure > 0.9);
}

/// Less important requests yield in the queue: a node that is full for them has room for others.
#[test]
fn full_for_what_matters_less() {
    let (mut load, now) = (PeerLoad::default(), Instant::now());
    let low = Class::from(Importance::Low);
    let full = Response {
        pressure: Pressure(1.8),
        ..Response::answered(200, Bytes::new(), Body::Whole(Bytes::new()))
    };
    load.record(now, low, &full);
    load.record_report(now, 100, None);
    assert!(load.candidate(now, 20, low, None).pressure > 1.7);
    assert!(load.candidate(now, 20, CLASS, None).pressure < 1.1);
}

/// A node that rejects a kind of request because a nested service is unavailable has not failed.
#[test]
fn held_back_is_sound() {
    let (mut load, now) = (PeerLoad::default(), Instant::now());
    for _ in 0..50 {
        let held = Response {
            absent_below: true,
            ..Response::refused(Reason::NoUpstream)
        };
        load.record(now, CLASS, &held);
    }
    assert!(load.is_available(now));
}

/// A refusal for a rate limit is no failure: the node gets nothing until its turn, and its standing
/// is as before once the limit has ended.
#[test]
fn limited_rate_is_no_failure() {
    let (mut load, now) = (PeerLoad::default(), Instant::now());
    let turn = Duration::from_millis(300);
    for _ in 0..50 {
        let refused = Response {
            turn: Some(turn),
            ..Response::refused(Reason::Overload)
        };
        assert!(load.record(now, CLASS, &refused).is_none());
    }
    assert!(!load.is_available(now));
    assert!(load.is_available(now + turn));
    load.end_rate_limit();
    assert!(load.is_available(now));
    let absurd = Response {
        turn: Some(Duration::MAX),
        ..Response::refused(Reason::Overload)
    };
    load.record(now, CLASS, &absurd);
    assert!(load.is_available(now + Duration::from_secs(5)));
    assert!(load.failure_rate(now) < f64::EPSILON);
}
