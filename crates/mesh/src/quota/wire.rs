//! Conversion of token requests and grants to and from messages between nodes.

use std::time::Duration;

use sailtrack_quota::{Grant, Want};
use sailtrack_units::WorkspaceName;
use sailtrack_wire::{TokenGrant, TokenWant};

/// Returns the message for the tokens wanted for a workspace.
pub(super) fn want_to_wire(workspace: &WorkspaceName, want: &Want) -> TokenWant {
    TokenWant {
        workspace: workspace.to_string(),
        held: want.held,
        needed: want.needed,
        spare: want.spare,
        seen: want.seen,
    }
}

/// Parses the tokens wanted for a workspace; `None` if its name is invalid, so it has no limit
/// here.
pub(super) fn want_from_wire(message: &TokenWant) -> Option<(WorkspaceName, Want)> {
    let want = Want {
        held: message.held,
        needed: message.needed,
        spare: message.spare,
        seen: message.seen,
    };
    Some((message.workspace.parse().ok()?, want))
}

/// Returns the message for a grant; `None` stands for a workspace without a limit.
pub(super) fn grant_to_wire(grant: Option<Grant>) -> TokenGrant {
    let Some(grant) = grant else {
        return TokenGrant {
            unlimited: true,
            ..TokenGrant::default()
        };
    };
    TokenGrant {
        tokens: grant.tokens,
        wait_ms: u32::try_from(grant.wait.as_millis()).unwrap_or(u32::MAX),
        unlimited: false,
        recalled: grant.recalled,
    }
}

/// Parses a grant; `None` stands for a workspace without a limit.
pub(super) fn grant_from_wire(message: &TokenGrant) -> Option<Grant> {
    let grant = Grant {
        tokens: message.tokens,
        recalled: message.recalled,
        wait: Duration::from_millis(u64::from(message.wait_ms)),
    };
    (!message.unlimited).then_some(grant)
}
