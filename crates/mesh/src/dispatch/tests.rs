//! Which failures are worth another try.

use sailtrack_admission::Pressure;
use sailtrack_wire::Reason;

use crate::dispatch::{is_hopeless, more_telling};
use crate::request::Response;

fn lost(pressure: f64) -> Response {
    Response {
        path_pressure: Pressure(pressure),
        ..Response::unknown(Reason::Connection)
    }
}

#[test]
fn lost_under_load() {
    assert!(!is_hopeless(&lost(0.4)));
    assert!(!is_hopeless(&lost(1.2)), "requests wait, no more");
    assert!(is_hopeless(&lost(2.0)), "requests are refused");
}

#[test]
fn failed_below() {
    let failed = Response {
        failed_below: true,
        ..lost(0.4)
    };
    assert!(is_hopeless(&failed), "it was repeated there");
}

/// One upstream is full and the next node has none: the caller is told of the full one.
#[test]
fn fullness_is_kept() {
    let full = || Some(Response::refused(Reason::Overload));
    let absent = Response::refused(Reason::NoUpstream);
    assert_eq!(more_telling(full(), absent).reason, Reason::Overload);
    let shed = Response::rejected_by_upstream(Reason::UpstreamShed);
    assert_eq!(more_telling(full(), shed).reason, Reason::UpstreamShed);
    let lost = Response::unknown(Reason::Connection);
    assert_eq!(more_telling(full(), lost).reason, Reason::Connection);
}
