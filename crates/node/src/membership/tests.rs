//! Which membership updates a node accepts, and when it drops the records of dead members.

use std::time::{Duration, Instant};

use sailtrack_units::Period;
use sailtrack_wire::{Demands, Member, State};

use crate::membership::Membership;
use crate::settings::Detector;

const RETENTION: Duration = Duration::from_mins(10);

fn member(node: &str, state: State) -> Member {
    Member {
        node: node.to_owned(),
        incarnation: 1,
        revision: 0,
        service: "desk".to_owned(),
        domain: "east".to_owned(),
        address: "127.0.0.1:7102".to_owned(),
        state: state.into(),
        slots: 4,
        demands: None,
    }
}

fn node(name: &str) -> Membership {
    Membership::new(member(name, State::Serving))
}

fn detector() -> Detector {
    Detector {
        period: Period::from_millis(500),
        timeout: Period::from_millis(200),
        suspicion_timeout: Period::from_millis(1500),
        retention: Period(RETENTION),
    }
}

#[test]
fn dead_not_learned() {
    let now = Instant::now();
    let membership = node("desk-1");
    assert!(!membership.merge(&member("desk-2", State::Dead), now));
    assert!(membership.all().is_empty());
}

#[test]
fn dead_forgotten_by_all() {
    let now = Instant::now();
    let nodes = [node("desk-1"), node("desk-2")];
    for node in &nodes {
        assert!(node.merge(&member("desk-3", State::Serving), now));
        assert!(node.merge(&member("desk-3", State::Dead), now));
    }
    let later = now + RETENTION;
    nodes[0].expire(later, &detector());
    assert!(nodes[0].all().is_empty());
    // The other node still has the record and sends it on.
    nodes[0].merge(&member("desk-3", State::Dead), later);
    nodes[1].expire(later, &detector());
    assert!(nodes[0].all().is_empty());
    assert!(nodes[1].all().is_empty());
}

#[test]
fn digest_without_dead() {
    let now = Instant::now();
    let membership = node("desk-1");
    let alone = membership.digest();
    assert!(membership.merge(&member("desk-2", State::Serving), now));
    assert_ne!(membership.digest(), alone);
    assert!(membership.merge(&member("desk-2", State::Dead), now));
    assert_eq!(membership.digest(), alone);
}

#[test]
fn dead_member_refutes() {
    let now = Instant::now();
    let membership = node("desk-1");
    assert!(membership.merge(&member("desk-2", State::Serving), now));
    assert!(membership.merge(&member("desk-2", State::Dead), now));
    assert!(!membership.merge(&member("desk-2", State::Serving), now));
    let refuted = Member {
        revision: 1,
        ..member("desk-2", State::Serving)
    };
    assert!(membership.merge(&refuted, now));
    assert_eq!(membership.alive().len(), 1);
}

/// A node that was started again hears what its upstream demanded before.
#[test]
fn demands_outlast_restart() {
    let now = Instant::now();
    let [first, other] = [node("desk-1"), node("desk-2")];
    let demands = Demands {
        life: 7,
        leaving: true,
        rate: Some(2.5),
    };
    assert!(first.update_local_demands(demands));
    assert!(other.merge(&first.local_member(), now));
    let name = "desk-1".parse().expect("a name");
    assert_eq!(other.notice_for(&name), None, "it knows itself");
    let restarted = Membership::new(Member {
        incarnation: 2,
        ..member("desk-1", State::Joining)
    });
    assert!(other.merge(&restarted.local_member(), now));
    restarted.update_local_state(State::Joining, 8);
    assert!(other.merge(&restarted.local_member(), now));
    let notice = other.notice_for(&name).expect("it is reminded");
    restarted.merge(&notice, now);
    assert_eq!(restarted.take_reminder(), Some(demands));
    // The next life demands nothing.
    assert!(restarted.update_local_demands(Demands {
        life: 8,
        ..Demands::default()
    }));
    assert!(other.merge(&restarted.local_member(), now));
    assert_eq!(other.notice_for(&name), None);
    restarted.merge(&notice, now);
    assert_eq!(restarted.take_reminder(), None, "it knows its upstream");
}

/// A limit that changes with each answer is not published each time.
#[test]
fn similar_limits() {
    let membership = node("desk-1");
    let limit = |rate| Demands {
        life: 7,
        leaving: false,
        rate,
    };
    let published = [Some(20.0), Some(24.0), Some(16.0), Some(26.0), None]
        .map(|rate| membership.update_local_demands(limit(rate)));
    assert_eq!(published, [true, false, false, true, true]);
}
