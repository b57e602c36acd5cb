//! Calls and their answers.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Method;
use sailtrack_declaration::Repeat;
use sailtrack_units::{Allowance, KindName, Rank, RequestId, ServiceName, Ticket};
use sailtrack_wire::{Outcome, Reason};

use sailtrack_admission::Pressure;

/// One call to a service, made by a client or for a client's request.
#[derive(Debug, Clone)]
pub(crate) struct Call {
    /// The root request.
    pub(crate) request: RequestId,
    /// The kind of the root request.
    pub(crate) root_kind: KindName,
    /// The kind of this call.
    pub(crate) kind: KindName,
    /// Whether this call may be retried.
    pub(crate) repeat: Repeat,
    /// The service that executes it.
    pub(crate) service: ServiceName,
    pub(crate) method: Method,
    pub(crate) path: String,
    /// Its shedding rank, given by the root request.
    pub(crate) rank: Rank,
    /// The number of retries that the callee may cause in turn.
    pub(crate) allowance: Allowance,
    pub(crate) deadline: Instant,
    /// Names the only node that may execute the call, if it must not run twice.
    pub(crate) ticket: Option<Ticket>,
    /// Number of services that the request passed through before this one.
    pub(crate) depth: u32,
    pub(crate) content_type: String,
    pub(crate) body: Bytes,
}

impl Call {
    /// Returns the time left until the deadline.
    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

/// The final answer to a call.
#[derive(Debug, Clone)]
pub(crate) struct Answer {
    /// Whether the call was executed, as far as is known.
    pub(crate) outcome: Outcome,
    /// Why it did not run or its outcome is unknown.
    pub(crate) reason: Reason,
    /// The status of the upstream's response if the outcome is done.
    pub(crate) status: u16,
    /// The part of the call's allowance that was spent.
    pub(crate) used: Allowance,
    /// The rank currently needed at the callee and the services downstream of it.
    pub(crate) level: Rank,
    /// The pressure at the callee for calls of this importance.
    pub(crate) pressure: Pressure,
    /// The highest pressure that the call met, at the callee or downstream of it.
    pub(crate) path_pressure: Pressure,
    /// The time after which to retry; zero if not specified.
    pub(crate) retry_after: Duration,
    pub(crate) content_type: String,
    pub(crate) body: Bytes,
}

impl Answer {
    /// Returns the refusal of a call that did not run.
    pub(crate) fn not_run(reason: Reason) -> Self {
        Self::without_body(Outcome::NotRun, reason)
    }

    /// Returns the answer to a call that may or may not have run.
    pub(crate) fn unknown(reason: Reason) -> Self {
        Self::without_body(Outcome::Unknown, reason)
    }

    /// Returns the upstream's answer.
    pub(crate) fn done(status: u16, content_type: String, body: Bytes) -> Self {
        Self {
            status,
            content_type,
            body,
            ..Self::without_body(Outcome::Done, Reason::None)
        }
    }

    fn without_body(outcome: Outcome, reason: Reason) -> Self {
        Self {
            outcome,
            reason,
            status: 0,
            used: Allowance(0),
            level: Rank::LOWEST,
            pressure: Pressure::default(),
            path_pressure: Pressure::default(),
            retry_after: Duration::ZERO,
            content_type: String::new(),
            body: Bytes::new(),
        }
    }

    /// Sets the time after which the caller may retry.
    pub(crate) fn with_retry_after(mut self, after: Duration) -> Self {
        self.retry_after = after;
        self
    }

    /// Raises the admission level of the answer to at least this one.
    pub(crate) fn at_level(mut self, level: Rank) -> Self {
        self.level = self.level.max(level);
        self
    }

    /// Returns the pressure that the call met, at least `OVERLOADED` if it was refused for
    /// overload.
    pub(crate) fn observed_pressure(&self) -> Pressure {
        if is_overload(self.reason) {
            self.path_pressure.max(Pressure::OVERLOADED)
        } else {
            self.path_pressure
        }
    }

    /// Returns true if the upstream executed the call and did not fail.
    pub(crate) fn is_success(&self) -> bool {
        self.outcome == Outcome::Done && self.status < 500
    }
}

/// Returns true for the reasons that indicate overload.
pub(crate) fn is_overload(reason: Reason) -> bool {
    matches!(
        reason,
        Reason::Overload | Reason::Deadline | Reason::UpstreamShed
    )
}

/// Returns the word for an outcome in headers and command output.
pub(crate) fn outcome_word(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Unknown => "unknown",
        Outcome::Done => "done",
        Outcome::NotRun => "not-run",
    }
}

/// Returns the word for a reason in headers, metrics and command output.
pub(crate) fn reason_word(reason: Reason) -> &'static str {
    match reason {
        Reason::None => "none",
        Reason::Overload => "overload",
        Reason::Deadline => "deadline",
        Reason::Draining => "draining",
        Reason::NoUpstream => "no-upstream",
        Reason::Allowance => "allowance-spent",
        Reason::TicketClosed => "ticket-closed",
        Reason::TicketExpired => "ticket-expired",
        Reason::HomeGone => "home-gone",
        Reason::Connection => "connection-lost",
        Reason::Undeclared => "undeclared",
        Reason::Platform => "platform",
        Reason::Cancelled => "cancelled",
        Reason::RecordsFull => "records-full",
        Reason::NotConfigured => "not-configured",
        Reason::UpstreamShed => "upstream-shed",
        Reason::AnswerTooLarge => "answer-too-large",
        Reason::UpstreamCrashed => "upstream-crashed",
        Reason::Quarantined => "quarantined",
        Reason::OnTrial => "on-trial",
        Reason::OverQuota => "over-quota",
        Reason::QuotaNotKnown => "quota-not-known",
        Reason::KeysOutdated => "keys-outdated",
    }
}
