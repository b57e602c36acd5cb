//! On whose behalf a request comes in.

use std::rc::Rc;

use displaydoc::Display;
use sailtrack_net::transparent::RequestHead;

use crate::configuration::{Configuration, Route, Workspace};
use crate::contexts::Context;
use crate::dialect::FieldNames;

/// Why a request is let in on behalf of nobody.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(crate) enum CredentialError {
    /// there is no key
    Missing,
    /// there is more than one key
    Duplicate,
    /// no workspace has this key
    Unknown,
}

/// Who asks.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum Caller {
    /// Whoever it is: the route is for all, or there are no workspaces.
    Anybody,
    /// A client with a key of this workspace.
    Client(Rc<Workspace>),
    /// The own upstream, for a request of this workspace that runs there.
    Run(Rc<Workspace>),
}

impl Caller {
    /// Returns who asks, or why nobody is known to.
    pub(super) fn of(
        head: &RequestHead,
        fields: &FieldNames,
        configuration: &Configuration,
        route: &Route,
        parent: Option<&Context>,
    ) -> Result<Self, CredentialError> {
        let Some(workspaces) = &configuration.workspaces else {
            return Ok(Self::Anybody);
        };
        if route.is_public {
            return Ok(Self::Anybody);
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
            // Upstreams have no keys.
            (None, _) => {
                let workspace = parent.and_then(|parent| parent.workspace.as_ref());
                let workspace = workspace.and_then(|name| workspaces.find_by_name(name));
                let run = workspace.map(|workspace| Self::Run(Rc::clone(workspace)));
                run.ok_or(CredentialError::Missing)
            }
        }
    }

    /// Returns the workspace that is asked for, and has its quota.
    pub(super) fn workspace(&self) -> Option<&Rc<Workspace>> {
        match self {
            Self::Anybody => None,
            Self::Client(workspace) | Self::Run(workspace) => Some(workspace),
        }
    }

    /// Returns true if it has shown a key, which may have been taken away.
    pub(super) fn has_key(&self) -> bool {
        matches!(self, Self::Client(_))
    }
}
