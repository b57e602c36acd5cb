//! Root causes of failed requests, each printed as one sentence.

use displaydoc::Display;
use serde::Serialize;

use crate::explain::line::{
    ANSWER_LOST, KEY_REFUSED, KEYS_OUTDATED, Line, PEER_LOST, PLATFORM_LOST, PROCESS_STARTED,
    REQUEST_ANSWERED_BADLY, REQUEST_ENDED_BY_STOP, REQUEST_FAILED, REQUEST_REFUSED, STOP_REQUESTED,
    UPSTREAM_GONE, UPSTREAM_RETIRED,
};
use crate::explain::trace::Trace;

/// Stands for a node that is not named in any log.
const UNKNOWN_NODE: &str = "a node whose log is not here";

/// The root cause of a request's outcome.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize)]
#[serde(rename_all = "snake_case", tag = "name")]
pub(super) enum Cause {
    /// nothing tells how {request} ended: its upstream answered it well, or its lines were left out
    Untold { request: String },
    /// it has not run: {node} was full, with {calls} requests in its upstream and its queue
    Full { node: String, calls: String },
    /// it has not run: the upstream beside {node} said in an answer that it takes no more than {limit} from all nodes together, and no other one had room; its events 417 name the answers
    OverRate { node: String, limit: String },
    /// it has not run: the services that its kind calls were full, at {pressure} % of what they take, so {node} let no more of the kind in
    FullBelow { node: String, pressure: String },
    /// it has not run: no upstream of its service took requests{detail}
    NoUpstream { detail: String },
    /// it has not run: upstreams turned it away themselves, {tries} in all, the last one beside {node}
    TurnedAway { node: String, tries: String },
    /// it has not run: {node} was stopping
    Stopping { node: String },
    /// it has not run: {crashes} upstreams ended under this request, the last one beside {last}, so it is sent to none any more; GET /quarantine on a metrics port lists it
    HeldBack { crashes: usize, last: String },
    /// it has not run: upstreams had ended under this request, and another attempt of it was on trial beside {node}
    OnTrial { node: String },
    /// it has not run: it was not let in, since {reason} in version {version}; its key is written nowhere
    NoKey { reason: String, version: String },
    /// it has not run: {workspace} asked for more than its limit over all nodes lets in, in version {version}
    OverQuota { workspace: String, version: String },
    /// it has not run: {node} found no node that keeps tokens for {workspace}, its own or of another failure domain{detail}
    NoAllocator {
        node: String,
        workspace: String,
        detail: String,
    },
    /// it has not run: what {node} knew of the keys of workspaces was too old{detail}
    KeysOutdated { node: String, detail: String },
    /// it has not run: {reason}
    NotRun { reason: String },
    /// the time was over, {after} after it came in; {node} had it then{detail}
    Late {
        node: String,
        after: String,
        detail: String,
    },
    /// the planned stop of {node} was nearly over, {left} before the end of the caller's time; whether it ran is not known
    EndedByStop { node: String, left: String },
    /// the answer of the upstream beside {node} was lost or could not be passed on: {reason}; whether it ran is known only there
    AnswerLost { node: String, reason: String },
    /// the connection to {node} was lost while it had the request{detail}; whether it ran is not known
    ConnectionLost { node: String, detail: String },
    /// {node} had the request and its answer was lost, there or on the way back; whether it ran is not known, and nothing tells where
    LostSomewhere { node: String },
    /// the upstream beside {node} answered with {status} of its own
    UpstreamFailed { node: String, status: String },
    /// the upstream beside {node} answered with {status} since a call of its own failed, about which nothing was written
    CallUntold { node: String, status: String },
    /// the upstream beside {node} answered with {status} since a call of its own failed: {call}: {cause}
    CallFailed {
        node: String,
        status: String,
        call: String,
        cause: Box<Cause>,
    },
}

impl Cause {
    /// The name of the cause for a nested call that failed and was not logged.
    pub(super) const CALL_UNTOLD: &str = "call_untold";

