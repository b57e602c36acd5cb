//! One line of a log.

use std::collections::BTreeMap;

use sailtrack_log::catalogue;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// The event of a process that opened its ports.
pub(super) const STARTED: u32 = catalogue::PROCESS_STARTED.number;
/// The event of a process that was asked to stop.
pub(super) const STOPPING: u32 = catalogue::STOP_REQUESTED.number;
/// The event of an upstream that gets nothing new.
pub(super) const RETIRED: u32 = catalogue::UPSTREAM_RETIRED.number;
/// The event of an upstream that cannot be reached.
pub(super) const GONE: u32 = catalogue::UPSTREAM_GONE.number;
/// The event of a connection between nodes that was lost.
pub(super) const PEER_LOST: u32 = catalogue::PEER_LOST.number;
/// The event of an upstream that announced itself.
pub(super) const ANNOUNCED: u32 = catalogue::UPSTREAM_ANNOUNCED.number;
/// The event of a request that is sent once more.
pub(super) const REPEATED: u32 = catalogue::REQUEST_REPEATED.number;
/// The event of a refused request.
pub(super) const REFUSED: u32 = catalogue::REQUEST_REFUSED.number;
/// The event of a request that ended without an answer of an upstream.
pub(super) const FAILED: u32 = catalogue::REQUEST_FAILED.number;
/// The event of an answer that was lost beside the upstream.
pub(super) const ANSWER_LOST: u32 = catalogue::ANSWER_LOST.number;
/// The event of an upstream that ended without having announced it.
pub(super) const CRASHED: u32 = catalogue::UPSTREAM_CRASHED.number;
/// The event of an attempt that was refused since upstreams ended under its request.
pub(super) const HELD_BACK: u32 = catalogue::REQUEST_HELD_BACK.number;
/// The event of a request that was not let in for want of a key.
pub(super) const KEY_REFUSED: u32 = catalogue::KEY_REFUSED.number;
/// The event of a node that knows too little of the keys of workspaces.
pub(super) const OUTDATED: u32 = catalogue::KEYS_OUTDATED.number;
/// The event of a store that does not answer.
pub(super) const STORE_LOST: u32 = catalogue::PLATFORM_LOST.number;
/// The event of an answer that is a failure of the upstream's own.
pub(super) const ANSWERED_BADLY: u32 = catalogue::REQUEST_ANSWERED_BADLY.number;
/// The event that says how many others were left out.
pub(super) const LEFT_OUT: u32 = catalogue::EVENTS_LEFT_OUT.number;
/// The event that says how many lines were left out.
pub(super) const LINES_LEFT_OUT: u32 = catalogue::LINES_LEFT_OUT.number;

/// What changes the state of a node or of something that it depends on.
const STATE_EVENTS: [u32; 18] = [
    STARTED,
    STOPPING,
    catalogue::PROCESS_STOPPED.number,
    catalogue::TASK_PANICKED.number,
    catalogue::INSTANCE_SUSPENDED.number,
    catalogue::CONFIG_REFUSED.number,
    STORE_LOST,
    OUTDATED,
    catalogue::KEYS_CURRENT.number,
    catalogue::QUOTA_ALLOCATOR_BEGAN.number,
    catalogue::QUOTA_ALLOCATOR_ENDED.number,
    catalogue::PLATFORM_FOUND.number,
    catalogue::STORE_FAILED.number,
    ANNOUNCED,
    GONE,
    RETIRED,
    catalogue::SHEDDING_STARTED.number,
    PEER_LOST,
];

/// A line as processes write it.
#[derive(Debug, Deserialize)]
struct Written {
    timestamp: String,
    message: String,
    kvs: BTreeMap<String, Value>,
}

/// One line of a log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub(super) struct Line {
    /// By the clock of its instance.
    pub(super) time: String,
    /// The node that wrote it.
    pub(super) node: String,
    /// The number of the event.
    pub(super) event: u32,
    pub(super) message: String,
    pub(super) fields: BTreeMap<String, String>,
}

impl Line {
    /// Reads a line, or nothing if it is not an event of sailtrack.
    ///
    /// What stands before the object, as log collectors put it there, ends with the name of the
    /// node; without it `source` names it.
    pub(super) fn read(text: &str, source: &str) -> Option<Self> {
        let start = text.find('{')?;
        let written: Written = serde_json::from_str(text[start..].trim_end()).ok()?;
        let event = u32::try_from(written.kvs.get("event")?.as_u64()?).ok()?;
        let named = text[..start].split_whitespace().last();
        let fields = written.kvs.into_iter().filter(|(name, _)| name != "event");
        Some(Self {
            time: written.timestamp,
            node: named.unwrap_or(source).to_owned(),
            event,
            message: written.message,
            fields: fields
                .map(|(name, value)| (name, text_of(&value)))
                .collect(),
        })
    }

    /// Returns a field, empty if the event has none of this name.
    pub(super) fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }

    /// Returns true if it is about this request or a call that was made for it.
    pub(super) fn is_about(&self, request: &str) -> bool {
        let rest = self.field("request").strip_prefix(request);
        rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
    }

    /// Returns true if it tells that the node or something that it depends on changed.
    pub(super) fn is_state(&self) -> bool {
        STATE_EVENTS.contains(&self.event)
    }

    /// Returns true if it tells that an upstream may have become unreachable, on whatever node.
    pub(super) fn is_loss(&self) -> bool {
        matches!(self.event, STARTED | STOPPING | GONE | RETIRED)
    }

    /// Returns true if it tells that an upstream crashed under this request, named by its identity.
    pub(super) fn is_crash_under(&self, identity: &str) -> bool {
        let mut named = self.field("ran").split(' ');
        let is_it = |digits: &str| !digits.is_empty() && identity.starts_with(digits);
        self.event == CRASHED && named.any(|one| is_it(one.split(':').next().unwrap_or_default()))
    }

    /// Returns true if it says that other lines were left out.
    pub(super) fn is_gap(&self) -> bool {
        matches!(self.event, LEFT_OUT | LINES_LEFT_OUT)
    }

    /// Returns true if it tells how a request ended where it came in.
    pub(super) fn is_end(&self) -> bool {
        match self.event {
            REFUSED => self.field("at") == "entry",
            FAILED | ANSWERED_BADLY | KEY_REFUSED => true,
            _ => false,
        }
    }
}

fn text_of(value: &Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_owned)
}
