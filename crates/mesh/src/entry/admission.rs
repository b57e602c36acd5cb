//! Admission checks at the entry: the client's key, the quota of its workspace and the state of the
//! node.

use std::time::Duration;

use sailtrack_wire::Reason;

use crate::clock;
use crate::entry::CredentialError;
use crate::entry::Entry;
use crate::entry::request::Incoming;
use crate::quota::{Shortage, Token};
use crate::request::Response;
use crate::retry_after;

/// Retry-After for clients of a node that is about to stop; a retry reaches another node at once.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(100);

/// While the memory for clients is used up, those are closed that have taken nothing for this long.
const STALL_TIME: Duration = Duration::from_secs(2);

/// Why a request is not admitted.
pub(super) enum Denial {
    /// The request cannot be attributed to a workspace.
    Credential(CredentialError),
    /// The request may be retried later.
    Retry(Box<Response>),
}

impl Entry {
    /// Checks the client's key, and that the configuration is recent enough to trust it.
    pub(super) fn check_credential(&self, incoming: &Incoming) -> Result<(), Denial> {
        let has_credential = match &incoming.caller {
            Ok(caller) => caller.has_credential(),
            Err(refusal) => *refusal == CredentialError::Unknown,
        };
        // An unknown key may belong to a configuration that has not arrived yet.
        if has_credential && !self.freshness.is_fresh(clock::now()) {
            let after = retry_after::outage();
            let response = Response::refused(Reason::KeysOutdated).with_retry_after(after);
            return Err(Denial::Retry(Box::new(response)));
        }
        match incoming.caller {
            Ok(_) => Ok(()),
            Err(refusal) => Err(Denial::Credential(refusal)),
        }
    }

    /// Acquires a quota token if the workspace of the request has a limit.
    pub(super) async fn acquire_token(
        &self,
        incoming: &Incoming,
    ) -> Result<Option<Token>, Response> {
        let workspace = incoming.workspace();
        let Some(limited) = workspace.filter(|workspace| workspace.limit.is_some()) else {
            return Ok(None);
        };
        let (reason, after) = match self.quotas.acquire(&limited.name).await {
            Ok(token) => return Ok(Some(token)),
            Err(Shortage::Exhausted(after)) => (Reason::OverQuota, after),
            Err(Shortage::NoAllocator) => (Reason::QuotaNotKnown, retry_after::outage()),
        };
        Err(Response::refused(reason).with_retry_after(after))
    }

    /// Refuses a request whose answer may be long while the memory for clients is used up, though
    /// those that have taken nothing for a while are closed. Others need little of it.
    pub(super) fn refuse_if_full(&self, incoming: &Incoming) -> Option<Response> {
        let is_refused = self.long_answers.are_expected(&incoming.route)
            && !self.connections.close_stalled(STALL_TIME);
        is_refused.then(|| {
            let response = Response::refused(Reason::Overload);
            response.with_retry_after(retry_after::memory())
        })
    }

    /// Logs that the end of the planned stop ended a request, if its deadline did not.
    pub(super) fn log_end_by_stop(&self, incoming: &Incoming) {
        if self.shutdown.answer_deadline(incoming.deadline) < incoming.deadline {
            let left = incoming.time_left();
            let (attempt, kind) = (&incoming.attempt, &incoming.route.name);
            self.events.log_end_by_stop(attempt, kind, left);
        }
    }

    /// Refuses a request that arrives too late to complete before the node stops.
    pub(super) fn refuse_if_stopping(&self, incoming: &Incoming) -> Option<Response> {
        let now = clock::now();
        let is_too_late = if incoming.parent.is_some() {
            self.shutdown.is_too_late_for_call(now)
        } else {
            self.shutdown.is_too_late(now)
        };
        is_too_late
            .then(|| Response::refused(Reason::Draining).with_retry_after(STOPPING_RETRY_AFTER))
    }
}
