//! What is remembered of another node's upstream while its node is away.

use bytes::Bytes;
use sailtrack_units::Rate;
use sailtrack_wire::Presence;

use super::Upstream;
use crate::body::Body;
use crate::rate_limit::RateLimit;
use crate::request::Response;

fn presence(upstream: &str, limit: RateLimit) -> Presence {
    Presence {
        upstream: upstream.to_owned(),
        rate_limit: limit.to_wire(),
        ..Presence::default()
    }
}

fn response(limit: RateLimit, leaving: Option<&str>) -> Response {
    Response {
        rate_limit: limit,
        leaving: leaving.map(|key| key.parse().expect("a key")),
        ..Response::answered(200, Bytes::new(), Body::Whole(Bytes::new()))
    }
}

const LIMITED: RateLimit = RateLimit::Limited(Rate(2.6));

/// A node that was started again does not know the limit and is told it with the next request.
#[test]
fn limit_outlives_node() {
    let upstream = Upstream::default();
    upstream.apply_presence(&presence("i-1", RateLimit::Unknown));
    assert_eq!(upstream.rate_limit_to_wire(), None);
    upstream.apply_response(&response(LIMITED, None));
    upstream.apply_presence(&presence("", RateLimit::Unknown));
    upstream.apply_presence(&presence("i-1/5", RateLimit::Unknown));
    let message = upstream.rate_limit_to_wire().expect("a limit");
    assert_eq!(message.upstream, "i-1/5");
    assert_eq!(RateLimit::from_wire(Some(&message)), LIMITED);
    upstream.apply_response(&response(RateLimit::Unlimited, None));
    assert_eq!(upstream.rate_limit_to_wire(), None);
}

#[test]
fn ends_with_life() {
    let upstream = Upstream::default();
    upstream.apply_presence(&presence("i-1/5", LIMITED));
    upstream.apply_response(&response(LIMITED, Some("i-1/5")));
    assert!(upstream.is_leaving());
    upstream.apply_presence(&presence("i-1/6", RateLimit::Unknown));
    assert_eq!(upstream.rate_limit_to_wire(), None);
    assert!(!upstream.is_leaving(), "the next life is sound");
}

/// A node that was started again believed a late heartbeat of an upstream that is leaving.
#[test]
fn late_heartbeat_believed() {
    let upstream = Upstream::default();
    upstream.apply_presence(&presence("i-1/5", RateLimit::Unlimited));
    upstream.apply_response(&response(RateLimit::Unlimited, Some("i-1/5")));
    for known_as in ["", "i-1", "i-1/5"] {
        upstream.apply_presence(&presence(known_as, RateLimit::Unknown));
        assert!(upstream.is_leaving(), "{known_as:?}");
    }
}

/// Peers that knew from elsewhere that an upstream had retired went on sending to it for as long as
/// its node said that it was ready.
#[test]
fn retirement_from_elsewhere() {
    let upstream = Upstream::default();
    let key = |text: &str| text.parse().expect("a key");
    upstream.apply_presence(&presence("i-1/5", RateLimit::Unknown));
    upstream.record_retirement(&key("i-2/5"));
    upstream.record_retirement(&key("i-1/4"));
    assert!(!upstream.is_leaving(), "another incarnation retired");
    upstream.record_retirement(&key("i-1/5"));
    assert!(upstream.is_leaving());
    upstream.apply_presence(&presence("i-1/6", RateLimit::Unknown));
    assert!(!upstream.is_leaving(), "the next incarnation is sound");
}
