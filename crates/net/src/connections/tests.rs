//! Which connections are closed when there is no room.

use std::rc::Rc;
use std::time::Duration;

use futures::FutureExt as _;
use futures::future::AbortHandle;

use super::{Limits, Registration, Registry};

const LIMITS: Limits = Limits {
    connections: 3,
    bytes: 1000,
};
const NO_TIME: Duration = Duration::ZERO;
const LONG: Duration = Duration::from_mins(1);

fn add(registry: &Rc<Registry>) -> Option<Registration> {
    let (abort, _) = AbortHandle::new_pair();
    registry.add(abort)
}

fn open(registry: &Rc<Registry>) -> Registration {
    // So that no two connections are of the same moment.
    std::thread::sleep(Duration::from_millis(1));
    add(registry).expect("there is room")
}

#[test]
fn quietest_first() {
    let registry = Registry::new("test", LIMITS);
    let (served, older, newer) = (open(&registry), open(&registry), open(&registry));
    served.record_served();
    let _fourth = open(&registry);
    assert!(older.is_closed());
    assert!(!served.is_closed() && !newer.is_closed());
    let _fifth = open(&registry);
    assert!(newer.is_closed() && !served.is_closed());
    assert_eq!(registry.len(), LIMITS.connections);
}

#[test]
fn none_at_work() {
    let registry = Registry::new("test", LIMITS);
    let all = [open(&registry), open(&registry), open(&registry)];
    for one in &all {
        one.work();
    }
    assert!(add(&registry).is_none());
    assert_eq!(registry.closed(), 1);
    all[1].wait_for_peer();
    assert!(add(&registry).is_some());
    assert!(all[1].is_closed());
}

#[test]
fn room_again() {
    let registry = Registry::new("test", LIMITS);
    let first = open(&registry);
    let held = first.hold(400);
    first.set_input(500);
    assert_eq!((registry.answers(), registry.input()), (400, 500));
    drop(first.served());
    assert_eq!((registry.len(), registry.answers()), (0, 0));
    assert_eq!(registry.input(), 0);
    // What outlives the connection does not count again.
    first.set_input(100);
    drop((held, first.hold(300)));
    assert_eq!((registry.input(), registry.answers()), (0, 0));
}

/// Readers wait for the tasks of closed connections, not for what was begun on them and goes on.
#[test]
fn room_after_close() {
    let registry = Registry::new("test", LIMITS);
    let (heavy, last) = (open(&registry), open(&registry));
    let served = heavy.served();
    heavy.set_input(900);
    last.set_input(200);
    assert!(heavy.is_closed());
    assert!(last.wait_for_room().now_or_never().is_none());
    drop(served);
    assert!(last.wait_for_room().now_or_never().is_some());
    drop(heavy);
    assert_eq!(registry.input(), 200);
}

/// At the bound the one that holds the most is closed, whoever comes last.
#[test]
fn heaviest_first() {
    let registry = Registry::new("test", LIMITS);
    let (light, heavy, last) = (open(&registry), open(&registry), open(&registry));
    let small = light.hold(100);
    heavy.set_input(800);
    let new = last.hold(200);
    assert!(heavy.is_closed() && !light.is_closed() && !last.is_closed());
    assert_eq!((registry.answers(), registry.input()), (300, 0));
    // What a closed connection gives back does not count again.
    heavy.set_input(0);
    drop((small, new));
    assert_eq!(registry.answers(), 0);
}

/// One that alone holds more than the bound is closed itself.
#[test]
fn too_much_for_one() {
    let registry = Registry::new("test", LIMITS);
    let one = open(&registry);
    let held = one.hold(1001);
    assert!(one.is_closed());
    drop(held);
    assert_eq!(registry.answers(), 0);
}

#[test]
fn stalled_only() {
    let registry = Registry::new("test", LIMITS);
    let one = open(&registry);
    let _held = one.hold(1000);
    assert!(!registry.close_stalled(LONG), "it is not stalled yet");
    assert!(!one.is_closed());
    assert!(registry.close_stalled(NO_TIME));
    assert!(one.is_closed());
    assert!(registry.close_stalled(LONG), "there is room");
}

#[test]
fn lowered_bound() {
    let registry = Registry::new("test", LIMITS);
    let (one, other) = (open(&registry), open(&registry));
    let _held = (one.hold(300), other.hold(600));
    registry.set_max_bytes(500);
    assert!(other.is_closed() && !one.is_closed());
}
