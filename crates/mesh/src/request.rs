//! A request to an upstream and its result.

use std::any::Any;
use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use sailtrack_admission::Pressure;
use sailtrack_net::connections::Registration;
use sailtrack_quarantine::Identity;
use sailtrack_units::{Class, KindName, Moment, Pace, Rank, ServiceName, WorkspaceName};
use sailtrack_wire::{Outcome, Reason};

use crate::body::Body;
use crate::clock;
use crate::key::{AttemptKey, UpstreamKey};
use crate::memory::{self, Buffer, Caller};
use crate::overdue;
use crate::rate_limit::RateLimit;

/// What happens to a request while the rate limit of the upstream is used up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) enum OverLimit {
    /// It is refused at once, so that its sender tries another upstream.
    #[default]
    Refuse,
    /// It may wait, since its sender knows of no other upstream that has room.
    Queue,
}

/// A request to be sent to one upstream.
#[derive(Debug, Clone)]
pub(crate) struct Request {
    pub(crate) attempt: AttemptKey,
    /// Identifies the content of the request; the same for every attempt of its caller.
    pub(crate) identity: Identity,
    /// How many consecutive crashes of upstreams running this request its sender knows of.
    pub(crate) known_crashes: u8,
    pub(crate) service: ServiceName,
    /// The name of the route that matched.
    pub(crate) kind: KindName,
    /// Whether it may run more than once.
    pub(crate) idempotent: bool,
    pub(crate) rank: Rank,
    /// Decides before the rank in which order requests are shed.
    pub(crate) class: Class,
    /// The workspace on whose behalf the request is made, inherited by its nested calls.
    pub(crate) workspace: Option<WorkspaceName>,
    /// How many earlier calls for the same parent request have succeeded.
    pub(crate) completed_calls: u32,
    /// An upstream made this call while it ran another request.
    pub(crate) is_nested: bool,
    /// The request, or the request that it was made for, has been sent to another upstream before.
    pub(crate) is_retry: bool,
    pub(crate) over_limit: OverLimit,
    /// Raised when its answer takes longer than usual.
    pub(crate) overdue: overdue::Signal,
    pub(crate) deadline: Moment,
    /// On whose behalf memory is used for its response beside the upstream.
    pub(crate) caller: Caller,
    /// The connection of its client, if that is one of this node.
    pub(crate) client: Option<Registration>,
    /// The request line and the header fields to be forwarded.
    pub(crate) head: Bytes,
    pub(crate) body: Buffer,
}

impl Request {
    /// Returns the time left until the deadline.
    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.since(clock::now())
    }

    /// Returns how long the body may wait for memory.
    pub(crate) fn memory_patience(&self) -> Duration {
        memory::patience(self.time_left())
    }
}

/// What counts the memory of a response.
pub(crate) struct Memory(
    #[allow(dead_code, reason = "it counts until it is dropped")] Box<dyn Any>,
);

impl Memory {
    pub(crate) fn new(guard: impl Any) -> Self {
        Self(Box::new(guard))
    }
}

impl fmt::Debug for Memory {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("counted")
    }
}

/// The result of a request.
#[derive(Debug)]
pub(crate) struct Response {
    pub(crate) outcome: Outcome,
    pub(crate) reason: Reason,
    /// The status of the upstream's response if the outcome is done.
    pub(crate) status: u16,
    /// The status line and the header fields to be forwarded.
    pub(crate) head: Bytes,
    pub(crate) body: Body,
    /// Whether the request was sent to an upstream, whatever the outcome.
    pub(crate) was_sent: bool,
    /// The pressure of the upstream: how full it is.
    pub(crate) pressure: Pressure,
    /// The pace of the upstream's instance, if reported.
    pub(crate) pace: Option<Pace>,
    /// The highest pressure on the path of the request, at the upstream or at services that it
    /// called.
    pub(crate) path_pressure: Pressure,
    /// Whether a nested call failed, as far as is known.
    pub(crate) failed_below: bool,
    /// Whether a nested call found no upstream of its service, as far as is known.
    pub(crate) absent_below: bool,
    /// When the caller should retry; zero if not specified.
    pub(crate) retry_after: Duration,
    /// The rate limit of the upstream.
    pub(crate) rate_limit: RateLimit,
    /// If the request was refused for the rate limit: how long its sender should wait before it
    /// sends another one there.
    pub(crate) turn: Option<Duration>,
    /// The incarnation of the upstream, if its response says that it is leaving.
    pub(crate) leaving: Option<UpstreamKey>,
    /// Counts the memory of the response until this is dropped.
    pub(crate) memory: Option<Memory>,
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
            rate_limit: RateLimit::Unknown,
            turn: None,
            leaving: None,
            memory: None,
        }
    }

    /// Returns the refusal of a request that was not sent to an upstream.
    pub(crate) fn refused(reason: Reason) -> Self {
        Self::without_answer(Outcome::NotRun, reason, false)
    }

    /// Sets what counts its memory.
    pub(crate) fn with_memory(mut self, memory: Option<Memory>) -> Self {
        self.memory = memory;
        self
    }

    /// Sets the time after which the caller should retry.
    pub(crate) fn with_retry_after(mut self, after: Duration) -> Self {
        self.retry_after = after;
        self
    }

    /// Returns the refusal of a request that the upstream itself did not run.
    pub(crate) fn rejected_by_upstream(reason: Reason) -> Self {
        Self::without_answer(Outcome::NotRun, reason, true)
    }

    /// Returns the result of a request that may or may not have run.
    pub(crate) fn unknown(reason: Reason) -> Self {
        Self::without_answer(Outcome::Unknown, reason, true)
    }

    /// Returns the upstream's response.
    pub(crate) fn answered(status: u16, head: Bytes, body: Body) -> Self {
        Self {
            status,
            head,
            body,
            ..Self::without_answer(Outcome::Done, Reason::None, true)
        }
    }

    /// Returns a copy, or `None` if the body is streamed.
    pub(crate) fn try_clone(&self) -> Option<Self> {
        let body = Body::Whole(self.body.whole()?.clone());
        Some(Self {
            head: self.head.clone(),
            body,
            leaving: self.leaving.clone(),
            memory: None,
            ..*self
        })
    }

    /// Returns true if the upstream ran the request without a server error.
    pub(crate) fn is_success(&self) -> bool {
        self.outcome == Outcome::Done && self.status < 500
    }

    /// Returns true if the request or a nested call found no upstream of its service.
    pub(crate) fn found_no_upstream(&self) -> bool {
        let is_absent = self.outcome == Outcome::NotRun && self.reason == Reason::NoUpstream;
        is_absent || (self.absent_below && !self.is_success())
    }

    /// Returns the pressure on the path of the request, at least [`Pressure::OVERLOADED`] if it was
    /// refused for overload.
    ///
    /// A refusal by the upstream itself does not count as overload: the gate admits no more
    /// requests than the upstream has slots, so it refuses for another reason.
    pub(crate) fn observed_pressure(&self) -> Pressure {
        match self.reason {
            Reason::Overload => self.path_pressure.max(Pressure::OVERLOADED),
            _ => self.path_pressure,
        }
    }
}
