//! Rate-limited log events about single requests.

mod responses;
mod sampler;
#[cfg(test)]
mod tests;

use std::cell::RefCell;
use std::fmt;
use std::rc::Rc;
use std::time::{Duration, Instant};

use displaydoc::Display;
use sailtrack_admission::Pressure;
use sailtrack_kernel::Service;
use sailtrack_log::{Entry, Field, catalogue, emit};
use sailtrack_quarantine::Identity;
use sailtrack_units::{ConfigVersion, KindName, NodeName, Rate, WorkspaceName};
use sailtrack_wire::Reason;

use crate::contexts::Context;
use crate::dispatch::Trail;
use crate::entry::CredentialError;
use crate::key::{AttemptKey, UpstreamKey};
use crate::metrics::Stage;
use crate::request::Response;
pub(crate) use responses::{Received, Silence, Truncation};
use sampler::{Decision, Sampler};

/// The most requests that a crash event names; an upstream runs some hundred at once.
const MAX_NAMED_REQUESTS: usize = 200;

/// The limit at the gate that a refused request exceeded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(crate) enum Limiter {
    /// nothing
    None,
    /// queue
    Queue,
    /// window
    Window,
    /// rate
    Rate,
    /// path
    Breaker,
    /// memory
    Memory,
}

/// A request that was refused at the gate, and why.
pub(crate) struct Refusal<'a> {
    pub(crate) attempt: &'a AttemptKey,
    pub(crate) kind: &'a KindName,
    pub(crate) reason: Reason,
    /// The queue or the rate limit of the upstream, the window of the request's kind, the circuit
    /// breaker of a kind whose callees have no upstream, or the memory for bodies.
    pub(crate) limiter: Limiter,
    /// The rate limit of the upstream, if it is the reason.
    pub(crate) rate: Option<Rate>,
    /// The requests that were running or waiting at the gate.
    pub(crate) in_flight: usize,
}

/// The result of a request at the entry, and what led to it.
pub(crate) struct Completion<'a> {
    pub(crate) attempt: &'a AttemptKey,
    pub(crate) kind: &'a KindName,
    /// The HTTP status that the client gets.
    pub(crate) status: u16,
    pub(crate) trail: &'a Trail,
    pub(crate) reason: Reason,
    /// The highest pressure on the path that the request took.
    pub(crate) pressure: Pressure,
    /// Whether a nested call made for it failed.
    pub(crate) callee_failed: bool,
    /// The workspace that the request belongs to.
    pub(crate) workspace: Option<&'a WorkspaceName>,
    /// The configuration version by which it was routed.
    pub(crate) version: ConfigVersion,
    pub(crate) elapsed: Duration,
    /// The requests in flight at this node.
    pub(crate) in_flight: usize,
}

/// Writes log events about single requests, sampled when there are too many.
///
/// Refusals and failures are sampled separately, since refusals under overload would crowd out the
/// rarer failures.
#[derive(Debug)]
pub(crate) struct Events {
    refusals: RefCell<Sampler>,
    failures: RefCell<Sampler>,
}

impl Default for Events {
    fn default() -> Self {
        let now = Instant::now();
        Self {
            refusals: RefCell::new(Sampler::new("refusals", now)),
            failures: RefCell::new(Sampler::new("failures", now)),
        }
    }
}

impl Service for Events {
    const NAME: &'static str = "events";
}

