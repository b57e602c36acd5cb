//! Every log event that sailtrack can write.

use log::Level;

/// One kind of log event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Entry {
    /// The number that never changes its meaning.
    pub number: u32,
    /// How grave it is.
    pub level: Level,
    /// The text of the log line.
    pub text: &'static str,
    /// The names of the fields that go with it.
    pub fields: &'static [&'static str],
}

macro_rules! catalogue {
    ($($(#[$doc:meta])* $name:ident = $number:literal $level:ident $text:literal [$($field:literal),*];)*) => {
        $(
            $(#[$doc])*
            pub const $name: Entry = Entry {
                number: $number,
                level: Level::$level,
                text: $text,
                fields: &[$($field),*],
            };
        )*

        /// Every event, in the order of the numbers.
        pub const ALL: &[Entry] = &[$($name),*];
    };
}

catalogue! {
    /// A process opened its ports.
    PROCESS_STARTED = 100 Info "process started" ["process", "address"];
    /// SIGTERM arrived and the process takes no new work.
    STOP_REQUESTED = 101 Info "stop requested" ["in_flight"];
    /// All work is finished and the process ends.
    PROCESS_STOPPED = 102 Info "process stopped" ["process"];
    /// A second SIGTERM arrived while work was in flight; the process goes on finishing it.
    STOP_REPEATED = 103 Warn "stop requested again; still finishing work in flight" ["in_flight"];
    /// SIGHUP arrived; the settings file is read again.
    RELOAD_REQUESTED = 104 Info "reload requested" [];
    /// The instance was suspended for so long; what was known before is looked at anew.
    INSTANCE_SUSPENDED = 105 Warn "instance was suspended" ["time_ms"];
    /// A changed settings file was read; some keys take effect at the next start only.
    SETTINGS_CHANGED = 106 Info "settings changed" ["in_force", "next_start"];
    /// The settings file cannot be read or holds mistakes; the settings in force stay.
    SETTINGS_REFUSED = 107 Error "settings refused" ["reason"];
    /// A task panicked; only its connection ended.
    TASK_PANICKED = 110 Error "a task panicked and was ended" ["task"];
    /// A connection was closed because of what it sent.
    INPUT_REFUSED = 120 Warn "input refused" ["port", "reason"];
    /// An answer ended a connection, and what ran behind it was stopped.
    REQUESTS_NOT_READ = 121 Info "requests not read" ["count"];
    /// The node took a configuration into force.
    CONFIG_IN_FORCE = 200 Info "configuration in force" ["version", "source"];
    /// A configuration that could not be read was ignored.
    CONFIG_REFUSED = 201 Error "configuration refused" ["version", "reason"];
    /// An operator's change was accepted.
    CONFIG_ACCEPTED = 202 Info "configuration accepted" ["version", "operator", "command"];
    /// An operator's change lost against another one.
    CONFIG_CONFLICT = 203 Warn "configuration conflict" ["version", "operator", "winner"];
    /// The platform does not answer.
    PLATFORM_LOST = 300 Warn "the platform does not answer" ["reason"];
    /// The platform answers again.
    PLATFORM_FOUND = 301 Info "the platform answers again" [];
    /// An operation on the store failed and is tried again, or other nodes stand in for it.
    STORE_FAILED = 302 Warn "operation on the store failed" ["operation", "reason"];
    /// A row of the store that could not be read was ignored.
    ROW_REFUSED = 303 Error "rows refused" ["table", "key", "reason", "rows"];
    /// The row of a node that is gone for good was removed.
    ROW_REMOVED = 304 Info "row removed" ["node"];
    /// The store came back from a copy.
    STORE_COPIED = 305 Warn "the store came back from a copy" ["era"];
    /// A row that the copy lacked was written again.
    ROW_RESTORED = 306 Info "row written again" ["table", "key"];
    /// A node was seen for the first time, or again.
    MEMBER_JOINED = 400 Info "member joined" ["node", "service", "domain"];
    /// A node does not answer and is suspected.
    MEMBER_SUSPECTED = 401 Warn "member suspected" ["node"];
    /// A suspected node did not answer in time and is held for dead.
    MEMBER_DEAD = 402 Warn "member dead" ["node"];
    /// A node announced that it is leaving.
    MEMBER_LEAVING = 403 Info "member leaving" ["node"];
    /// The own upstream announced itself.
    UPSTREAM_ANNOUNCED = 410 Info "upstream announced" ["upstream", "service", "slots"];
    /// The own upstream is leaving or stopped announcing itself.
    UPSTREAM_GONE = 411 Warn "upstream gone" ["reason"];
    /// A life of the own upstream gets no new requests any more.
    UPSTREAM_RETIRED = 412 Info "upstream retired" ["upstream", "reason"];
    /// The own upstream did not say who it is; its next beat will.
    UPSTREAM_SILENT = 413 Info "upstream does not say who it is" ["address", "reason"];
    /// What the own upstream says about its load can't be read, or not all of it; once for each life.
    LOAD_UNREADABLE = 414 Warn "load of the upstream not readable" ["upstream", "value"];
    /// The own upstream works on so many requests that an earlier process of this node sent; their room is kept until they are over.
    REQUESTS_LEFT_BEHIND = 415 Info "requests left behind" ["requests"];
    /// The room of requests that were dropped here came back, though their ends were not heard of. `because` is `load` if the upstream told how many requests it has, `told`, while so many others waited for their answers, `open`; or `time` if they are taken to be over.
    ROOM_FREED = 416 Debug "room of dropped requests came back" ["requests", "because", "told", "open"];
    /// The own upstream ended without having announced it. `ran` names the requests that it ran by the first digits of their identities, with their kinds; `requests` is how many there were.
    UPSTREAM_CRASHED = 420 Warn "upstream crashed" ["upstream", "requests", "ran"];
    /// A request ran when several upstreams crashed and is sent to none any more. `upstream` is the life that ended last, `time_s` how long that holds in seconds. Each node that hears of the crash writes it.
    REQUEST_QUARANTINED = 421 Warn "request quarantined" ["identity", "upstream", "time_s"];
    /// An attempt of a request in quarantine was refused.
    REQUEST_HELD_BACK = 422 Info "request held back" ["request", "identity"];
    /// Nothing is held against a request any more that was on trial or in quarantine.
    QUARANTINE_ENDED = 423 Info "quarantine ended" ["identity", "reason"];
    /// So many nodes could not be told of a crash or a verdict, since their connections were full. They hear of a verdict when they connect again.
    NODES_NOT_TOLD = 424 Warn "nodes not told" ["nodes"];
    /// The port of the own upstream was tried after the answer to a request was lost. `finding` is `refused` if nothing listens there, `accepted`, `neither in time` or `not tried`; `took_ms` is how long that took in milliseconds. A port that does not refuse is watched, and a second event tells what it showed at the end of that.
    UPSTREAM_LOOKED_AT = 425 Info "upstream looked at" ["request", "finding", "took_ms"];
    /// Another node told that the upstream beside it crashed. `requests` is how many of the requests that it ran are named.
    CRASH_TOLD = 426 Info "crash told" ["upstream", "requests"];
    /// A request was not let in, since it has no key of a workspace, more than one, or one that no workspace has in this version.
    KEY_REFUSED = 430 Info "key refused" ["request", "kind", "reason", "version"];
    /// What is known of the configuration is too old for requests with keys, which are refused from now on. The age is -1 if it is not known.
    KEYS_OUTDATED = 431 Warn "keys outdated" ["age_ms"];
    /// Requests with keys are let in again.
    KEYS_CURRENT = 432 Info "keys current" ["age_ms"];
    /// A workspace asks more than it may; the event is written every 5 s at most.
    WORKSPACE_OVER_LIMIT = 440 Info "workspace over its limit" ["workspace", "rate", "version"];
    /// This node keeps the tokens of its failure domain from now on.
    QUOTA_ALLOCATOR_BEGAN = 441 Info "keeps the tokens of its failure domain" ["term"];
    /// This node no longer keeps them.
    QUOTA_ALLOCATOR_ENDED = 442 Info "keeps no tokens any more" ["term"];
    /// The limit of the own upstream changed by a quarter or more.
    LIMIT_CHANGED = 500 Info "concurrency limit changed" ["limit", "reason"];
    /// Requests are being shed.
    SHEDDING_STARTED = 501 Warn "shedding started" ["level"];
    /// No requests are shed any more.
    SHEDDING_ENDED = 502 Info "shedding ended" [];
    /// A non-idempotent request may or may not have run.
    OUTCOME_UNKNOWN = 600 Warn "outcome unknown" ["request", "kind", "reason"];
    /// An operator settled an unknown outcome.
    OUTCOME_SETTLED = 601 Info "outcome settled" ["request", "verdict", "operator"];
    /// What is known about finished tickets was handed over to another node at a planned stop.
    TICKETS_HANDED_OVER = 602 Info "tickets handed over" ["node", "tickets", "taken"];
    /// A peer connection was opened.
    PEER_CONNECTED = 700 Debug "peer connected" ["node"];
    /// A peer connection was lost.
    PEER_LOST = 701 Info "peer connection lost" ["node", "reason"];
    /// A request was refused and has not run. `bound` is what held it back at the gate: its queue, the window of its kind, or a path on which a service has no upstream; `calls` counts what ran and waited there; the rest is known at the entry only.
    REQUEST_REFUSED = 800 Info "request refused" ["request", "kind", "at", "reason", "bound", "calls", "node", "tries", "pressure", "workspace", "version", "after_ms"];
    /// A request is sent to another upstream. `node` is the one that it did not end at.
    REQUEST_REPEATED = 801 Info "request sent once more" ["request", "node", "outcome", "reason"];
    /// A request ends without an answer of an upstream. `node` had it last, `pressure` is how full its path was in percent.
    REQUEST_FAILED = 802 Warn "request failed" ["request", "kind", "status", "reason", "node", "tries", "pressure", "workspace", "version", "after_ms"];
    /// The answer of the own upstream to a request was lost or cannot be passed on.
    ANSWER_LOST = 803 Warn "answer lost" ["request", "reason"];
    /// Whether a request ran in the own upstream is not known.
    OUTCOME_NOT_KNOWN = 804 Info "outcome of a request not known" ["request", "kind", "reason"];
    /// An upstream answered with a failure of its own. `below` says that a call made for the request failed.
    REQUEST_ANSWERED_BADLY = 805 Info "request answered with a failure" ["request", "kind", "status", "below", "node", "tries", "pressure", "workspace", "version", "after_ms"];
    /// The own upstream did not answer a request in `waited_ms`, and no answer is expected any more. All but few of its kind take less than `usual_ms`; `overtaken` of its kind were sent later and have been answered.
    ANSWER_MISSING = 806 Info "no answer expected any more" ["request", "kind", "waited_ms", "usual_ms", "overtaken"];
    /// Events about requests were left out because there were too many, in the last `span_ms`. Those of `kept` percent of the requests are whole.
    EVENTS_LEFT_OUT = 810 Info "events left out" ["count", "about", "kept", "span_ms"];
    /// Lines were left out because who reads the log is too slow.
    LINES_LEFT_OUT = 811 Warn "lines left out" ["count"];
    /// Requests that this node sent to another one, or to its own upstream, failed several times in a row; for `for_ms` it gets none while there are others, then one at a time.
    NODE_LEFT_OUT = 820 Info "node left out" ["node", "for_ms"];
}
