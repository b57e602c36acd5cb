//! How far upstreams are filled, and which of their lives gets requests.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use sailtrack_admission::Admission;
use sailtrack_units::Timestamp;

use crate::dialect::{Heartbeat, Readiness};
use crate::gate::upstream::{SILENCE, Upstream, limit};
use crate::key::UpstreamKey;
use crate::node::ADMISSION_CONFIG;
use crate::retired::Retired;

const FIRST: u64 = 1_790_000_000_000;
const SECOND: u64 = FIRST + 60_000;

/// An upstream that is full slows down.
#[test]
fn nearly_full() {
    let limits: Vec<u32> = [1, 2, 20, 63, 112].into_iter().map(limit).collect();
    assert_eq!(limits, [1, 1, 19, 60, 107]);
}

fn key(id: &str, started: Option<u64>) -> UpstreamKey {
    UpstreamKey::new(id, started.map(Timestamp)).expect("a sound id")
}

fn beat(upstream: UpstreamKey, sequence: u64) -> Heartbeat {
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
    upstream.handle_heartbeat(&beat(key("i-1", Some(FIRST)), 50), now);
    let first = upstream.ended();
    upstream.handle_heartbeat(&beat(key("i-1", Some(SECOND)), 1), now);
    assert_eq!(upstream.ready(now), Some(key("i-1", Some(SECOND))));
    let has_ended = |ended| futures::FutureExt::now_or_never(ended).is_some();
    assert!(has_ended(first), "who waits for the first is told");
    assert!(!has_ended(upstream.ended()));
}

#[test]
fn late_beat() {
    let now = Instant::now();
    let upstream = upstream(now);
    upstream.handle_heartbeat(&beat(key("i-2", Some(SECOND)), 1), now);
    let late = beat(key("i-1", Some(FIRST)), 50);
    let soon = now + SILENCE / 2;
    assert!(!upstream.is_new_incarnation(&late, soon));
    upstream.handle_heartbeat(&late, soon);
    assert_eq!(upstream.ready(now), Some(key("i-2", Some(SECOND))));
}

/// The clock of the instance went back between two starts.
#[test]
fn clock_back() {
    let now = Instant::now();
    let upstream = upstream(now);
    let (later, earlier) = (key("i-1", Some(SECOND)), key("i-1", Some(FIRST)));
    upstream.handle_heartbeat(&beat(later.clone(), 1), now);
    let now = now + SILENCE;
    let only_one = beat(earlier.clone(), 9);
    assert!(upstream.is_new_incarnation(&only_one, now));
    upstream.handle_heartbeat(&only_one, now);
    assert_eq!(upstream.ready(now), Some(earlier));
    upstream.handle_heartbeat(&beat(later.clone(), 2), now);
    assert_eq!(upstream.ready(now), Some(later), "it was only silent");
}

/// An answer names the upstream without its start; its first beat tells the rest.
#[test]
fn named_later() {
    let now = Instant::now();
    let upstream = upstream(now);
    let begun = Rc::new(Cell::new(0));
    let count = Rc::clone(&begun);
    upstream.on_new_incarnation(move || count.set(count.get() + 1));
    upstream.handle_heartbeat(&beat(key("i-1", None), 0), now);
    upstream.handle_heartbeat(&beat(key("i-1", Some(FIRST)), 0), now);
    assert_eq!(begun.get(), 1);
    assert_eq!(upstream.ready(now), Some(key("i-1", Some(FIRST))));
}

#[test]
fn leaving_of_another_life() {
    let now = Instant::now();
    let upstream = upstream(now);
    let second = key("i-1", Some(SECOND));
    upstream.handle_heartbeat(&beat(second.clone(), 1), now);
    upstream.retire(&key("i-1", Some(FIRST)), "leaving");
    assert_eq!(upstream.ready(now), Some(second.clone()));
    let retired = upstream.retire(&key("i-1", None), "goodbye");
    assert_eq!(retired, second, "the present one is meant");
    assert_eq!(upstream.ready(now), None);
    upstream.handle_heartbeat(&beat(second, 2), now);
    assert_eq!(upstream.ready(now), None);
    upstream.handle_heartbeat(&beat(key("i-1", Some(SECOND + 1)), 1), now);
    assert!(upstream.ready(now).is_some(), "the next life has not left");
}
