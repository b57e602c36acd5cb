//! Identifies the caller of a request.

use std::rc::Rc;

use displaydoc::Display;
use sailtrack_net::transparent::RequestHead;

use crate::configuration::{Configuration, Route, Workspace};
use crate::contexts::Context;
use crate::dialect::FieldNames;

/// Why a request cannot be attributed to a workspace.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(crate) enum CredentialError {
    /// there is no key
    Missing,
    /// there is more than one key
    Duplicate,
    /// no workspace has this key
    Unknown,
}

/// The caller of a request.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum Caller {
    /// Any caller: the route is public, or no workspaces are configured.
    Anonymous,
    /// A client that presented a key of this workspace.
    Client(Rc<Workspace>),
    /// The own upstream, on behalf of a request of this workspace that it is running.
    Upstream(Rc<Workspace>),
}

impl Caller {
    /// Identifies the caller, or returns why it cannot be attributed to a workspace.
    pub(super) fn identify(
        head: &RequestHead,
        fields: &FieldNames,
        configuration: &Configuration,
        route: &Route,
        parent: Option<&Context>,
    ) -> Result<Self, CredentialError> {
        let Some(workspaces) = &configuration.workspaces else {
            return Ok(Self::Anonymous);
        };
        if route.is_public {
            return Ok(Self::Anonymous);
        }
        let mut keys = head.fields.all(fields.credential);
        let (first, second) = (keys.next(), keys.next());
        match (first, second) {
            (Some(key), None) => {
                let holder = workspaces.find_by_key(key);
                holder
                    .map(|holder| Self::Client(Rc::clone(holder)))
                    .ok_or(CredentialError::Unknown)
            }
            (Some(_), Some(_)) => Err(CredentialError::Duplicate),
            // Upstreams have no keys; their calls belong to the workspace of the parent request.
            (None, _) => {
                let workspace = parent.and_then(|parent| parent.workspace.as_ref());
                let workspace = workspace.and_then(|name| workspaces.find_by_name(name));
                let upstream = workspace.map(|workspace| Self::Upstream(Rc::clone(workspace)));
                upstream.ok_or(CredentialError::Missing)
            }
        }
    }

    /// Returns the workspace of the request, whose quota it uses.
    pub(super) fn workspace(&self) -> Option<&Rc<Workspace>> {
        match self {
            Self::Anonymous => None,
            Self::Client(workspace) | Self::Upstream(workspace) => Some(workspace),
        }
    }

    /// Returns true if the caller presented a key, which may have been revoked since.
    pub(super) fn has_credential(&self) -> bool {
        matches!(self, Self::Client(_))
    }
}
