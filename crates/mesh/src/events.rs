//! Log events about single requests, bounded in number.

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
use sailtrack_units::{ConfigVersion, KindName, NodeName, WorkspaceName};
use sailtrack_wire::Reason;

use crate::contexts::Context;
use crate::dispatch::Trail;
use crate::entry::CredentialError;
use crate::gate::Finding;
use crate::key::{AttemptKey, UpstreamKey};
use crate::metrics::Stage;
use crate::request::Response;
use sampler::{Sampler, Verdict};

/// The most requests that the event of a crash names: an upstream runs some hundred at once.
const MAX_NAMED_REQUESTS: usize = 200;

/// What was full where a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(crate) enum Limiter {
    /// nothing
    None,
    /// queue
    Queue,
    /// window
    Window,
    /// path
    Breaker,
}

/// A request that was refused at the gate, and what decided it.
pub(crate) struct Refusal<'a> {
    pub(crate) attempt: &'a AttemptKey,
    pub(crate) kind: &'a KindName,
    pub(crate) reason: Reason,
    /// The queue before the upstream, the window of its kind, or a service further down that has
    /// no upstream.
    pub(crate) limiter: Limiter,
    /// The requests that ran and waited there.
    pub(crate) in_flight: usize,
}

/// A request to whose answer nobody waits any more, since the own upstream is silent.
pub(crate) struct Silence<'a> {
    pub(crate) attempt: &'a AttemptKey,
    pub(crate) kind: &'a KindName,
    pub(crate) waited: Duration,
    /// All but few of its kind take less, at the usual pace.
    pub(crate) expected: Duration,
    /// How many of its kind that were sent later have been answered.
    pub(crate) overtaken: u32,
}

/// The end of a request at the entry, and what decided it.
pub(crate) struct Completion<'a> {
    pub(crate) attempt: &'a AttemptKey,
    pub(crate) kind: &'a KindName,
    /// The status that the client gets.
    pub(crate) status: u16,
    pub(crate) trail: &'a Trail,
    pub(crate) reason: Reason,
    /// How full the path was that it took.
    pub(crate) pressure: Pressure,
    /// Whether a call made for it failed.
    pub(crate) callee_failed: bool,
    /// On whose behalf a client asked.
    pub(crate) workspace: Option<&'a WorkspaceName>,
    /// The configuration by which it was brought there.
    pub(crate) version: ConfigVersion,
    pub(crate) elapsed: Duration,
    /// The requests that the node works on.
    pub(crate) in_flight: usize,
}

/// Writes log events about single requests, and leaves out what is too many.
///
/// Refusals come in floods and would crowd out what is seldom, so each has a bound of its own.
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
    /// Notes that a request was refused at the gate.
    pub(crate) fn log_gate_refusal(&self, refusal: &Refusal<'_>) {
        let reason = refusal.reason.as_str_name();
        write(
            &self.refusals,
            refusal.attempt,
            &catalogue::REQUEST_REFUSED,
            &[
                ("request", refusal.attempt),
                ("kind", refusal.kind),
                ("at", &Stage::Gate),
                ("reason", &reason),
                ("bound", &refusal.limiter),
                ("calls", &refusal.in_flight),
            ],
        );
    }

    /// Notes that the answer of the own upstream to a request was lost or cannot be passed on.
    pub(crate) fn log_lost_answer(&self, attempt: &AttemptKey, reason: &dyn fmt::Display) {
        write(
            &self.failures,
            attempt,
            &catalogue::ANSWER_LOST,
            &[("request", attempt), ("reason", reason)],
        );
    }

    /// Notes what the port of the own upstream showed after the answer to a request was lost.
    pub(crate) fn log_probe(&self, attempt: &AttemptKey, finding: Finding, took: Duration) {
        write(
            &self.failures,
            attempt,
            &catalogue::UPSTREAM_LOOKED_AT,
            &[
                ("request", attempt),
                ("finding", &finding),
                ("took_ms", &took.as_millis()),
            ],
        );
    }

    /// Notes that another node told of a crash.
    #[allow(clippy::unused_self, reason = "events are written through one service")]
    pub(crate) fn log_remote_crash(&self, upstream: &str, requests: usize) {
        emit(
            &catalogue::CRASH_TOLD,
            &[("upstream", &upstream), ("requests", &requests)],
        );
    }

    /// Notes that no answer of the own upstream to a request is expected any more.
    pub(crate) fn log_missing_answer(&self, silence: &Silence<'_>) {
        write(
            &self.failures,
            silence.attempt,
            &catalogue::ANSWER_MISSING,
            &[
                ("request", silence.attempt),
                ("kind", silence.kind),
                ("waited_ms", &silence.waited.as_millis()),
                ("usual_ms", &silence.expected.as_millis()),
                ("overtaken", &silence.overtaken),
            ],
        );
    }

    /// Notes that the own upstream ended, and what it ran. There is one such event for each life.
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

    /// Notes that nothing is held against a request any more that was on trial or in quarantine.
    #[allow(clippy::unused_self, reason = "events are written through one service")]
    pub(crate) fn log_cleared(&self, identity: &Identity, reason: &dyn fmt::Display) {
        emit(
            &catalogue::QUARANTINE_ENDED,
            &[("identity", identity), ("reason", reason)],
        );
    }

    /// Notes that an attempt of a request in quarantine is refused.
    pub(crate) fn log_quarantine_refusal(&self, attempt: &AttemptKey, identity: &Identity) {
        write(
            &self.refusals,
            attempt,
            &catalogue::REQUEST_HELD_BACK,
            &[("request", attempt), ("identity", identity)],
        );
    }

    /// Notes that a request is not let in for want of a key. The key itself is not known here.
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

    /// Notes that a request is sent to another upstream.
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

    /// Notes that a request is refused at the entry.
    pub(crate) fn log_entry_refusal(&self, end: &Completion<'_>) {
        let reason = end.reason.as_str_name();
        let first: [Field<'_>; 5] = [
            ("request", end.attempt),
            ("kind", end.kind),
            ("at", &Stage::Entry),
            ("reason", &reason),
            ("calls", &end.in_flight),
        ];
        end.write(&self.refusals, &catalogue::REQUEST_REFUSED, &first);
    }

    /// Notes that a request ends without an answer of an upstream.
    pub(crate) fn log_failure(&self, end: &Completion<'_>) {
        let reason = end.reason.as_str_name();
        let first: [Field<'_>; 4] = [
            ("request", end.attempt),
            ("kind", end.kind),
            ("status", &end.status),
            ("reason", &reason),
        ];
        end.write(&self.failures, &catalogue::REQUEST_FAILED, &first);
    }

    /// Notes that an upstream answered with a failure of its own.
    pub(crate) fn log_error_response(&self, end: &Completion<'_>) {
        let first: [Field<'_>; 4] = [
            ("request", end.attempt),
            ("kind", end.kind),
            ("status", &end.status),
            ("below", &end.callee_failed),
        ];
        end.write(&self.failures, &catalogue::REQUEST_ANSWERED_BADLY, &first);
    }

    /// Notes that it is not known whether a request ran in the own upstream.
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
    /// Writes an event with its own fields and those that every end has.
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
    let verdict = sampler.borrow_mut().judge(attempt, Instant::now());
    let Verdict { is_kept, summary } = verdict;
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