    /// Determines the cause of a request's outcome from its trace.
    pub(super) fn of(trace: &Trace, request: &str) -> Self {
        match trace.end(request) {
            None => Self::Untold {
                request: request.to_owned(),
            },
            Some(end) => Self::of_end(trace, end, request),
        }
    }

    /// Returns the cause at the most deeply nested call.
    pub(super) fn deepest(&self) -> &Self {
        match self {
            Self::CallFailed { cause, .. } => cause.deepest(),
            _ => self,
        }
    }

    /// Returns the node to which the cause is attributed, if one is known.
    pub(super) fn node(&self) -> Option<&String> {
        match self {
            Self::Full { node, .. }
            | Self::OverRate { node, .. }
            | Self::FullBelow { node, .. }
            | Self::TurnedAway { node, .. }
            | Self::Stopping { node }
            | Self::Late { node, .. }
            | Self::EndedByStop { node, .. }
            | Self::AnswerLost { node, .. }
            | Self::ConnectionLost { node, .. }
            | Self::LostSomewhere { node }
            | Self::OnTrial { node }
            | Self::NoAllocator { node, .. }
            | Self::KeysOutdated { node, .. }
            | Self::UpstreamFailed { node, .. }
            | Self::CallUntold { node, .. }
            | Self::CallFailed { node, .. } => Some(node).filter(|node| *node != "none"),
            Self::HeldBack { last, .. } => Some(last).filter(|node| *node != UNKNOWN_NODE),
            Self::Untold { .. }
            | Self::NoUpstream { .. }
            | Self::NoKey { .. }
            | Self::OverQuota { .. }
            | Self::NotRun { .. } => None,
        }
    }

