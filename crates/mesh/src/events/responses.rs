//! Log events about the responses of the own upstream.

use std::fmt;
use std::time::Duration;

use sailtrack_log::catalogue;
use sailtrack_units::KindName;

use super::{Events, write};
use crate::gate::Finding;
use crate::key::{AttemptKey, UpstreamKey};

/// A request that is no longer waited for, since the own upstream does not answer it.
pub(crate) struct Silence<'a> {
    pub(crate) attempt: &'a AttemptKey,
    pub(crate) kind: &'a KindName,
    pub(crate) waited: Duration,
    /// The time within which nearly all requests of its kind are answered normally.
    pub(crate) expected: Duration,
    /// How many requests of its kind that were sent later have been answered.
    pub(crate) overtaken: u32,
}

/// A response that the own upstream sent while the one to a request was awaited.
pub(crate) struct Received<'a> {
    /// The request that was awaited.
    pub(crate) attempt: &'a AttemptKey,
    /// The id that the response bears.
    pub(crate) named: Option<&'a str>,
    pub(crate) status: u16,
    /// The number of the connection.
    pub(crate) connection: u64,
    /// The requests that were sent on the connection before.
    pub(crate) earlier_requests: u32,
}

/// A long answer that was not completed.
pub(crate) struct Truncation<'a> {
    pub(crate) attempt: &'a AttemptKey,
    pub(crate) kind: &'a KindName,
    pub(crate) reason: &'a dyn fmt::Display,
    /// The bytes of the body that were sent to the client.
    pub(crate) bytes: u64,
    /// The time since the request arrived.
    pub(crate) elapsed: Duration,
}

impl Events {
    /// Logs that a long answer was not completed.
    pub(crate) fn log_truncation(&self, truncation: &Truncation<'_>) {
        write(
            &self.failures,
            truncation.attempt,
            &catalogue::ANSWER_TRUNCATED,
            &[
                ("request", truncation.attempt),
                ("kind", truncation.kind),
                ("reason", &truncation.reason),
                ("bytes", &truncation.bytes),
                ("after_ms", &truncation.elapsed.as_millis()),
            ],
        );
    }

    /// Logs that the own upstream's answer to a request was lost or cannot be passed on.
    pub(crate) fn log_lost_answer(&self, attempt: &AttemptKey, reason: &dyn fmt::Display) {
        write(
            &self.failures,
            attempt,
            &catalogue::ANSWER_LOST,
            &[("request", attempt), ("reason", reason)],
        );
    }

    /// Logs that the own upstream rejected a request.
    pub(crate) fn log_rejection(&self, rejection: &Received<'_>, upstream: &UpstreamKey) {
        write(
            &self.refusals,
            rejection.attempt,
            &catalogue::UPSTREAM_REJECTED,
            &[
                ("request", rejection.attempt),
                ("upstream", upstream),
                ("status", &rejection.status),
                ("named", &rejection.named.is_some()),
                ("connection", &rejection.connection),
                ("earlier", &rejection.earlier_requests),
            ],
        );
    }

    /// Logs that a response of the own upstream was skipped, since it does not belong to the
    /// request that it was read for.
    pub(crate) fn log_skipped_response(&self, skipped: &Received<'_>) {
        write(
            &self.failures,
            skipped.attempt,
            &catalogue::ANSWER_SKIPPED,
            &[
                ("request", skipped.attempt),
                ("of", &skipped.named.unwrap_or("none")),
                ("status", &skipped.status),
                ("connection", &skipped.connection),
                ("earlier", &skipped.earlier_requests),
            ],
        );
    }

    /// Logs the result of probing the port of the own upstream after an answer was lost.
    pub(crate) fn log_probe(&self, attempt: &AttemptKey, finding: Finding, took: Duration) {
        write(
            &self.failures,
            attempt,
            &catalogue::UPSTREAM_LOOKED_AT,
            &[
                ("request", attempt),
                ("finding", &finding),
                ("took_ms", &took.as_millis()),
            ],
        );
    }

    /// Logs that the node stopped waiting for the own upstream's answer to a request.
    pub(crate) fn log_missing_answer(&self, silence: &Silence<'_>) {
        write(
            &self.failures,
            silence.attempt,
            &catalogue::ANSWER_MISSING,
            &[
                ("request", silence.attempt),
                ("kind", silence.kind),
                ("waited_ms", &silence.waited.as_millis()),
                ("usual_ms", &silence.expected.as_millis()),
                ("overtaken", &silence.overtaken),
            ],
        );
    }
}
