//! HTTP headers read and written by sailtrack.

/// The id of a request, chosen by the client or by the node.
pub(crate) const REQUEST: &str = "sailtrack-request";
/// The kind of a request.
pub(crate) const KIND: &str = "sailtrack-kind";
/// The time left for a request, in milliseconds.
pub(crate) const TIMEOUT: &str = "sailtrack-timeout-ms";
/// The ticket of a non-idempotent request.
pub(crate) const TICKET: &str = "sailtrack-ticket";
/// The opaque context token that an upstream copies into the calls that it makes.
pub(crate) const CONTEXT: &str = "sailtrack-context";
/// The service that an upstream calls.
pub(crate) const SERVICE: &str = "sailtrack-service";
/// The outcome of the execution: done, not-run or unknown.
pub(crate) const OUTCOME: &str = "sailtrack-outcome";
/// Why a request did not run or its outcome is unknown.
pub(crate) const REASON: &str = "sailtrack-reason";
/// On answers of an upstream: how many calls per second it accepts from all nodes, such as `34.5/s`.
pub(crate) const RATE_LIMIT: &str = "sailtrack-rate-limit";
/// On answers of an upstream that is leaving.
pub(crate) const LEAVING: &str = "sailtrack-leaving";
/// The time after which to retry, in milliseconds.
pub(crate) const RETRY_AFTER_MS: &str = "sailtrack-retry-after-ms";
/// The time after which to retry, in whole seconds.
pub(crate) const RETRY_AFTER: &str = "retry-after";
/// The idempotency key that the client chose for a non-idempotent request.
pub(crate) const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// The name of an operator.
pub(crate) const OPERATOR: &str = "sailtrack-operator";
/// The id of an operator's command.
pub(crate) const COMMAND: &str = "sailtrack-command";