    /// Returns the name of the cause, the same as in JSON output.
    pub(super) fn name(&self) -> &'static str {
        match self {
            Self::Untold { .. } => "untold",
            Self::Full { .. } => "full",
            Self::OverRate { .. } => "over_rate",
            Self::FullBelow { .. } => "full_below",
            Self::NoUpstream { .. } => "no_upstream",
            Self::TurnedAway { .. } => "turned_away",
            Self::Stopping { .. } => "stopping",
            Self::HeldBack { .. } => "held_back",
            Self::OnTrial { .. } => "on_trial",
            Self::NoKey { .. } => "no_key",
            Self::OverQuota { .. } => "over_quota",
            Self::NoAllocator { .. } => "no_allocator",
            Self::KeysOutdated { .. } => "keys_outdated",
            Self::NotRun { .. } => "not_run",
            Self::Late { .. } => "late",
            Self::EndedByStop { .. } => "ended_by_stop",
            Self::AnswerLost { .. } => "answer_lost",
            Self::ConnectionLost { .. } => "connection_lost",
            Self::LostSomewhere { .. } => "lost_somewhere",
            Self::UpstreamFailed { .. } => "upstream_failed",
            Self::CallUntold { .. } => Self::CALL_UNTOLD,
            Self::CallFailed { .. } => "call_failed",
        }
    }

    fn of_end(trace: &Trace, end: &Line, request: &str) -> Self {
        match end.event {
            REQUEST_REFUSED => Self::of_refusal(trace, end),
            REQUEST_FAILED if end.field("status") == "504" => Self::of_deadline(trace, end),
            REQUEST_FAILED => Self::of_lost_response(trace, end),
            KEY_REFUSED => Self::NoKey {
                reason: end.field("reason").to_owned(),
                version: end.field("version").to_owned(),
            },
            REQUEST_ANSWERED_BADLY => Self::of_failed_response(trace, end, request),
            _ => Self::Untold {
                request: request.to_owned(),
            },
        }
    }

    fn of_refusal(trace: &Trace, end: &Line) -> Self {
        let node = end.field("node").to_owned();
        match end.field("reason") {
            "REASON_OVERLOAD" => Self::of_overload(trace, end),
            "REASON_NO_UPSTREAM" => Self::NoUpstream {
                detail: detail(trace, &node),
            },
            "REASON_UPSTREAM_SHED" => Self::TurnedAway {
                node,
                tries: end.field("tries").to_owned(),
            },
            "REASON_DRAINING" if node == "none" => Self::Stopping {
                node: end.node.clone(),
            },
            "REASON_DRAINING" => Self::Stopping { node },
            "REASON_QUARANTINED" => Self::HeldBack {
                crashes: trace.crashes.len(),
                last: trace
                    .crashes
                    .last()
                    .map_or_else(|| UNKNOWN_NODE.to_owned(), |line| line.node.clone()),
            },
            "REASON_ON_TRIAL" => Self::OnTrial { node },
            "REASON_OVER_QUOTA" => Self::OverQuota {
                workspace: end.field("workspace").to_owned(),
                version: end.field("version").to_owned(),
            },
            "REASON_QUOTA_NOT_KNOWN" => Self::NoAllocator {
                node: end.node.clone(),
                workspace: end.field("workspace").to_owned(),
                detail: detail(trace, &end.node),
            },
            "REASON_KEYS_OUTDATED" => Self::KeysOutdated {
                node: end.node.clone(),
                detail: detail(trace, &end.node),
            },
            reason => Self::NotRun {
                reason: reason.to_owned(),
            },
        }
    }

    /// Distinguishes three causes of refusals for overload: the node's own queue is full, the upstream
    /// limits its rate, or the window of the kind is full, because its callees are overloaded.
    fn of_overload(trace: &Trace, end: &Line) -> Self {
        let node = end.field("node").to_owned();
        let gate_refusal = trace.lines.iter().rev().find(|line| {
            line.event == REQUEST_REFUSED
                && line.field("at") == "gate"
                && line.field("request") == end.field("request")
        });
        match gate_refusal {
            Some(gate) if gate.field("bound") == "window" => Self::FullBelow {
                node,
                pressure: end.field("pressure").to_owned(),
            },
            Some(gate) if gate.field("bound") == "rate" => Self::OverRate {
                node,
                limit: gate.field("limit").to_owned(),
            },
            Some(gate) => Self::Full {
                node,
                calls: gate.field("calls").to_owned(),
            },
            None => Self::Full {
                node,
                calls: "an unknown number of".to_owned(),
            },
        }
    }

    fn of_deadline(trace: &Trace, end: &Line) -> Self {
        if let Some(stop) = trace.event(REQUEST_ENDED_BY_STOP, end.field("request")) {
            return Self::EndedByStop {
                node: stop.node.clone(),
                left: format!("{} ms", stop.field("left_ms")),
            };
        }
        Self::Late {
            node: end.field("node").to_owned(),
            after: format!("{} ms", end.field("after_ms")),
            detail: detail(trace, end.field("node")),
        }
    }

    fn of_lost_response(trace: &Trace, end: &Line) -> Self {
        let node = end.field("node").to_owned();
        match trace.event(ANSWER_LOST, end.field("request")) {
            Some(loss) => Self::AnswerLost {
                node: loss.node.clone(),
                reason: loss.field("reason").to_owned(),
            },
            None => match detail(trace, &node) {
                detail if detail.is_empty() => Self::LostSomewhere { node },
                detail => Self::ConnectionLost { node, detail },
            },
        }
    }

    fn of_failed_response(trace: &Trace, end: &Line, request: &str) -> Self {
        let node = end.field("node").to_owned();
        let status = end.field("status").to_owned();
        match trace.deepest_failure(request) {
            Some(call) => Self::CallFailed {
                node,
                status,
                call: call.field("request").to_owned(),
                cause: Box::new(Self::of_end(trace, call, call.field("request"))),
            },
            None if end.field("below") == "true" => Self::CallUntold { node, status },
            None => Self::UpstreamFailed { node, status },
        }
    }
}

/// Returns the last state change of a node around the request, as text to append; empty if there is
/// none.
fn detail(trace: &Trace, node: &str) -> String {
    let events = [
        PROCESS_STARTED,
        STOP_REQUESTED,
        UPSTREAM_GONE,
        UPSTREAM_RETIRED,
        PEER_LOST,
        KEYS_OUTDATED,
        PLATFORM_LOST,
    ];
    match trace.state_of(node, &events) {
        Some(line) => format!(
            ", and {} said at {}: {}",
            line.node, line.time, line.message
        ),
        None => String::new(),
    }
}
