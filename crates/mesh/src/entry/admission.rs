//! Lets requests in by their key, the limit of their workspace and the state of the node.

use std::time::Duration;

use sailtrack_wire::Reason;

use crate::clock;
use crate::entry::CredentialError;
use crate::entry::Entry;
use crate::entry::request::Incoming;
use crate::quota::{Shortage, Token};
use crate::request::Response;
use crate::retry_after;

/// When a client of a node that is about to end may come back; it finds another node at once.
const CLOSED_RETURN: Duration = Duration::from_millis(100);

/// Why a request is not let in.
pub(super) enum Denial {
    /// Nobody is known to ask.
    Key(CredentialError),
    /// It may come back.
    NotNow(Box<Response>),
}

impl Entry {
    /// Lets a request in by its key.
    pub(super) fn check_key(&self, incoming: &Incoming) -> Result<(), Denial> {
        let has_key = match &incoming.caller {
            Ok(caller) => caller.has_key(),
            Err(refusal) => *refusal == CredentialError::Unknown,
        };
        // A key that is not known may be new.
        if has_key && !self.freshness.is_fresh(clock::now()) {
            let after = retry_after::outage();
            let returned = Response::refused(Reason::KeysOutdated).with_retry_after(after);
            return Err(Denial::NotNow(Box::new(returned)));
        }
        match incoming.caller {
            Ok(_) => Ok(()),
            Err(refusal) => Err(Denial::Key(refusal)),
        }
    }

    /// Takes a token for a request if its workspace has a limit.
    pub(super) async fn take_token(&self, incoming: &Incoming) -> Result<Option<Token>, Response> {
        let workspace = incoming.workspace();
        let Some(limited) = workspace.filter(|workspace| workspace.limit.is_some()) else {
            return Ok(None);
        };
        let (reason, after) = match self.quotas.admit(&limited.name).await {
            Ok(token) => return Ok(Some(token)),
            Err(Shortage::Over(after)) => (Reason::OverQuota, after),
            Err(Shortage::NoAllocator) => (Reason::QuotaNotKnown, retry_after::outage()),
        };
        Err(Response::refused(reason).with_retry_after(after))
    }

    /// Refuses a request of a client that comes too late to be finished before the node ends.
    pub(super) fn refuse_late(&self, incoming: &Incoming) -> Option<Response> {
        let is_late = self.is_closed.get() && incoming.parent.is_none();
        is_late.then(|| Response::refused(Reason::Draining).with_retry_after(CLOSED_RETURN))
    }
}
