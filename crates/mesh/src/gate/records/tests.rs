//! What is remembered about requests that must not run twice.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use sailtrack_wire::{Outcome, Reason};

use crate::body::Body;
use crate::gate::records::{Recalled, Records};
use crate::key::AttemptKey;
use crate::request::Response;

fn text(returned: &Response) -> &[u8] {
    returned.body.whole().expect("it is whole")
}

fn recall(records: &Records, key: &AttemptKey, now: Instant) -> Response {
    match records.recall(key, now) {
        Recalled::Ended(returned) => returned,
        Recalled::Running(_) => panic!("it runs"),
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
    let place = records.begin(&key, now).expect("it is new");
    assert_eq!(recall(&records, &key, now).outcome, Outcome::NotRun);
    assert!(!place.start(), "it was refused while it waited");
}

#[test]
fn running_is_waited_for() {
    let (records, key, now) = (
        Rc::new(Records::default()),
        AttemptKey::from("a"),
        Instant::now(),
    );
    let place = records.begin(&key, now).expect("it is new");
    assert!(place.start());
    let Recalled::Running(mut receiver) = records.recall(&key, now) else {
        panic!("it runs");
    };
    let answer = Response::answered(200, Bytes::new(), Body::Whole(Bytes::from("done")));
    place.end(&answer, now);
    let told = receiver
        .try_recv()
        .expect("the sender lives")
        .expect("it was told");
    assert_eq!(text(&told), b"done");
    assert_eq!(text(&recall(&records, &key, now)), b"done");
}

#[test]
fn answers_are_forgotten_first() {
    let (records, key, now) = (
        Rc::new(Records::default()),
        AttemptKey::from("a"),
        Instant::now(),
    );
    let place = records.begin(&key, now).expect("it is new");
    place.start();
    place.end(
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
    let place = records.begin(&key, now).expect("it is new");
    place.start();
    drop(place);
    assert_eq!(recall(&records, &key, now).outcome, Outcome::Unknown);
}

/// The only upstream of a service turned it away once, and it was refused ever after.
#[test]
fn turned_away_may_try_again() {
    let (records, key, now) = (
        Rc::new(Records::default()),
        AttemptKey::from("a"),
        Instant::now(),
    );
    let place = records.begin(&key, now).expect("it is new");
    drop(place);
    let place = records.begin(&key, now).expect("it was not admitted");
    assert!(place.start());
    place.end(&Response::rejected_by_upstream(Reason::UpstreamShed), now);
    let place = records.begin(&key, now).expect("it was turned away");
    assert!(place.start());
}

#[test]
fn turned_away_never_ran() {
    let (records, key, now) = (
        Rc::new(Records::default()),
        AttemptKey::from("a"),
        Instant::now(),
    );
    let place = records.begin(&key, now).expect("it is new");
    place.start();
    place.end(&Response::rejected_by_upstream(Reason::UpstreamShed), now);
    assert_eq!(recall(&records, &key, now).outcome, Outcome::NotRun);
    assert!(
        records.begin(&key, now).is_none(),
        "a late copy must not run"
    );
}
