//! A call and its answer as the node handles them.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Method;
use sailtrack_declaration::Repeat;
use sailtrack_units::{Allowance, KindName, Rank, RequestId, ServiceName, Ticket};
use sailtrack_wire::{Outcome, Reason};

use sailtrack_admission::Pressure;

/// One call to a service, from a client or made for one.
#[derive(Debug, Clone)]
pub(crate) struct Call {
    /// The root request.
    pub(crate) request: RequestId,
    /// The kind of the root request.
    pub(crate) root_kind: KindName,
    /// The kind of this call.
    pub(crate) kind: KindName,
    /// Whether this call may run again.
    pub(crate) repeat: Repeat,
    /// The service that runs it.
    pub(crate) service: ServiceName,
    pub(crate) method: Method,
    pub(crate) path: String,
    /// Its place in the order of shedding, given by the root request.
    pub(crate) rank: Rank,
    /// The retries that the callee may cause in turn.
    pub(crate) allowance: Allowance,
    pub(crate) deadline: Instant,
    /// Names the only node that may run it, if it must not run twice.
    pub(crate) ticket: Option<Ticket>,
    /// How many services the request crossed before this one.
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
    /// What is known about the execution.
    pub(crate) outcome: Outcome,
    /// Why it did not run or the outcome is not known.
    pub(crate) reason: Reason,
    /// The upstream's status if the outcome is done.
    pub(crate) status: u16,
    /// The part of the call's allowance that was used up.
    pub(crate) used: Allowance,
    /// The rank that the callee and the services behind it admit at present.
    pub(crate) level: Rank,
    /// How full the callee is for calls of this importance.
    pub(crate) pressure: Pressure,
    /// The greatest pressure that the call met, at the callee or further down.
    pub(crate) path_pressure: Pressure,
    /// When to come back; zero if nothing is said.
    pub(crate) retry_after: Duration,
    pub(crate) content_type: String,
    pub(crate) body: Bytes,
}

impl Answer {
    /// Returns the refusal of a call that did not run.
    pub(crate) fn not_run(reason: Reason) -> Self {
        Self::without_body(Outcome::NotRun, reason)
    }

    /// Returns the answer for a call that may or may not have run.
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

    /// Returns the answer with the time to come back.
    pub(crate) fn with_retry_after(mut self, after: Duration) -> Self {
        self.retry_after = after;
        self
    }

    /// Returns the answer with the admission level of the callee.
    pub(crate) fn at_level(mut self, level: Rank) -> Self {
        self.level = self.level.max(level);
        self
    }

    /// Returns the pressure that the call met; one that was refused for overload met too much.
    pub(crate) fn observed_pressure(&self) -> Pressure {
        if is_overload(self.reason) {
            self.path_pressure.max(Pressure::OVERLOADED)
        } else {
            self.path_pressure
        }
    }

    /// Returns true if the upstream ran the call and did not fail.
    pub(crate) fn is_success(&self) -> bool {
        self.outcome == Outcome::Done && self.status < 500
    }
}

/// Returns true for the reasons that stand for too much work.
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
