//! Brings one request to its answer.

#[cfg(test)]
mod tests;

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use monoio::time::timeout;
use sailtrack_units::Moment;
use sailtrack_wire::{Outcome, Reason};

use crate::clock::{self, Elapsed, READ_GRACE};
use crate::dispatch::Trail;
use crate::entry::CredentialError;
use crate::entry::Entry;
use crate::entry::answer::Refusal;
use crate::entry::memory::Guard;
use crate::entry::pipeline::{Place, Reservation, Weight};
use crate::entry::request::{Incoming, Received};
use crate::request::Response;

/// A timer that fires so late shows that the node stood still.
const STOOD_STILL: Duration = Duration::from_millis(20);

/// What is written when its turn comes.
pub(super) enum Answer {
    /// What came of a request.
    Of(Box<Ended>),
    /// A request is refused for its key, and the connection ends.
    NoKey(Box<Incoming>, CredentialError),
    /// What was sent is refused, and the connection ends.
    Last(Refusal, Option<Duration>),
    /// The client may send the body of its request.
    GoOn,
}

/// A request that has come to its end.
pub(super) struct Ended {
    pub(super) incoming: Incoming,
    pub(super) returned: Response,
    pub(super) trail: Trail,
    pub(super) reservation: Reservation,
    pub(super) weight: Weight,
    /// The connection ends after it.
    pub(super) closes: bool,
}

/// A request that was let in, with its body.
pub(super) struct Admitted {
    pub(super) reservation: Reservation,
    pub(super) received: Received,
    pub(super) memory: Guard,
}

/// Returns the end of a request that is not let in.
pub(super) fn turned_away(
    incoming: Incoming,
    returned: Response,
    place: Place,
    closes: bool,
) -> Answer {
    Answer::Of(Box::new(Ended {
        incoming,
        returned,
        trail: Trail::default(),
        reservation: place.keep(None),
        weight: place.weigh(0),
        closes,
    }))
}

/// Lets a request without a body in, and brings it to its end.
pub(super) async fn let_in(entry: Rc<Entry>, incoming: Incoming, place: Place) -> Answer {
    let trail = Trail::default();
    let (returned, reservation) = match entry.take_token(&incoming).await {
        Ok(token) => {
            let reservation = place.keep(token);
            let received = Received {
                body: Bytes::new(),
                identity: incoming.hasher(&entry.service).finish(),
            };
            let returned = run(&entry, &incoming, received, &trail).await;
            (returned, reservation)
        }
        Err(returned) => (returned, place.keep(None)),
    };
    end(incoming, returned, trail, reservation, place)
}

/// Brings a request that was let in to its end.
pub(super) async fn bring(
    entry: Rc<Entry>,
    incoming: Incoming,
    admitted: Admitted,
    place: Place,
) -> Answer {
    let trail = Trail::default();
    let returned = run(&entry, &incoming, admitted.received, &trail).await;
    drop(admitted.memory);
    end(incoming, returned, trail, admitted.reservation, place)
}

fn end(
    incoming: Incoming,
    returned: Response,
    trail: Trail,
    mut reservation: Reservation,
    place: Place,
) -> Answer {
    if returned.outcome == Outcome::NotRun {
        reservation.give_back();
    }
    let body = returned.body.whole().map_or(0, Bytes::len);
    Answer::Of(Box::new(Ended {
        weight: place.weigh(returned.head.len() + body),
        incoming,
        returned,
        trail,
        reservation,
        closes: false,
    }))
}

/// Returns what came of a request whose time is over.
///
/// Where the node itself stood still, answers may have come meanwhile, or nothing was sent; both
/// are better for the caller than not to know.
async fn look_once_more(deadline: Moment, dispatch: impl Future<Output = Response>) -> Response {
    if clock::now().since(deadline) < STOOD_STILL {
        return Response::unknown(Reason::Deadline);
    }
    let returned = timeout(READ_GRACE, dispatch).await;
    returned.unwrap_or_else(|_| Response::unknown(Reason::Deadline))
}

/// Brings a request to an upstream and back; dropping the future cancels it.
async fn run(entry: &Entry, incoming: &Incoming, received: Received, trail: &Trail) -> Response {
    trail.identify(received.identity);
    let Some(service) = entry.splitter.next(&incoming.route) else {
        return Response::refused(Reason::NoUpstream);
    };
    let fields = entry.dialect.fields();
    let work = incoming.work(fields, &entry.service, service, received);
    if work.time_left().is_zero() {
        // It waited for those ahead of it.
        return Response::refused(Reason::Deadline);
    }
    if let Some(returned) = entry.refuse_late(incoming) {
        return returned;
    }
    // Boxed, since each future around it would keep room for it once more.
    let mut dispatch = Box::pin(entry.dispatcher.dispatch(work, &incoming.route, trail));
    let returned = match clock::timeout_at(incoming.deadline, &mut dispatch).await {
        Ok(returned) => returned,
        Err(Elapsed) => look_once_more(incoming.deadline, dispatch).await,
    };
    if let Some(parent) = &incoming.parent {
        parent.record_result(&returned);
    }
    returned
}
