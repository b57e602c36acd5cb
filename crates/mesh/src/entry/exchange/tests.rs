//! What a caller hears whose time is over.

use std::time::Duration;

use monoio::time::sleep;
use sailtrack_net::runtime;
use sailtrack_wire::{Outcome, Reason};

use super::{STOOD_STILL, look_once_more};
use crate::clock;
use crate::request::Response;

/// Returns what is told of a request that turns out not to have run a moment after its time was
/// over, if its timer fires this much too late.
fn told(late: Duration) -> Outcome {
    let deadline = clock::now().before(late);
    let dispatch = async {
        sleep(Duration::from_millis(1)).await;
        Response::refused(Reason::Deadline)
    };
    let returned = runtime::run(look_once_more(deadline, dispatch));
    returned.expect("a runtime").outcome
}

/// The node stood still past the end and has not looked yet at what came meanwhile; told at once,
/// its callers would have to take what never ran for something that may have run.
#[test]
fn stood_still() {
    assert_eq!(told(STOOD_STILL), Outcome::NotRun);
}

#[test]
fn told_at_once() {
    assert_eq!(told(Duration::ZERO), Outcome::Unknown);
}
