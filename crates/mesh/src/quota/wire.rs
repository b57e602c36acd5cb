//! Questions for tokens and their answers, as messages between nodes.

use std::time::Duration;

use sailtrack_quota::{Grant, Want};
use sailtrack_units::WorkspaceName;
use sailtrack_wire::{TokenGrant, TokenWant};

/// Returns the message for what is wanted.
pub(super) fn wanted(workspace: &WorkspaceName, want: &Want) -> TokenWant {
    TokenWant {
        workspace: workspace.to_string(),
        held: want.held,
        needed: want.needed,
        spare: want.spare,
        seen: want.seen,
    }
}

/// Reads what is wanted; a name that cannot be read has no limit here.
pub(super) fn want(message: &TokenWant) -> Option<(WorkspaceName, Want)> {
    let want = Want {
        held: message.held,
        needed: message.needed,
        spare: message.spare,
        seen: message.seen,
    };
    Some((message.workspace.parse().ok()?, want))
}

/// Returns the message for what is given; nothing stands for a workspace without a limit.
pub(super) fn grant(grant: Option<Grant>) -> TokenGrant {
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

/// Reads what is given.
pub(super) fn granted(message: &TokenGrant) -> Option<Grant> {
    let grant = Grant {
        tokens: message.tokens,
        recalled: message.recalled,
        wait: Duration::from_millis(u64::from(message.wait_ms)),
    };
    (!message.unlimited).then_some(grant)
}
