//! A request on its way to an upstream, and what became of it.

use std::time::Duration;

use bytes::Bytes;
use sailtrack_admission::Pressure;
use sailtrack_quarantine::Identity;
use sailtrack_units::{Class, KindName, Moment, Pace, Rank, ServiceName, WorkspaceName};
use sailtrack_wire::{Outcome, Reason};

use crate::body::Body;
use crate::clock;
use crate::key::AttemptKey;

/// A request for one upstream.
#[derive(Debug, Clone)]
pub(crate) struct Request {
    pub(crate) attempt: AttemptKey,
    /// What it asks, the same for every attempt of its caller.
    pub(crate) identity: Identity,
    /// How many crashes that followed each other under it its sender knows of.
    pub(crate) known_crashes: u8,
    pub(crate) service: ServiceName,
    /// The route that it came by.
    pub(crate) kind: KindName,
    /// Whether it may run more than once.
    pub(crate) idempotent: bool,
    pub(crate) rank: Rank,
    /// What decides before its rank.
    pub(crate) class: Class,
    /// On whose behalf it is made, for the calls that are made for it.
    pub(crate) workspace: Option<WorkspaceName>,
    /// How many calls were answered well before it that were made for the same request.
    pub(crate) completed_calls: u32,
    /// An upstream made it while it worked on another request.
    pub(crate) is_nested: bool,
    /// It, or the request that it is made for, was sent to another upstream before.
    pub(crate) is_retry: bool,
    pub(crate) deadline: Moment,
    /// The request line and the fields to be passed on.
    pub(crate) head: Bytes,
    pub(crate) body: Bytes,
}

impl Request {
    /// Returns the time left until the deadline.
    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.since(clock::now())
    }
}

/// What became of a request.
#[derive(Debug)]
pub(crate) struct Response {
    pub(crate) outcome: Outcome,
    pub(crate) reason: Reason,
    /// The upstream's status if the outcome is done.
    pub(crate) status: u16,
    /// The status line and the fields to be passed on.
    pub(crate) head: Bytes,
    pub(crate) body: Body,
    /// Whether it was sent to the upstream, whatever came of it.
    pub(crate) was_sent: bool,
    /// How full the upstream is.
    pub(crate) pressure: Pressure,
    /// How long work takes on the instance of the upstream, if it tells that.
    pub(crate) pace: Option<Pace>,
    /// The greatest pressure that the request met, at the upstream or further down.
    pub(crate) path_pressure: Pressure,
    /// Whether a call that was made for it failed, as far as is known.
    pub(crate) failed_below: bool,
    /// Whether a call that was made for it found no upstream of its service, as far as is known.
    pub(crate) absent_below: bool,
    /// When to come back; zero if nothing is said.
    pub(crate) retry_after: Duration,
}

impl Response {
    fn without_answer(outcome: Outcome, reason: Reason, was_sent: bool) -> Self {
        Self {
            outcome,
            reason,
            status: 0,
            head: Bytes::new(),
            body: Body::Whole(Bytes::new()),
            was_sent,
            pressure: Pressure::default(),
            pace: None,
            path_pressure: Pressure::default(),
            failed_below: false,
            absent_below: false,
            retry_after: Duration::ZERO,
        }
    }

    /// Returns the refusal of a request that no upstream has seen.
    pub(crate) fn refused(reason: Reason) -> Self {
        Self::without_answer(Outcome::NotRun, reason, false)
    }

    /// Returns it with the time after which the caller may come back.
    pub(crate) fn with_retry_after(mut self, after: Duration) -> Self {
        self.retry_after = after;
        self
    }

    /// Returns the refusal of a request that the upstream itself turned away.
    pub(crate) fn rejected_by_upstream(reason: Reason) -> Self {
        Self::without_answer(Outcome::NotRun, reason, true)
    }

    /// Returns the end of a request that may or may not have run.
    pub(crate) fn unknown(reason: Reason) -> Self {
        Self::without_answer(Outcome::Unknown, reason, true)
    }

    /// Returns the upstream's answer.
    pub(crate) fn answered(status: u16, head: Bytes, body: Body) -> Self {
        Self {
            status,
            head,
            body,
            ..Self::without_answer(Outcome::Done, Reason::None, true)
        }
    }

    /// Returns a copy that can be given again, unless the body is streamed.
    pub(crate) fn try_clone(&self) -> Option<Self> {
        let body = Body::Whole(self.body.whole()?.clone());
        Some(Self {
            head: self.head.clone(),
            body,
            ..*self
        })
    }

    /// Returns true if the upstream ran the request and did not fail.
    pub(crate) fn is_success(&self) -> bool {
        self.outcome == Outcome::Done && self.status < 500
    }

    /// Returns true if it, or a call that was made for it, found no upstream of its service.
    pub(crate) fn found_no_upstream(&self) -> bool {
        let is_absent = self.outcome == Outcome::NotRun && self.reason == Reason::NoUpstream;
        is_absent || (self.absent_below && !self.is_success())
    }

    /// Returns the pressure that the request met; one refused for overload met too much.
    ///
    /// An upstream that turns requests away tells nothing: its gate lets in no more than it has
    /// slots for, so it does not do so for want of room.
    pub(crate) fn observed_pressure(&self) -> Pressure {
        match self.reason {
            Reason::Overload => self.path_pressure.max(Pressure::OVERLOADED),
            _ => self.path_pressure,
        }
    }
}
