//! Which failures are retried, and which response is returned.

use sailtrack_admission::Pressure;
use sailtrack_wire::Reason;

use crate::dispatch::{is_retry_futile, more_informative};
use crate::request::Response;

fn lost(pressure: f64) -> Response {
    Response {
        path_pressure: Pressure(pressure),
        ..Response::unknown(Reason::Connection)
    }
}

#[test]
fn lost_under_load() {
    assert!(!is_retry_futile(&lost(0.4)));
    assert!(!is_retry_futile(&lost(1.2)), "requests are only queued");
    assert!(is_retry_futile(&lost(2.0)), "requests are refused");
}

#[test]
fn failed_below() {
    let failed = Response {
        failed_below: true,
        ..lost(0.4)
    };
    assert!(is_retry_futile(&failed), "it was already retried there");
}

/// One upstream is full and the next node has none: the caller is told about the full one.
#[test]
fn fullness_is_kept() {
    let full = || Some(Response::refused(Reason::Overload));
    let absent = Response::refused(Reason::NoUpstream);
    assert_eq!(more_informative(full(), absent).reason, Reason::Overload);
    let shed = Response::rejected_by_upstream(Reason::UpstreamShed);
    assert_eq!(more_informative(full(), shed).reason, Reason::UpstreamShed);
    let lost = Response::unknown(Reason::Connection);
    assert_eq!(more_informative(full(), lost).reason, Reason::Connection);
}
