//! Counters without labels.

use std::sync::atomic::AtomicU64;

use prometheus_client::metrics::counter::Counter;
use prometheus_client::registry::Registry;

/// Counters without labels.
pub(super) struct Counters {
    pub(super) refused_announcements: Counter<u64, AtomicU64>,
    pub(super) crashes: Counter<u64, AtomicU64>,
    pub(super) quarantines: Counter<u64, AtomicU64>,
    pub(super) credential_errors: Counter<u64, AtomicU64>,
    pub(super) keys_outdated: Counter<u64, AtomicU64>,
    pub(super) over_quota: Counter<u64, AtomicU64>,
    pub(super) unanswered: Counter<u64, AtomicU64>,
    pub(super) unread: Counter<u64, AtomicU64>,
    pub(super) sent: Counter<u64, AtomicU64>,
    pub(super) rate_refusals: Counter<u64, AtomicU64>,
    pub(super) skipped_responses: Counter<u64, AtomicU64>,
    pub(super) truncated_responses: Counter<u64, AtomicU64>,
}

impl Counters {
    pub(super) fn new(registry: &mut Registry) -> Self {
        Self {
            refused_announcements: counter(
                registry,
                "refused_announcements",
                "Messages about the own upstream that were not its own or could not be read",
            ),
            crashes: counter(
                registry,
                "upstream_crashes",
                "Ends of the own upstream that it had not announced",
            ),
            quarantines: counter(
                registry,
                "verdicts",
                "Requests that were put into quarantine",
            ),
            credential_errors: counter(
                registry,
                "refused_keys",
                "Requests without a key that a workspace has",
            ),
            keys_outdated: counter(
                registry,
                "outdated_keys",
                "Times that requests with keys were refused from then on, since too little is known",
            ),
            over_quota: counter(
                registry,
                "over_quota",
                "Requests beyond the limits of their workspaces",
            ),
            unanswered: counter(
                registry,
                "unanswered",
                "Requests to which no answer of the own upstream was expected any more",
            ),
            sent: counter(
                registry,
                "sent_to_upstream",
                "Requests sent to the own upstream",
            ),
            rate_refusals: counter(
                registry,
                "over_rate_limit",
                "Requests refused since the own upstream limits their rate",
            ),
            skipped_responses: counter(
                registry,
                "skipped_answers",
                "Answers of the own upstream to other requests than the one that was waited for",
            ),
            truncated_responses: counter(
                registry,
                "answers_not_completed",
                "Long answers of which clients did not get the rest",
            ),
            unread: counter(
                registry,
                "requests_not_read",
                "Requests that were stopped behind an answer that ended their connection",
            ),
        }
    }
}

fn counter(
    registry: &mut Registry,
    name: &'static str,
    help: &'static str,
) -> Counter<u64, AtomicU64> {
    let counter = Counter::default();
    registry.register(name, help, counter.clone());
    counter
}
