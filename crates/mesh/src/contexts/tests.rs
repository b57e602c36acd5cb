//! Calls are told by their ids only where that is checked.

use std::rc::Rc;
use std::time::Instant;

use bytes::Bytes;
use sailtrack_admission::Floor;
use sailtrack_quarantine::{Caller, Hasher};
use sailtrack_units::{Class, Rank};
use sailtrack_wire::Reason;

use crate::body::Body;
use crate::clock;
use crate::contexts::Contexts;
use crate::key::{AttemptKey, UpstreamKey};
use crate::work::{Returned, Work};

fn work(id: &str) -> Work {
    Work {
        workspace: None,
        progress: 0,
        class: Class::default(),
        attempt: AttemptKey::from(id),
        identity: Hasher::new(&[b"/"], Caller::default()).finish(),
        known_crashes: 0,
        service: "bank".parse().expect("a name"),
        kind: "read".parse().expect("a name"),
        idempotent: true,
        rank: Rank::HIGHEST,
        begun: false,
        repeated: true,
        deadline: clock::now(),
        head: Bytes::new(),
        body: Bytes::new(),
    }
}

fn upstream() -> UpstreamKey {
    UpstreamKey::new("i-1", None).expect("a sound id")
}

fn has_parent(contexts: &Contexts, id: &str) -> bool {
    contexts.parent(&AttemptKey::from(id)).is_some()
}

#[test]
fn told_by_prefix() {
    let contexts = Rc::new(Contexts::default());
    let open = contexts.open(&work("a.b"), &upstream());
    let parent = contexts
        .parent(&AttemptKey::from("a.b.c"))
        .expect("its parent runs");
    assert!(parent.repeated && parent.rank == Rank::HIGHEST);
    assert!(has_parent(&contexts, "a.b.c.d"));
    for other in ["a.b", "a.bc", "a.bc.d", "a.c", "x.a.b.c", "", "."] {
        assert!(!has_parent(&contexts, other), "{other}");
    }
    drop(open);
    assert!(!has_parent(&contexts, "a.b.c"));
}

#[test]
fn same_id_twice() {
    let contexts = Rc::new(Contexts::default());
    let first = contexts.open(&work("a"), &upstream());
    let second = contexts.open(&work("a"), &upstream());
    drop(first);
    assert!(has_parent(&contexts, "a.b"), "the second one still runs");
    drop(second);
    assert!(!has_parent(&contexts, "a.b"));
}

/// That a service at the bottom has no upstream is told through all services above it.
#[test]
fn absence_goes_up() {
    let contexts = Rc::new(Contexts::default());
    let open = contexts.open(&work("a"), &upstream());
    let read = "read".parse().expect("a name");
    open.context
        .note(&read, &Returned::refused(Reason::Overload));
    assert!(!open.context.absent_below.get());
    let call = Returned {
        failed_below: true,
        absent_below: true,
        ..Returned::answered(500, Bytes::new(), Body::Whole(Bytes::new()))
    };
    open.context.note(&read, &call);
    assert!(open.context.absent_below.get());
    let nobody = Returned::refused(Reason::NoUpstream);
    assert!(nobody.found_nobody() && call.found_nobody());
}

/// A call that was served in the end found somebody.
#[test]
fn absence_that_was_mended() {
    let served = Returned {
        absent_below: true,
        ..Returned::answered(200, Bytes::new(), Body::Whole(Bytes::new()))
    };
    assert!(!served.found_nobody());
}

/// What calls tell of the ranks that can be finished goes up, and holds for what begins here.
#[test]
fn floors_go_up() {
    let contexts = Rc::new(Contexts::default());
    let root = contexts.open(&work("a"), &upstream());
    let call = Work {
        begun: true,
        ..work("b")
    };
    let inner = contexts.open(&call, &upstream());
    let (read, list) = (
        "read".parse().expect("a name"),
        "list".parse().expect("a name"),
    );
    let told = |number| Returned {
        floor: Floor::from_number(number),
        ..Returned::answered(200, Bytes::new(), Body::Whole(Bytes::new()))
    };
    inner.context.note(&read, &told(250));
    inner.context.note(&read, &told(0));
    inner.context.note(&list, &told(40));
    assert_eq!(
        inner.context.floor(),
        Floor::from_number(125),
        "the mean of the fuller service"
    );
    let kind = "read".parse().expect("a name");
    let lets_in = || {
        let lowest = Rank::from_index(192);
        contexts.floors().lets_in(&kind, lowest, Instant::now())
    };
    assert!(lets_in(), "a call does not begin here");
    for _ in 0..9 {
        root.context.note(&read, &told(250));
    }
    assert!(!lets_in());
}
