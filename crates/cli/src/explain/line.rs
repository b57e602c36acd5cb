//! Structured log lines: one event each, with its fields.

use std::collections::BTreeMap;

use sailtrack_log::catalogue;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A process opened its ports.
pub(super) const PROCESS_STARTED: u32 = catalogue::PROCESS_STARTED.number;
/// A process was asked to stop.
pub(super) const STOP_REQUESTED: u32 = catalogue::STOP_REQUESTED.number;
/// An upstream gets no new requests any more.
pub(super) const UPSTREAM_RETIRED: u32 = catalogue::UPSTREAM_RETIRED.number;
/// An upstream is unreachable.
pub(super) const UPSTREAM_GONE: u32 = catalogue::UPSTREAM_GONE.number;
/// A connection between nodes was lost.
pub(super) const PEER_LOST: u32 = catalogue::PEER_LOST.number;
/// An upstream registered with its node.
pub(super) const UPSTREAM_ANNOUNCED: u32 = catalogue::UPSTREAM_ANNOUNCED.number;
/// A request is retried.
pub(super) const REQUEST_REPEATED: u32 = catalogue::REQUEST_REPEATED.number;
/// A request was refused and has not run.
pub(super) const REQUEST_REFUSED: u32 = catalogue::REQUEST_REFUSED.number;
/// A request ended without a response of an upstream.
pub(super) const REQUEST_FAILED: u32 = catalogue::REQUEST_FAILED.number;
/// A request was ended since the planned stop of its node was nearly over.
pub(super) const REQUEST_ENDED_BY_STOP: u32 = catalogue::REQUEST_ENDED_BY_STOP.number;
/// The response of an upstream was lost at its node.
pub(super) const ANSWER_LOST: u32 = catalogue::ANSWER_LOST.number;
/// An upstream crashed: it ended without having announced that.
pub(super) const UPSTREAM_CRASHED: u32 = catalogue::UPSTREAM_CRASHED.number;
/// An attempt was refused since its request is in quarantine: upstreams crashed while running it.
pub(super) const REQUEST_HELD_BACK: u32 = catalogue::REQUEST_HELD_BACK.number;
/// A request was rejected for want of a valid key.
pub(super) const KEY_REFUSED: u32 = catalogue::KEY_REFUSED.number;
/// What a node knows of the keys of workspaces is too old.
pub(super) const KEYS_OUTDATED: u32 = catalogue::KEYS_OUTDATED.number;
/// The platform's store does not answer.
pub(super) const PLATFORM_LOST: u32 = catalogue::PLATFORM_LOST.number;
/// An upstream responded with a failure of its own.
pub(super) const REQUEST_ANSWERED_BADLY: u32 = catalogue::REQUEST_ANSWERED_BADLY.number;
/// Events about requests were dropped by sampling.
pub(super) const EVENTS_LEFT_OUT: u32 = catalogue::EVENTS_LEFT_OUT.number;
/// Log lines were dropped, since their reader was too slow.
pub(super) const LINES_LEFT_OUT: u32 = catalogue::LINES_LEFT_OUT.number;

/// The events that report a change in the state of a node or of something that it depends on.
const STATE_EVENTS: [u32; 19] = [
    PROCESS_STARTED,
    STOP_REQUESTED,
    catalogue::PROCESS_STOPPED.number,
    catalogue::TASK_PANICKED.number,
    catalogue::INSTANCE_SUSPENDED.number,
    catalogue::CONFIG_REFUSED.number,
    PLATFORM_LOST,
    KEYS_OUTDATED,
    catalogue::KEYS_CURRENT.number,
    catalogue::QUOTA_ALLOCATOR_BEGAN.number,
    catalogue::QUOTA_ALLOCATOR_ENDED.number,
    catalogue::PLATFORM_FOUND.number,
    catalogue::STORE_FAILED.number,
    UPSTREAM_ANNOUNCED,
    UPSTREAM_GONE,
    UPSTREAM_RETIRED,
    catalogue::RATE_LIMIT_NAMED.number,
    catalogue::SHEDDING_STARTED.number,
    PEER_LOST,
];

/// The JSON object that a process writes for an event.
#[derive(Debug, Deserialize)]
struct Record {
    timestamp: String,
    message: String,
    kvs: BTreeMap<String, Value>,
}

/// A log line.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub(super) struct Line {
    /// The time, by the clock of the instance that wrote it.
    pub(super) time: String,
    /// The node that wrote it.
    pub(super) node: String,
    /// The number of the event.
    pub(super) event: u32,
    pub(super) message: String,
    pub(super) fields: BTreeMap<String, String>,
}

impl Line {
    /// Parses a line; returns `None` if it is not an event of sailtrack.
    ///
    /// The last word before the JSON object, where log collectors put it, is the name of the node;
    /// `source` is the name if there is no such prefix.
    pub(super) fn read(text: &str, source: &str) -> Option<Self> {
        let start = text.find('{')?;
        let record: Record = serde_json::from_str(text[start..].trim_end()).ok()?;
        let event = u32::try_from(record.kvs.get("event")?.as_u64()?).ok()?;
        let node = text[..start].split_whitespace().last();
        let fields = record.kvs.into_iter().filter(|(name, _)| name != "event");
        Some(Self {
            time: record.timestamp,
            node: node.unwrap_or(source).to_owned(),
            event,
            message: record.message,
            fields: fields
                .map(|(name, value)| (name, to_text(&value)))
                .collect(),
        })
    }

    /// Returns the value of a field, empty if the event has no such field.
    pub(super) fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }

    /// Returns true if it concerns this request or a call nested in it.
    pub(super) fn is_about(&self, request: &str) -> bool {
        let rest = self.field("request").strip_prefix(request);
        rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
    }

    /// Returns true if it reports a change in the state of a node or of something that it depends on.
    pub(super) fn is_state_change(&self) -> bool {
        STATE_EVENTS.contains(&self.event)
    }

    /// Returns true if it reports that an upstream may be unreachable, whichever node wrote it.
    pub(super) fn is_upstream_loss(&self) -> bool {
        matches!(
            self.event,
            PROCESS_STARTED | STOP_REQUESTED | UPSTREAM_GONE | UPSTREAM_RETIRED
        )
    }

    /// Returns true if it reports that an upstream crashed while it ran the request with this
    /// identity; the event names requests by the first digits of their identities.
    pub(super) fn is_crash_during(&self, identity: &str) -> bool {
        let mut in_flight = self.field("ran").split(' ');
        let is_prefix = |digits: &str| !digits.is_empty() && identity.starts_with(digits);
        self.event == UPSTREAM_CRASHED
            && in_flight.any(|request| is_prefix(request.split(':').next().unwrap_or_default()))
    }

    /// Returns true if it reports that other lines were dropped.
    pub(super) fn reports_dropped_lines(&self) -> bool {
        matches!(self.event, EVENTS_LEFT_OUT | LINES_LEFT_OUT)
    }

    /// Returns true if it reports the final outcome of a request, at the node where it came in.
    pub(super) fn is_outcome(&self) -> bool {
        match self.event {
            REQUEST_REFUSED => self.field("at") == "entry",
            REQUEST_FAILED | REQUEST_ANSWERED_BADLY | KEY_REFUSED => true,
            _ => false,
        }
    }
}

fn to_text(value: &Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_owned)
}
