//! When the slots of abandoned requests are due.

use std::rc::Rc;
use std::time::Duration;

use sailtrack_units::Moment;

use super::Expectation;
use crate::gate::kinds::Kind;

const fn at(millis: u64) -> Moment {
    Moment::since_boot(Duration::from_millis(millis))
}

/// A request that was sent at 1 s, usually takes 20 ms and has 1 s left.
fn expectation(kind: &Rc<Kind>) -> Expectation {
    Expectation::until(at(2000), at(1000)).with_usual(Duration::from_millis(20), Rc::clone(kind))
}

#[test]
fn later_with_doubt() {
    let expectation = expectation(&Rc::default());
    let ends = [0, 1, 2, 3, 100].map(|unconfirmed| expectation.unconfirmed_end(unconfirmed));
    assert_eq!(ends, [1020, 1080, 1320, 2000, 2000].map(at));
}

#[test]
fn confirmed() {
    let kind = Rc::default();
    let first = expectation(&kind);
    assert!(!first.is_confirmed(at(1999)));
    assert!(first.is_confirmed(at(2000)), "the deadline has passed");
    first.record_response(at(1010));
    assert!(!first.is_confirmed(at(1100)), "none was sent later");
    let later = Expectation::until(at(2500), at(1500))
        .with_usual(Duration::from_millis(20), Rc::clone(&kind));
    later.record_response(at(1521));
    assert!(!first.is_confirmed(at(1600)), "it took longer than usual");
    later.record_response(at(1520));
    assert!(first.is_confirmed(at(1600)));
    assert!(!later.is_confirmed(at(1600)));
}

#[test]
fn unknown_kind() {
    let unknown = Expectation::until(at(2000), at(1000));
    assert_eq!(unknown.usual_end(), at(2000));
    assert_eq!(unknown.unconfirmed_end(0), at(2000));
    let given_up = expectation(&Rc::default()).without_usual();
    assert_eq!(given_up.usual_end(), at(2000));
}
