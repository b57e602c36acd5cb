//! Replies of nodes that pass on what is no answer.

use super::*;

#[test]
fn odd_status() {
    for (status, outcome) in [
        (0, Outcome::Unknown),
        (99, Outcome::Unknown),
        (100, Outcome::Done),
        (599, Outcome::Done),
        (600, Outcome::Unknown),
        (65_736, Outcome::Unknown),
    ] {
        let reply = Reply {
            outcome: Outcome::Done.into(),
            status,
            ..Reply::default()
        };
        let response = response_from_wire(reply, Body::Whole(Bytes::new()));
        assert_eq!(response.outcome, outcome, "{status}");
    }
}
