//! Outcomes reported when the deadline of a request passes.

use std::time::Duration;

use monoio::time::sleep;
use sailtrack_net::runtime;
use sailtrack_wire::{Outcome, Reason};

use super::{STALL_THRESHOLD, poll_after_deadline};
use crate::clock;
use crate::request::Response;

/// Returns the outcome reported for a request that turns out not to have run 1 ms after its
/// deadline, if the deadline timer fires late by `late`.
fn reported(late: Duration) -> Outcome {
    let deadline = clock::now().before(late);
    let dispatch = async {
        sleep(Duration::from_millis(1)).await;
        Response::refused(Reason::Deadline)
    };
    let response = runtime::run(poll_after_deadline(deadline, dispatch));
    response.expect("a runtime").outcome
}

/// A stalled process has not yet read a response that arrived meanwhile. Replying at once would
/// report a request that never ran as one that may have run.
#[test]
fn stood_still() {
    assert_eq!(reported(STALL_THRESHOLD), Outcome::NotRun);
}

#[test]
fn told_at_once() {
    assert_eq!(reported(Duration::ZERO), Outcome::Unknown);
}
