//! Which heartbeats show that an upstream accepts requests now.

use std::time::Duration;

use sailtrack_units::Moment;

use super::{Answer, Evidence, LEASE, MIN_GAP};
use crate::clock;
use crate::key::UpstreamKey;

const INTERVAL: Duration = Duration::from_millis(1500);

fn key(id: &str) -> UpstreamKey {
    UpstreamKey::new(id, None).expect("a valid id")
}

/// Records heartbeats of one upstream with growing sequence numbers, `gap` apart; returns when the
/// last one arrived.
fn record(evidence: &mut Evidence, count: u32, gap: Duration) -> Moment {
    let began = clock::now();
    let times = (0..count).map(|number| (number, began + gap * number));
    let mut last = began;
    for (number, at) in times {
        evidence.record_heartbeat(&key("i-1"), u64::from(number) + 5, at);
        last = at;
    }
    last
}

#[test]
fn heartbeats_go_on() {
    let mut evidence = Evidence::default();
    record(&mut evidence, 2, INTERVAL);
    assert!(!evidence.is_proven(&key("i-1")), "both may be late");
    assert!(evidence.is_enough(&key("i-1"), Answer::Missing));
    let mut evidence = Evidence::default();
    record(&mut evidence, 3, INTERVAL);
    assert!(evidence.is_proven(&key("i-1")));
    assert!(!evidence.is_proven(&key("i-2")));
}

/// A connection that was held up delivers all its heartbeats at once.
#[test]
fn held_up_together() {
    let mut evidence = Evidence::default();
    record(&mut evidence, 20, Duration::from_millis(10));
    assert_eq!(evidence.count(&key("i-1")), 1);
}

#[test]
fn same_one_twice() {
    let mut evidence = Evidence::default();
    let now = clock::now();
    evidence.record_heartbeat(&key("i-1"), 5, now);
    evidence.record_heartbeat(&key("i-1"), 5, now + MIN_GAP);
    evidence.record_heartbeat(&key("i-1"), 4, now + MIN_GAP * 2);
    assert_eq!(evidence.count(&key("i-1")), 1);
}

#[test]
fn long_gap() {
    let mut evidence = Evidence::default();
    record(&mut evidence, 3, INTERVAL * 3);
    assert_eq!(evidence.count(&key("i-1")), 1, "they came one by one");
}

#[test]
fn other_sender() {
    let mut evidence = Evidence::default();
    let now = record(&mut evidence, 2, INTERVAL);
    evidence.record_heartbeat(&key("i-2"), 1, now + INTERVAL);
    assert_eq!(evidence.count(&key("i-1")), 0);
    assert_eq!(evidence.count(&key("i-2")), 1);
}

/// An upstream that is leaving and wrongly answers health checks well, with one late heartbeat.
#[test]
fn false_answer() {
    let mut evidence = Evidence::default();
    let now = clock::now();
    let upstream = key("i-1");
    assert!(evidence.begin_lease(&upstream, now));
    let late = now + INTERVAL;
    evidence.record_heartbeat(&upstream, 5, late);
    let end = late + LEASE;
    assert_eq!(evidence.lease_left(&upstream, end), Some(Duration::ZERO));
    evidence.lapse(&upstream);
    assert!(
        !evidence.is_enough(&upstream, Answer::Ready),
        "it is not believed again"
    );
    assert!(evidence.is_enough(&key("i-2"), Answer::Ready));
}

#[test]
fn good_answer_confirmed() {
    let mut evidence = Evidence::default();
    let upstream = key("i-1");
    assert!(evidence.begin_lease(&upstream, clock::now()));
    let now = record(&mut evidence, 3, INTERVAL);
    assert_eq!(evidence.lease_left(&upstream, now), None);
    assert!(!evidence.begin_lease(&upstream, now), "it is confirmed");
}
