//! Runs one request and produces its reply.

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
use crate::entry::pipeline::{Charge, Permit, Reservation};
use crate::entry::request::{Incoming, Payload};
use crate::entry::response::Refusal;
use crate::memory::Buffer;
use crate::request::Response;

/// A timer that fires this late shows that the process was stalled.
const STALL_THRESHOLD: Duration = Duration::from_millis(20);

/// The most bytes of a streamed body that are in memory: what the gate reads before it passes the
/// first part on, and the part that is being written.
const STREAM_BYTES: usize = 160 * 1024;

/// What is written to the client when the request's turn in the pipeline comes.
pub(super) enum Reply {
    /// The response to a request.
    Completed(Box<Completion>),
    /// The request's key was refused; the connection closes.
    Unauthorized(Box<Incoming>, CredentialError),
    /// The input was refused; the connection closes.
    Rejected(Refusal, Option<Duration>),
    /// An interim `100 Continue` response.
    Continue,
}

/// A completed request with its response.
pub(super) struct Completion {
    pub(super) incoming: Incoming,
    pub(super) response: Response,
    pub(super) trail: Trail,
    pub(super) reservation: Reservation,
    pub(super) charge: Charge,
    /// The connection closes after the response.
    pub(super) closes: bool,
}

/// An admitted request's body and the resources reserved for it.
pub(super) struct Admission {
    pub(super) reservation: Reservation,
    pub(super) payload: Payload,
}

/// Returns the reply for a request that is not admitted.
pub(super) fn reject(
    incoming: Incoming,
    response: Response,
    permit: Permit,
    closes: bool,
) -> Reply {
    Reply::Completed(Box::new(Completion {
        incoming,
        response,
        trail: Trail::default(),
        reservation: permit.reserve(None),
        charge: permit.charge(0),
        closes,
    }))
}

/// Admits a request without a body and runs it.
pub(super) async fn admit_and_run(entry: Rc<Entry>, incoming: Incoming, permit: Permit) -> Reply {
    let trail = Trail::default();
    let (response, reservation) = match entry.acquire_token(&incoming).await {
        Ok(token) => {
            let reservation = permit.reserve(token);
            let payload = Payload {
                body: Buffer::default(),
                identity: incoming.hasher(&entry.service).finish(),
            };
            let response = run(&entry, &incoming, payload, (&trail, &permit)).await;
            (response, reservation)
        }
        Err(response) => (response, permit.reserve(None)),
    };
    complete(incoming, response, trail, reservation, permit)
}

/// Runs an admitted request.
pub(super) async fn run_admitted(
    entry: Rc<Entry>,
    incoming: Incoming,
    admission: Admission,
    permit: Permit,
) -> Reply {
    let trail = Trail::default();
    let response = run(&entry, &incoming, admission.payload, (&trail, &permit)).await;
    complete(incoming, response, trail, admission.reservation, permit)
}

fn complete(
    incoming: Incoming,
    mut response: Response,
    trail: Trail,
    mut reservation: Reservation,
    permit: Permit,
) -> Reply {
    if response.outcome == Outcome::NotRun {
        reservation.refund();
    }
    let body = response.body.whole().map_or(STREAM_BYTES, Bytes::len);
    // From now on the response counts for its client.
    drop(response.memory.take());
    Reply::Completed(Box::new(Completion {
        charge: permit.charge(response.head.len() + body),
        incoming,
        response,
        trail,
        reservation,
        closes: false,
    }))
}

/// Returns the result of a request whose deadline has passed.
///
/// If the process was stalled, the response may have arrived meanwhile, or nothing may have been
/// sent; both are better for the caller than an unknown outcome.
async fn poll_after_deadline(
    deadline: Moment,
    dispatch: impl Future<Output = Response>,
) -> Response {
    if clock::now().since(deadline) < STALL_THRESHOLD {
        return Response::unknown(Reason::Deadline);
    }
    let response = timeout(READ_GRACE, dispatch).await;
    response.unwrap_or_else(|_| Response::unknown(Reason::Deadline))
}

/// Returns the failure that an upstream answered, rather than that the outcome is not known.
fn or_failure(response: Response, trail: &Trail) -> Response {
    let is_unknown = response.outcome == Outcome::Unknown;
    let failure = trail.take_failure().filter(|_| is_unknown);
    failure.unwrap_or(response)
}

/// Dispatches a request to an upstream; dropping the future cancels it.
async fn run(
    entry: &Entry,
    incoming: &Incoming,
    payload: Payload,
    (trail, permit): (&Trail, &Permit),
) -> Response {
    trail.set_identity(payload.identity);
    let Some(service) = entry.splitter.next(&incoming.route) else {
        return Response::refused(Reason::NoUpstream);
    };
    let fields = entry.dialect.fields();
    let mut request = incoming.forwarded(fields, &entry.service, service, payload);
    request.deadline = entry.shutdown.work_deadline(request.deadline);
    request.client = Some(permit.registration().clone());
    let refusal = entry.refuse_if_stopping(incoming);
    if let Some(response) = refusal.or_else(|| entry.refuse_if_full(incoming)) {
        return response;
    }
    if request.time_left().is_zero() {
        // The deadline passed while the request waited for earlier ones.
        return Response::refused(Reason::Deadline);
    }
    // Boxed, since every enclosing future would otherwise reserve space for it again.
    let mut dispatch = Box::pin(entry.dispatcher.dispatch(request, &incoming.route, trail));
    // A planned stop may begin meanwhile.
    let deadline = || entry.shutdown.answer_deadline(incoming.deadline);
    let in_time = clock::timeout_when(deadline, &mut dispatch).await;
    let response = match in_time {
        Ok(response) => response,
        Err(Elapsed) => or_failure(poll_after_deadline(deadline(), dispatch).await, trail),
    };
    if response.outcome == Outcome::Unknown && response.reason == Reason::Deadline {
        entry.log_end_by_stop(incoming);
    }
    if let Some(parent) = &incoming.parent {
        parent.record_result(&response);
    }
    response
}
