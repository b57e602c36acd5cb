//! Converts HTTP requests to calls.

use std::time::{Duration, Instant};

use sailtrack_declaration::{Kind, Repeat};
use sailtrack_net::http::Request;
use sailtrack_units::{
    Allowance, Importance, KindName, Period, Rank, RequestId, ServiceName, Ticket,
};

use crate::call::Call;
use crate::context::Context;
use crate::header;

/// Timeout of calls of undeclared kinds.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);
/// The kind name under which undeclared calls are counted.
const UNDECLARED: &str = "undeclared";

/// The declared properties of a call's kind, or defaults.
#[derive(Debug, Clone)]
pub(crate) struct Profile {
    pub(crate) name: KindName,
    pub(crate) repeat: Repeat,
    pub(crate) allowance: Allowance,
    pub(crate) importance: Importance,
    pub(crate) timeout: Duration,
}

impl From<&Kind> for Profile {
    fn from(kind: &Kind) -> Self {
        Self {
            name: kind.name.clone(),
            repeat: kind.repeat,
            allowance: kind.allowance,
            importance: kind.importance,
            timeout: kind.timeout.0,
        }
    }
}

impl Profile {
    /// Returns the defaults for an undeclared kind: one attempt, shed first.
    ///
    /// The name is a constant, so that clients cannot create an unbounded number of metrics.
    pub(crate) fn undeclared() -> Option<Self> {
        Some(Self {
            name: UNDECLARED.parse().ok()?,
            repeat: Repeat::Once,
            allowance: Allowance(0),
            importance: Importance::Low,
            timeout: DEFAULT_TIMEOUT,
        })
    }
}

/// Returns the deadline of a request: the requested timeout, limited by the one declared for its
/// kind.
fn deadline(request: &Request, declared: Duration) -> Instant {
    let requested = request
        .header(header::TIMEOUT)
        .and_then(|millis| millis.parse().ok())
        .map(|millis| Period::from_millis(millis).0);
    let time = requested.map_or(declared, |requested| requested.min(declared));
    Instant::now() + time
}

/// Returns the content type of a request, empty if it has none.
fn content_type(request: &Request) -> String {
    request
        .header("content-type")
        .unwrap_or_default()
        .to_owned()
}

/// Builds the call for an HTTP request.
pub(crate) struct Builder {
    call: Call,
    importance: Importance,
}

impl Builder {
    /// Starts with a call that is a root request of its own.
    pub(crate) fn new(profile: Profile, service: ServiceName, request: Request) -> Self {
        let id = RequestId::draw(&mut rand::rng());
        let call = Call {
            request: id,
            root_kind: profile.name.clone(),
            kind: profile.name,
            repeat: profile.repeat,
            service,
            method: request.method.clone(),
            path: request.path.clone(),
            rank: Rank::new(profile.importance, id),
            allowance: profile.allowance,
            deadline: deadline(&request, profile.timeout),
            ticket: None,
            depth: 0,
            content_type: content_type(&request),
            body: request.body,
        };
        Self {
            call,
            importance: profile.importance,
        }
    }

    /// Sets the id of the root request, which also determines its shedding rank.
    pub(crate) fn request(mut self, id: RequestId) -> Self {
        self.call.request = id;
        self.call.rank = Rank::new(self.importance, id);
        self
    }

    /// Sets the ticket of a non-idempotent request.
    pub(crate) fn ticket(mut self, ticket: Option<Ticket>) -> Self {
        self.call.ticket = ticket;
        self
    }

    /// Makes the call part of an execution: it takes over the root request and is limited by its
    /// deadline.
    pub(crate) fn for_execution(mut self, context: &Context) -> Self {
        self.call.request = context.request;
        self.call.root_kind = context.root_kind.clone();
        self.call.rank = context.rank;
        self.call.depth = context.depth + 1;
        self.call.deadline = self.call.deadline.min(context.deadline);
        self
    }

    /// Returns the call.
    pub(crate) fn build(self) -> Call {
        self.call
    }
}
