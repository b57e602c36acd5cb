//! Execution records of non-idempotent requests.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use sailtrack_units::ByteSize;
use sailtrack_wire::{Outcome, Reason};

use crate::body::Body;
use crate::gate::records::{Recalled, Records};
use crate::key::AttemptKey;
use crate::request::Response;

fn text(response: &Response) -> &[u8] {
    response.body.whole().expect("a buffered body")
}

fn recall(records: &Records, key: &AttemptKey, now: Instant) -> Response {
    match records.recall(key, now) {
        Recalled::Ended(response) => *response,
        Recalled::Running(_) => panic!("the request is still running"),
    }
}

#[test]
fn unknown_is_refused_for_good() {
    let (records, key, now) = (
        Rc::new(Records::default()),
        AttemptKey::from("a"),
        Instant::now(),
    );
    assert_eq!(recall(&records, &key, now).outcome, Outcome::NotRun);
    assert!(
        records.begin(&key, now).is_none(),
        "a late copy must not run"
    );
}

#[test]
fn waiting_is_refused_for_good() {
    let (records, key, now) = (
        Rc::new(Records::default()),
        AttemptKey::from("a"),
        Instant::now(),
    );
    let entry = records.begin(&key, now).expect("a new request");
    assert_eq!(recall(&records, &key, now).outcome, Outcome::NotRun);
    assert!(
        !entry.start(),
        "it was refused while it waited for admission"
    );
}

#[test]
fn running_is_waited_for() {
    let (records, key, now) = (
        Rc::new(Records::default()),
        AttemptKey::from("a"),
        Instant::now(),
    );
    let entry = records.begin(&key, now).expect("a new request");
    assert!(entry.start());
    let Recalled::Running(mut receiver) = records.recall(&key, now) else {
        panic!("the request is still running");
    };
    let answer = Response::answered(200, Bytes::new(), Body::Whole(Bytes::from("done")));
    entry.finish(&answer, now);
    let result = receiver
        .try_recv()
        .expect("the sender exists")
        .expect("a result was sent");
    assert_eq!(text(&result), b"done");
    assert_eq!(text(&recall(&records, &key, now)), b"done");
}

#[test]
fn answers_are_forgotten_first() {
    let (records, key, now) = (
        Rc::new(Records::default()),
        AttemptKey::from("a"),
        Instant::now(),
    );
    let entry = records.begin(&key, now).expect("a new request");
    entry.start();
    entry.finish(
        &Response::answered(200, Bytes::new(), Body::Whole(Bytes::from("done"))),
        now,
    );
    let later = now + Duration::from_secs(10);
    assert_eq!(recall(&records, &key, later).outcome, Outcome::Unknown);
    assert!(records.begin(&key, later).is_none());
    let much_later = now + Duration::from_secs(70);
    assert!(records.begin(&key, much_later).is_some());
}

#[test]
fn dropped_while_it_runs() {
    let (records, key, now) = (
        Rc::new(Records::default()),
        AttemptKey::from("a"),
        Instant::now(),
    );
    let entry = records.begin(&key, now).expect("a new request");
    entry.start();
    drop(entry);
    assert_eq!(recall(&records, &key, now).outcome, Outcome::Unknown);
}

/// Guards against a request that is refused for good after the only upstream of its service has
/// rejected it once.
#[test]
fn turned_away_may_try_again() {
    let (records, key, now) = (
        Rc::new(Records::default()),
        AttemptKey::from("a"),
        Instant::now(),
    );
    let entry = records.begin(&key, now).expect("a new request");
    drop(entry);
    let entry = records
        .begin(&key, now)
        .expect("the unsent request left no record");
    assert!(entry.start());
    entry.finish(&Response::rejected_by_upstream(Reason::UpstreamShed), now);
    let entry = records
        .begin(&key, now)
        .expect("the rejected request left no record");
    assert!(entry.start());
}

#[test]
fn turned_away_never_ran() {
    let (records, key, now) = (
        Rc::new(Records::default()),
        AttemptKey::from("a"),
        Instant::now(),
    );
    let entry = records.begin(&key, now).expect("a new request");
    entry.start();
    entry.finish(&Response::rejected_by_upstream(Reason::UpstreamShed), now);
    assert_eq!(recall(&records, &key, now).outcome, Outcome::NotRun);
    assert!(
        records.begin(&key, now).is_none(),
        "a late copy must not run"
    );
}

/// Returns a key as long as it may be.
fn long_key(number: usize) -> AttemptKey {
    let long = "i".repeat(AttemptKey::MAX_BYTES - 8);
    AttemptKey::from(format!("{number:08}{long}").as_str())
}

/// Starts requests until there is no room for another one, and returns how many there are.
fn fill(records: &Rc<Records>, now: Instant) -> usize {
    let mut count = 0;
    while records.has_room_for(&long_key(count), now) {
        let entry = records.begin(&long_key(count), now).expect("a new request");
        assert!(entry.start());
        count += 1;
    }
    count
}

/// The room is a share of the memory of the process, also when that changes, and however long ids are.
#[test]
fn share_of_memory() {
    let now = Instant::now();
    let records = Rc::new(Records::new(ByteSize(160 << 20)));
    let count = fill(&records, now);
    // A record of two tables takes at least this.
    let at_least_bytes = 128;
    assert!(
        count * at_least_bytes <= (160 << 20) / 16,
        "{count} records"
    );
    assert!(count >= 50_000, "{count} records");
    records.resize(ByteSize(256 << 20));
    assert!(records.has_room_for(&long_key(count), now));
}

/// A record is not dropped before its time, so at the bound there is no room for another request.
#[test]
fn full_until_expired() {
    let (records, now) = (Rc::new(Records::default()), Instant::now());
    let count = fill(&records, now);
    assert!((10_000..100_000).contains(&count), "{count} records");
    assert!(records.has_room_for(&long_key(0), now), "it has a record");
    let later = now + Duration::from_mins(1);
    assert!(records.has_room_for(&long_key(count), later));
    assert_eq!(records.len(), 0);
}

/// What never ran leaves nothing behind.
#[test]
fn removed_are_forgotten() {
    let (records, now) = (Rc::new(Records::default()), Instant::now());
    for number in 0..100_000 {
        let key = long_key(number);
        assert!(records.has_room_for(&key, now), "after {number}");
        drop(records.begin(&key, now).expect("a new request"));
    }
    assert_eq!(records.len(), 0);
}

/// What never ran takes no room from what ran.
#[test]
fn removed_leave_room() {
    let (records, now) = (Rc::new(Records::default()), Instant::now());
    let key = |kind: &str, number: usize| AttemptKey::from(format!("{kind}{number}").as_str());
    for number in 0..50_000 {
        let entry = records.begin(&key("ran", number), now);
        assert!(entry.expect("a new request").start());
    }
    for number in 0..200_000 {
        let key = key("refused", number);
        assert!(records.has_room_for(&key, now), "after {number}");
        drop(records.begin(&key, now).expect("a new request"));
    }
    assert_eq!(records.len(), 50_000);
}
