//! Attribution of calls to requests by their ids, and what calls inherit and
//! report.

use std::rc::Rc;

use bytes::Bytes;
use sailtrack_quarantine::{Caller, Hasher};
use sailtrack_units::{Class, Importance, Rank};
use sailtrack_wire::Reason;

use crate::body::Body;
use crate::clock;
use crate::contexts::{Context, Contexts};
use crate::key::{AttemptKey, UpstreamKey};
use crate::memory::{self, Buffer};
use crate::overdue;
use crate::request::{OverLimit, Request, Response};

/// Returns a request with this id whose deadline is now.
pub(crate) fn request(id: &str) -> Request {
    Request {
        workspace: None,
        completed_calls: 0,
        class: Class::default(),
        attempt: AttemptKey::from(id),
        identity: Hasher::new(&[b"/"], Caller::default()).finish(),
        known_crashes: 0,
        service: "bank".parse().expect("a name"),
        kind: "read".parse().expect("a name"),
        idempotent: true,
        rank: Rank::HIGHEST,
        is_nested: false,
        is_retry: true,
        over_limit: OverLimit::default(),
        overdue: overdue::Signal::default(),
        caller: memory::Caller::Anonymous,
        client: None,
        deadline: clock::now(),
        head: Bytes::new(),
        body: Buffer::default(),
    }
}

/// Returns the contexts of this many requests in an incarnation of the upstream.
pub(crate) fn contexts_of(upstream: &UpstreamKey, count: usize) -> Vec<Rc<Context>> {
    let contexts = Rc::new(Contexts::default());
    let opened = (0..count).map(|number| contexts.open(&request(&number.to_string()), upstream));
    opened.map(|open| Rc::clone(&open.context)).collect()
}

fn upstream() -> UpstreamKey {
    UpstreamKey::new("i-1", None).expect("a sound id")
}

fn has_parent(contexts: &Contexts, id: &str) -> bool {
    contexts.parent(&AttemptKey::from(id)).is_some()
}

/// Reads made for an unimportant request must not overtake requests of the importance of the read's
/// route.
#[test]
fn calls_matter_as_their_request() {
    let contexts = Rc::new(Contexts::default());
    let low = Request {
        class: Importance::Low.into(),
        rank: Rank::LOWEST,
        ..request("a")
    };
    let open = contexts.open(&low, &upstream());
    assert_eq!(open.context.call_class(), Importance::Low.into());
    assert_eq!(open.context.call_rank(), Rank::LOWEST);
    let critical = Request {
        class: Importance::Critical.into(),
        ..request("b")
    };
    let open = contexts.open(&critical, &upstream());
    let class = open.context.call_class();
    assert_eq!(class, Importance::Critical.into());
}

#[test]
fn told_by_prefix() {
    let contexts = Rc::new(Contexts::default());
    let open = contexts.open(&request("a.b"), &upstream());
    let parent = contexts
        .parent(&AttemptKey::from("a.b.c"))
        .expect("its parent runs");
    assert!(parent.is_retry && parent.rank == Rank::HIGHEST);
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
    let first = contexts.open(&request("a"), &upstream());
    let second = contexts.open(&request("a"), &upstream());
    drop(first);
    assert!(has_parent(&contexts, "a.b"), "the second one still runs");
    drop(second);
    assert!(!has_parent(&contexts, "a.b"));
}

/// A missing upstream at the end of a call chain is reported to all services above.
#[test]
fn absence_goes_up() {
    let contexts = Rc::new(Contexts::default());
    let open = contexts.open(&request("a"), &upstream());
    open.context
        .record_result(&Response::refused(Reason::Overload));
    assert!(!open.context.absent_below.get());
    let call = Response {
        failed_below: true,
        absent_below: true,
        ..Response::answered(500, Bytes::new(), Body::Whole(Bytes::new()))
    };
    open.context.record_result(&call);
    assert!(open.context.absent_below.get());
    let nobody = Response::refused(Reason::NoUpstream);
    assert!(nobody.found_no_upstream() && call.found_no_upstream());
}

/// A request that succeeded in the end has found an upstream.
#[test]
fn absence_that_was_mended() {
    let served = Response {
        absent_below: true,
        ..Response::answered(200, Bytes::new(), Body::Whole(Bytes::new()))
    };
    assert!(!served.found_no_upstream());
}
