//! Concurrency limits of upstreams, and which incarnation gets requests.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use sailtrack_admission::Admission;
use sailtrack_units::Timestamp;

use crate::dialect::{Heartbeat, Readiness};
use crate::gate::incarnation::MAX_SILENCE;
use crate::gate::upstream::{Upstream, limit};
use crate::key::UpstreamKey;
use crate::node::ADMISSION_CONFIG;
use crate::retired::{Reason, Retired};

const FIRST: u64 = 1_790_000_000_000;
const SECOND: u64 = FIRST + 60_000;

/// An upstream slows down when all its slots are filled.
#[test]
fn nearly_full() {
    let limits: Vec<u32> = [1, 2, 20, 63, 112].into_iter().map(limit).collect();
    assert_eq!(limits, [1, 1, 19, 60, 107]);
}

fn key(id: &str, started: Option<u64>) -> UpstreamKey {
    UpstreamKey::new(id, started.map(Timestamp)).expect("a valid id")
}

fn heartbeat(upstream: UpstreamKey, sequence: u64) -> Heartbeat {
    Heartbeat {
        upstream,
        service: "bank".parse().expect("a name"),
        address: ([127, 0, 0, 1], 9).into(),
        readiness: Readiness::Ready,
        sequence,
        slots: 8,
        warm_up: Duration::ZERO,
    }
}

fn upstream(now: Instant) -> Upstream {
    let admission = Rc::new(Admission::new(ADMISSION_CONFIG, now));
    Upstream::new(admission, Rc::new(Retired::default()))
}

#[test]
fn started_again() {
    let now = Instant::now();
    let upstream = upstream(now);
    upstream.handle_heartbeat(&heartbeat(key("i-1", Some(FIRST)), 50), now);
    let first = upstream.ended();
    upstream.handle_heartbeat(&heartbeat(key("i-1", Some(SECOND)), 1), now);
    assert_eq!(upstream.ready(now), Some(key("i-1", Some(SECOND))));
    let has_ended = |ended| futures::FutureExt::now_or_never(ended).is_some();
    assert!(
        has_ended(first),
        "waiters on the first incarnation are notified"
    );
    assert!(!has_ended(upstream.ended()));
}

#[test]
fn late_beat() {
    let now = Instant::now();
    let upstream = upstream(now);
    upstream.handle_heartbeat(&heartbeat(key("i-2", Some(SECOND)), 1), now);
    let late = heartbeat(key("i-1", Some(FIRST)), 50);
    let soon = now + MAX_SILENCE / 2;
    assert!(!upstream.is_new_incarnation(&late, soon));
    upstream.handle_heartbeat(&late, soon);
    assert_eq!(upstream.ready(now), Some(key("i-2", Some(SECOND))));
}

/// The clock of the instance went back between two starts of the upstream.
#[test]
fn clock_back() {
    let now = Instant::now();
    let upstream = upstream(now);
    let (later, earlier) = (key("i-1", Some(SECOND)), key("i-1", Some(FIRST)));
    upstream.handle_heartbeat(&heartbeat(later.clone(), 1), now);
    let now = now + MAX_SILENCE;
    let only_one = heartbeat(earlier.clone(), 9);
    assert!(upstream.is_new_incarnation(&only_one, now));
    upstream.handle_heartbeat(&only_one, now);
    assert_eq!(upstream.ready(now), Some(earlier));
    upstream.handle_heartbeat(&heartbeat(later.clone(), 2), now);
    assert_eq!(upstream.ready(now), Some(later), "it had only been silent");
}

/// A response names the upstream without its start time, which the first heartbeat then adds.
#[test]
fn named_later() {
    let now = Instant::now();
    let upstream = upstream(now);
    let starts = Rc::new(Cell::new(0));
    let count = Rc::clone(&starts);
    upstream.on_new_incarnation(move || count.set(count.get() + 1));
    upstream.handle_heartbeat(&heartbeat(key("i-1", None), 0), now);
    upstream.handle_heartbeat(&heartbeat(key("i-1", Some(FIRST)), 0), now);
    assert_eq!(starts.get(), 1);
    assert_eq!(upstream.ready(now), Some(key("i-1", Some(FIRST))));
}

#[test]
fn leaving_of_another_life() {
    let now = Instant::now();
    let upstream = upstream(now);
    let second = key("i-1", Some(SECOND));
    upstream.handle_heartbeat(&heartbeat(second.clone(), 1), now);
    upstream.retire(&key("i-1", Some(FIRST)), &Reason::Draining);
    assert_eq!(upstream.ready(now), Some(second.clone()));
    let retired = upstream.retire(&key("i-1", None), &Reason::Deregistered);
    assert_eq!(retired, second, "it stands for the current incarnation");
    assert_eq!(upstream.ready(now), None);
    upstream.handle_heartbeat(&heartbeat(second, 2), now);
    assert_eq!(upstream.ready(now), None);
    upstream.handle_heartbeat(&heartbeat(key("i-1", Some(SECOND + 1)), 1), now);
    assert!(
        upstream.ready(now).is_some(),
        "the next incarnation has not left"
    );
}

/// An upstream says in a response that it is leaving before it has sent a heartbeat to a node that
/// was just started. Its next incarnation under the same id got nothing any more.
#[test]
fn leaving_before_heartbeat() {
    let now = Instant::now();
    let upstream = upstream(now);
    let told = Rc::new(Cell::new(0));
    let counted = Rc::clone(&told);
    upstream.on_leaving(move |_| counted.set(counted.get() + 1));
    let by_id = key("i-1", None);
    upstream.handle_heartbeat(&heartbeat(by_id.clone(), 0), now);
    upstream.handle_leaving(&by_id);
    assert_eq!(upstream.ready(now), None);
    upstream.handle_heartbeat(&heartbeat(key("i-1", Some(FIRST)), 7), now);
    assert_eq!(upstream.ready(now), None, "its heartbeats still say ready");
    assert_eq!(told.get(), 1);
    let next = key("i-1", Some(SECOND));
    upstream.handle_heartbeat(&heartbeat(next.clone(), 1), now);
    assert_eq!(upstream.ready(now), Some(next));
}