impl Events {
    /// Logs that a request was refused at the gate.
    pub(crate) fn log_gate_refusal(&self, refusal: &Refusal<'_>) {
        let reason = refusal.reason.as_str_name();
        let mut fields: Vec<Field<'_>> = vec![
            ("request", refusal.attempt),
            ("kind", refusal.kind),
            ("at", &Stage::Gate),
            ("reason", &reason),
            ("bound", &refusal.limiter),
            ("calls", &refusal.in_flight),
        ];
        if let Some(rate) = &refusal.rate {
            fields.push(("limit", rate));
        }
        write(
            &self.refusals,
            refusal.attempt,
            &catalogue::REQUEST_REFUSED,
            &fields,
        );
    }

    /// Logs that another node reported a crash of its upstream.
    #[allow(clippy::unused_self, reason = "events are written through one service")]
    pub(crate) fn log_remote_crash(&self, upstream: &str, requests: usize) {
        emit(
            &catalogue::CRASH_TOLD,
            &[("upstream", &upstream), ("requests", &requests)],
        );
    }

    /// Logs that the own upstream crashed, with the requests in flight. There is one such event for
    /// each incarnation.
    #[allow(clippy::unused_self, reason = "events are written through one service")]
    pub(crate) fn log_crash(&self, upstream: &UpstreamKey, ran: &[Rc<Context>]) {
        let named = ran.iter().take(MAX_NAMED_REQUESTS);
        let named = named.map(|one| format!("{}:{}", one.identity.short(), one.kind));
        let named = named.collect::<Vec<_>>().join(" ");
        emit(
            &catalogue::UPSTREAM_CRASHED,
            &[
                ("upstream", upstream),
                ("requests", &ran.len()),
                ("ran", &named),
            ],
        );
    }

    /// Logs that a request is no longer quarantined or on trial.
    #[allow(clippy::unused_self, reason = "events are written through one service")]
    pub(crate) fn log_cleared(&self, identity: &Identity, reason: &dyn fmt::Display) {
        emit(
            &catalogue::QUARANTINE_ENDED,
            &[("identity", identity), ("reason", reason)],
        );
    }

    /// Logs that an attempt of a quarantined request is refused.
    pub(crate) fn log_quarantine_refusal(&self, attempt: &AttemptKey, identity: &Identity) {
        write(
            &self.refusals,
            attempt,
            &catalogue::REQUEST_HELD_BACK,
            &[("request", attempt), ("identity", identity)],
        );
    }

    /// Logs that a request is refused since its key does not identify a workspace. The key itself
    /// is never passed here, so that it cannot be logged.
    pub(crate) fn log_credential_error(
        &self,
        attempt: &AttemptKey,
        kind: &KindName,
        refusal: CredentialError,
        version: ConfigVersion,
    ) {
        write(
            &self.refusals,
            attempt,
            &catalogue::KEY_REFUSED,
            &[
                ("request", attempt),
                ("kind", kind),
                ("reason", &refusal),
                ("version", &version),
            ],
        );
    }

    /// Logs that a request is sent again, to another upstream.
    pub(crate) fn log_retry(&self, attempt: &AttemptKey, node: &NodeName, returned: &Response) {
        let reason = returned.reason.as_str_name();
        let outcome = returned.outcome.as_str_name();
        write(
            &self.refusals,
            attempt,
            &catalogue::REQUEST_REPEATED,
            &[
                ("request", attempt),
                ("node", node),
                ("outcome", &outcome),
                ("reason", &reason),
            ],
        );
    }

    /// Logs that a request is refused at the entry.
    pub(crate) fn log_entry_refusal(&self, completion: &Completion<'_>) {
        let reason = completion.reason.as_str_name();
        let first: [Field<'_>; 5] = [
            ("request", completion.attempt),
            ("kind", completion.kind),
            ("at", &Stage::Entry),
            ("reason", &reason),
            ("calls", &completion.in_flight),
        ];
        completion.write(&self.refusals, &catalogue::REQUEST_REFUSED, &first);
    }

    /// Logs that a request fails without an answer from an upstream.
    pub(crate) fn log_failure(&self, completion: &Completion<'_>) {
        let reason = completion.reason.as_str_name();
        let first: [Field<'_>; 4] = [
            ("request", completion.attempt),
            ("kind", completion.kind),
            ("status", &completion.status),
            ("reason", &reason),
        ];
        completion.write(&self.failures, &catalogue::REQUEST_FAILED, &first);
    }

    /// Logs that an upstream answered with an error.
    pub(crate) fn log_error_response(&self, completion: &Completion<'_>) {
        let first: [Field<'_>; 4] = [
            ("request", completion.attempt),
            ("kind", completion.kind),
            ("status", &completion.status),
            ("below", &completion.callee_failed),
        ];
        completion.write(&self.failures, &catalogue::REQUEST_ANSWERED_BADLY, &first);
    }

    /// Logs that a request is ended since the planned stop is nearly over.
    pub(crate) fn log_end_by_stop(&self, attempt: &AttemptKey, kind: &KindName, left: Duration) {
        write(
            &self.failures,
            attempt,
            &catalogue::REQUEST_ENDED_BY_STOP,
            &[
                ("request", attempt),
                ("kind", kind),
                ("left_ms", &left.as_millis()),
            ],
        );
    }

    /// Logs that it is unknown whether a request ran in the own upstream.
    pub(crate) fn log_unknown_outcome(
        &self,
        attempt: &AttemptKey,
        kind: &KindName,
        reason: Reason,
    ) {
        let reason = reason.as_str_name();
        write(
            &self.failures,
            attempt,
            &catalogue::OUTCOME_NOT_KNOWN,
            &[("request", attempt), ("kind", kind), ("reason", &reason)],
        );
    }
}

impl Completion<'_> {
    /// Writes an event with its own fields, followed by those of every completed request.
    fn write(&self, sampler: &RefCell<Sampler>, entry: &Entry, first: &[Field<'_>]) {
        let node = self.trail.node();
        let node = node.as_ref().map_or("none", NodeName::as_str);
        let after_ms = self.elapsed.as_millis();
        let workspace = self.workspace.map_or("", WorkspaceName::as_str);
        let rest: [Field<'_>; 6] = [
            ("node", &node),
            ("tries", &self.trail.tries()),
            ("pressure", &self.pressure.percent()),
            ("workspace", &workspace),
            ("version", &self.version),
            ("after_ms", &after_ms),
        ];
        write(sampler, self.attempt, entry, &[first, &rest].concat());
    }
}

fn write(sampler: &RefCell<Sampler>, attempt: &AttemptKey, entry: &Entry, fields: &[Field<'_>]) {
    let decision = sampler.borrow_mut().sample(attempt, Instant::now());
    let Decision { is_kept, summary } = decision;
    if let Some(summary) = summary {
        emit(
            &catalogue::EVENTS_LEFT_OUT,
            &[
                ("count", &summary.left_out),
                ("about", &summary.about),
                ("kept", &summary.kept_percent),
                ("span_ms", &summary.span.as_millis()),
            ],
        );
    }
    if is_kept {
        emit(entry, fields);
    }
}
