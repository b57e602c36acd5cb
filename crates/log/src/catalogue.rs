//! The catalogue of all log events.

use log::Level;

/// A type of log event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Entry {
    /// The number that identifies the event; its meaning never changes.
    pub number: u32,
    /// The severity of the event.
    pub level: Level,
    /// The message of the log line.
    pub text: &'static str,
    /// The names of the fields of the event.
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

        /// All events, ordered by number.
        pub const ALL: &[Entry] = &[$($name),*];
    };
}

catalogue! {
    /// A process has opened its ports.
    PROCESS_STARTED = 100 Info "process started" ["process", "address"];
    /// The process received SIGTERM and starts its graceful shutdown.
    STOP_REQUESTED = 101 Info "stop requested" ["in_flight"];
    /// The graceful shutdown is complete and the process exits.
    PROCESS_STOPPED = 102 Info "process stopped" ["process"];
    /// The process received another SIGTERM during the graceful shutdown, which it continues.
    STOP_REPEATED = 103 Warn "stop requested again; still finishing work in flight" ["in_flight"];
    /// The process received SIGHUP and reads the settings file again.
    RELOAD_REQUESTED = 104 Info "reload requested" [];
    /// The instance was suspended for `time_ms` milliseconds; the state of other nodes is checked again.
    INSTANCE_SUSPENDED = 105 Warn "instance was suspended" ["time_ms"];
    /// A changed settings file was read. The keys in `in_force` have taken effect, those in `next_start` will at the next start.
    SETTINGS_CHANGED = 106 Info "settings changed" ["in_force", "next_start"];
    /// The settings file cannot be read or contains errors; the settings in force stay.
    SETTINGS_REFUSED = 107 Error "settings refused" ["reason"];
    /// The time limit of the graceful shutdown is nearly over, and the process exits with this many requests in flight.
    STOP_TIME_OVER = 108 Warn "stop time over with work in flight" ["in_flight"];
    /// A task panicked; other tasks and connections are not affected.
    TASK_PANICKED = 110 Error "a task panicked and was ended" ["task"];
    /// A connection was closed because of what it sent.
    INPUT_REFUSED = 120 Warn "input refused" ["port", "reason"];
    /// An answer closed a connection, and the pipelined requests after it were cancelled.
    REQUESTS_NOT_READ = 121 Info "requests not read" ["count"];
    /// Connections were closed since the port has no room for more of them, or for what they hold.
    CONNECTIONS_CLOSED = 122 Warn "connections closed for lack of room" ["port", "reason", "count"];
    /// The node applied a configuration.
    CONFIG_IN_FORCE = 200 Info "configuration in force" ["version", "source"];
    /// A configuration that could not be parsed was ignored.
    CONFIG_REFUSED = 201 Error "configuration refused" ["version", "reason"];
    /// An operator's change was accepted.
    CONFIG_ACCEPTED = 202 Info "configuration accepted" ["version", "operator", "command"];
    /// An operator's change was rejected because of a concurrent change.
    CONFIG_CONFLICT = 203 Warn "configuration conflict" ["version", "operator", "winner"];
    /// The platform does not answer.
    PLATFORM_LOST = 300 Warn "the platform does not answer" ["reason"];
    /// The platform answers again.
    PLATFORM_FOUND = 301 Info "the platform answers again" [];
    /// An operation on the store failed. It is retried, or other nodes provide the data instead.
    STORE_FAILED = 302 Warn "operation on the store failed" ["operation", "reason"];
    /// A row of the store that could not be parsed was ignored.
    ROW_REFUSED = 303 Error "rows refused" ["table", "key", "reason", "rows"];
    /// The row of a node that is permanently gone was removed.
    ROW_REMOVED = 304 Info "row removed" ["node"];
    /// The store was restored from a backup.
    STORE_COPIED = 305 Warn "the store came back from a copy" ["era"];
    /// A row that was missing from the restored backup was written again.
    ROW_RESTORED = 306 Info "row written again" ["table", "key"];
    /// The retirement of the own upstream was acknowledged, since it outlasts this process: it is in the store (`store` is `written`) or in the memory of `copies` other nodes. In the latter case it is written once the store responds (308).
    RETIREMENT_RECORDED = 307 Info "retirement recorded" ["upstream", "store", "copies"];
    /// The retirement of the own upstream, which the store did not record at first, is in the store now.
    RETIREMENT_WRITTEN = 308 Info "retirement written later" ["upstream"];
    /// A node joined or rejoined.
    MEMBER_JOINED = 400 Info "member joined" ["node", "service", "domain"];
    /// A node does not answer and is suspected to be dead.
    MEMBER_SUSPECTED = 401 Warn "member suspected" ["node"];
    /// A suspected node did not answer in time and is considered dead.
    MEMBER_DEAD = 402 Warn "member dead" ["node"];
    /// A node announced that it is shutting down.
    MEMBER_LEAVING = 403 Info "member leaving" ["node"];
    /// The own upstream registered with this node.
    UPSTREAM_ANNOUNCED = 410 Info "upstream announced" ["upstream", "service", "slots"];
    /// The own upstream deregistered or stopped sending heartbeats.
    UPSTREAM_GONE = 411 Warn "upstream gone" ["reason"];
    /// An incarnation of the own upstream no longer gets new requests.
    UPSTREAM_RETIRED = 412 Info "upstream retired" ["upstream", "reason"];
    /// The own upstream could not be identified by a probe; its next heartbeat will identify it.
    UPSTREAM_SILENT = 413 Info "upstream does not say who it is" ["address", "reason"];
    /// The load reported by the own upstream could not be parsed, or not completely. Logged once for each incarnation.
    LOAD_UNREADABLE = 414 Warn "load of the upstream not readable" ["upstream", "value"];
    /// The own upstream is still running `requests` requests sent by an earlier process of this node; their slots stay reserved until they end.
    REQUESTS_LEFT_BEHIND = 415 Info "requests left behind" ["requests"];
    /// The slots of abandoned requests were released, although the ends of the requests were not observed. `because` is `load` if the upstream reported that it runs `told` requests while `open` others were waiting for answers, or `time` if the requests are assumed to have ended.
    ROOM_FREED = 416 Debug "room of dropped requests came back" ["requests", "because", "told", "open"];
    /// The own upstream named another rate limit in a response, or none any more. `source` is the response, or the peer or health check from which a restarted node learned the limit. Logged once per second at most, so `before` may differ from the last event.
    RATE_LIMIT_NAMED = 417 Info "rate limit of the upstream changed" ["upstream", "limit", "before", "source"];
    /// The rate limit that the own upstream names could not be parsed; the limit before it stays in force. Logged once for each incarnation.
    RATE_LIMIT_UNREADABLE = 418 Warn "rate limit of the upstream not readable" ["upstream", "value"];
    /// This node knows from now on that an incarnation of an upstream, its own or that of another node, is leaving or has left. `reason` is what it knows this from.
    RETIREMENT_KNOWN = 419 Debug "upstream known as retired" ["upstream", "reason"];
    /// The own upstream crashed, that is, ended without deregistering. `ran` lists the requests in flight by the first digits of their identities, with their kinds; `requests` is their number.
    UPSTREAM_CRASHED = 420 Warn "upstream crashed" ["upstream", "requests", "ran"];
    /// A request was in flight when several upstreams crashed and is quarantined: it is no longer sent to any upstream. `upstream` is the incarnation that crashed last, `time_s` the duration of the quarantine in seconds. Each node that learns of the crash logs this.
    REQUEST_QUARANTINED = 421 Warn "request quarantined" ["identity", "upstream", "time_s"];
    /// An attempt of a quarantined request was refused.
    REQUEST_HELD_BACK = 422 Info "request held back" ["request", "identity"];
    /// A request is no longer quarantined or on trial.
    QUARANTINE_ENDED = 423 Info "quarantine ended" ["identity", "reason"];
    /// A crash or a change of the quarantine could not be sent to `nodes` nodes, since the queues of their connections were full. They learn of a quarantine when they reconnect.
    NODES_NOT_TOLD = 424 Warn "nodes not told" ["nodes"];
    /// The port of the own upstream was probed after the answer to a request was lost. `finding` is `refused` if nothing listens on the port, `accepted`, `neither in time` or `not tried`; `took_ms` is the duration of the probe in milliseconds. A port that does not refuse connections is watched for a while, and a second event reports the final result.
    UPSTREAM_LOOKED_AT = 425 Info "upstream looked at" ["request", "finding", "took_ms"];
    /// Another node reported that its upstream crashed. `requests` is the number of requests in flight that the report names.
    CRASH_TOLD = 426 Info "crash told" ["upstream", "requests"];
    /// The records of retired upstreams were asked about an incarnation that announced itself to this node. `source` is `store` if the store responded, otherwise `peers`; `finding` is `retired` or `unknown`.
    UPSTREAM_LOOKED_UP = 427 Info "records of retired upstreams asked" ["upstream", "source", "finding"];
    /// A heartbeat was not taken as proof that its sender accepts requests now, since it may have been sent before this process was started or before the current incarnation. `heartbeats` is the number that came in a row, `health` the answer to a health check sent because of it.
    UPSTREAM_UNPROVEN = 428 Info "heartbeat proves nothing" ["upstream", "heartbeats", "health"];
    /// The own upstream was accepted because of its answer to a health check and sent no heartbeats after that, so it gets no requests until it does.
    UPSTREAM_UNCONFIRMED = 429 Warn "upstream sends no heartbeats" ["upstream"];
    /// A request was refused, since it has no key, more than one key, or a key that belongs to no workspace in this version of the configuration.
    KEY_REFUSED = 430 Info "key refused" ["request", "kind", "reason", "version"];
    /// The configuration may be outdated, so requests with keys are refused from now on. The age is -1 if it is unknown.
    KEYS_OUTDATED = 431 Warn "keys outdated" ["age_ms"];
    /// Requests with keys are accepted again.
    KEYS_CURRENT = 432 Info "keys current" ["age_ms"];
    /// A workspace exceeds its quota; logged every 5 s at most.
    WORKSPACE_OVER_LIMIT = 440 Info "workspace over its limit" ["workspace", "rate", "version"];
    /// This node became the token allocator of its failure domain.
    QUOTA_ALLOCATOR_BEGAN = 441 Info "keeps the tokens of its failure domain" ["term"];
    /// This node is no longer the token allocator of its failure domain.
    QUOTA_ALLOCATOR_ENDED = 442 Info "keeps no tokens any more" ["term"];
    /// The concurrency limit of the own upstream changed by a quarter or more.
    LIMIT_CHANGED = 500 Info "concurrency limit changed" ["limit", "reason"];
    /// Requests are being shed.
    SHEDDING_STARTED = 501 Warn "shedding started" ["level"];
    /// Requests are no longer being shed.
    SHEDDING_ENDED = 502 Info "shedding ended" [];
    /// It is unknown whether a non-idempotent request ran.
    OUTCOME_UNKNOWN = 600 Warn "outcome unknown" ["request", "kind", "reason"];
    /// An operator settled an unknown outcome.
    OUTCOME_SETTLED = 601 Info "outcome settled" ["request", "verdict", "operator"];
    /// The records of finished tickets were handed over to another node during a graceful shutdown.
    TICKETS_HANDED_OVER = 602 Info "tickets handed over" ["node", "tickets", "taken"];
    /// A peer connection was opened.
    PEER_CONNECTED = 700 Debug "peer connected" ["node"];
    /// A peer connection was lost.
    PEER_LOST = 701 Info "peer connection lost" ["node", "reason"];
    /// A request was refused and has not run. `bound` is the limit that it exceeded at the gate: the queue, the rate limit of the upstream, which is in `limit`, the window of its kind, or the circuit breaker of a path on which a service has no upstream. `calls` is the number of requests running or waiting there. The remaining fields are only set at the entry.
    REQUEST_REFUSED = 800 Info "request refused" ["request", "kind", "at", "reason", "bound", "limit", "calls", "node", "tries", "pressure", "workspace", "version", "after_ms"];
    /// A request is retried on another upstream. `node` is the node of the failed attempt.
    REQUEST_REPEATED = 801 Info "request sent once more" ["request", "node", "outcome", "reason"];
    /// A request failed without an answer from an upstream. `node` is the node of the last attempt, `pressure` the highest pressure on its path in percent.
    REQUEST_FAILED = 802 Warn "request failed" ["request", "kind", "status", "reason", "node", "tries", "pressure", "workspace", "version", "after_ms"];
    /// The own upstream's answer to a request was lost or cannot be passed on.
    ANSWER_LOST = 803 Warn "answer lost" ["request", "reason"];
    /// It is unknown whether a request ran in the own upstream.
    OUTCOME_NOT_KNOWN = 804 Info "outcome of a request not known" ["request", "kind", "reason"];
    /// An upstream answered with an error. `below` tells whether a nested call made for the request failed.
    REQUEST_ANSWERED_BADLY = 805 Info "request answered with a failure" ["request", "kind", "status", "below", "node", "tries", "pressure", "workspace", "version", "after_ms"];
    /// The own upstream did not answer a request within `waited_ms` milliseconds. The node still takes the answer if it comes, and an idempotent request is tried elsewhere meanwhile. Nearly all requests of its kind take less than `usual_ms`; `overtaken` requests of its kind were sent later and have been answered.
    ANSWER_MISSING = 806 Info "no answer expected any more" ["request", "kind", "waited_ms", "usual_ms", "overtaken"];
    /// The own upstream rejected a request and did not run it. `named` says whether its response bears the id of the request; `earlier` requests were sent on the connection with this number before.
    UPSTREAM_REJECTED = 807 Info "own upstream rejected a request" ["request", "upstream", "status", "named", "connection", "earlier"];
    /// A response of the own upstream was skipped while the one to this request was awaited, since it does not belong to it. `of` is the id that it bears.
    ANSWER_SKIPPED = 808 Info "answer to another request skipped" ["request", "of", "status", "connection", "earlier"];
    /// The rest of a long answer, of which a client already had `bytes`, was not sent, and its connection was closed: the upstream broke off, the client reads no more, or the deadline passed.
    ANSWER_TRUNCATED = 809 Info "answer not completed" ["request", "kind", "reason", "bytes", "after_ms"];
    /// Some events about requests were left out in the last `span_ms` milliseconds, because there were too many. The events of `kept` percent of the requests are complete.
    EVENTS_LEFT_OUT = 810 Info "events left out" ["count", "about", "kept", "span_ms"];
    /// Lines were dropped because the reader of the log is too slow.
    LINES_LEFT_OUT = 811 Warn "lines left out" ["count"];
    /// A request was ended by the node since its planned stop is nearly over. Its caller would have waited for another `left_ms` milliseconds.
    REQUEST_ENDED_BY_STOP = 812 Warn "request ended with the stop" ["request", "kind", "left_ms"];
    /// Several requests in a row that this node sent to another node, or to its own upstream, failed. For `for_ms` milliseconds that node gets no requests while there are alternatives, and then one at a time.
    NODE_LEFT_OUT = 820 Info "node left out" ["node", "for_ms"];
}
