//! Accepts an operator's change by compare-and-swap on the configuration's row.
//!
//! The write that takes effect is the acceptance. If its answer is lost, the row is read; if the
//! write is not there, a fence is written, after which the write can no longer take effect. Only
//! then is the operator answered.

use std::rc::Rc;

use sailtrack_declaration::Declaration;
use sailtrack_kernel::Service;
use sailtrack_log::{catalogue, emit};
use sailtrack_units::{ConfigVersion, OperatorName, Timestamp};

use crate::configuration::{CONFIG_KEY, Change, Configuration, Content, Source};
use crate::platform::{Platform, PlatformError, Precondition, Row, Written};

/// Limit on the changes kept in the history.
const MAX_HISTORY: usize = 64;
/// Number of attempts to find an unanswered write before its outcome is reported as unknown.
const RESOLVE_ATTEMPTS: u32 = 3;
/// Summary of a change that only fences off an earlier write.
const FENCE: &str = "fence";

/// A change proposed by an operator.
#[derive(Debug, Clone)]
pub(crate) struct Proposal {
    pub(crate) command: String,
    pub(crate) operator: OperatorName,
    /// The version on which the operator based the change.
    pub(crate) base: ConfigVersion,
    pub(crate) summary: String,
    pub(crate) declaration: Declaration,
}

/// The outcome of a proposed change.
#[derive(Debug, Clone)]
pub(crate) enum Acceptance {
    /// The change was accepted as this version.
    Accepted(ConfigVersion),
    /// Another change was accepted first; this one had no effect.
    Conflict(Option<Change>, ConfigVersion),
    /// The change had no effect and cannot take effect later.
    Refused(PlatformError),
    /// The change may or may not take effect; its outcome can be queried by the command's id.
    Unknown,
}

/// Accepts operators' changes.
pub(crate) struct Acceptor {
    pub(crate) configuration: Rc<Configuration>,
    pub(crate) platform: Rc<Platform>,
}

impl Service for Acceptor {
    const NAME: &'static str = "acceptor";
}

impl Acceptor {
    /// Proposes a change and returns its outcome.
    pub(crate) async fn accept(&self, proposal: Proposal) -> Acceptance {
        let base = proposal.base;
        let value = self.content_with(&proposal);
        let expect = match base.0 {
            0 => Precondition::Absent,
            version => Precondition::Version(version),
        };
        match self.platform.write(CONFIG_KEY, expect, value).await {
            Ok(Written::Done(row)) => self.record_acceptance(&proposal, &row),
            Ok(Written::Conflict(row)) => {
                self.outcome_of(&proposal.command, &proposal.operator, &row)
            }
            Err(PlatformError::Unanswered | PlatformError::Malformed) => {
                self.resolve(&proposal.command, &proposal.operator, base)
                    .await
            }
            Err(error) => Acceptance::Refused(error),
        }
    }

    /// Determines the outcome of a command that was based on `base`.
    pub(crate) async fn resolve(
        &self,
        command: &str,
        operator: &OperatorName,
        base: ConfigVersion,
    ) -> Acceptance {
        for _ in 0..RESOLVE_ATTEMPTS {
            let Ok(row) = self.platform.read(CONFIG_KEY).await else {
                continue;
            };
            match row {
                Some(row) if row.version > base.0 => {
                    return self.outcome_of(command, operator, &row);
                }
                row => self.fence(operator, row.as_ref()).await,
            }
        }
        Acceptance::Unknown
    }

    /// Increments the version without a change, so that an earlier write can no longer take effect.
    async fn fence(&self, operator: &OperatorName, row: Option<&Row>) {
        let content = row.and_then(|row| serde_json::from_str(&row.value).ok());
        let mut content: Content = content.unwrap_or_default();
        let version = row.map_or(0, |row| row.version);
        append_change(
            &mut content,
            Change {
                command: format!("{FENCE}-{version}"),
                operator: operator.clone(),
                version: ConfigVersion(version + 1),
                at: Timestamp::now(),
                summary: FENCE.to_owned(),
            },
        );
        let expect = match version {
            0 => Precondition::Absent,
            version => Precondition::Version(version),
        };
        // The next read shows whether the fence took effect.
        let _ = self
            .platform
            .write(CONFIG_KEY, expect, encode(&content))
            .await;
    }

    fn content_with(&self, proposal: &Proposal) -> String {
        let mut content = self.configuration.current().content.clone();
        content.declaration = proposal.declaration.to_string();
        append_change(
            &mut content,
            Change {
                command: proposal.command.clone(),
                operator: proposal.operator.clone(),
                version: ConfigVersion(proposal.base.0 + 1),
                at: Timestamp::now(),
                summary: proposal.summary.clone(),
            },
        );
        encode(&content)
    }

    fn record_acceptance(&self, proposal: &Proposal, row: &Row) -> Acceptance {
        let version = ConfigVersion(row.version);
        emit(
            &catalogue::CONFIG_ACCEPTED,
            &[
                ("version", &version),
                ("operator", &proposal.operator),
                ("command", &proposal.command),
            ],
        );
        self.activate(row, Source::Operator);
        Acceptance::Accepted(version)
    }

    /// Returns the outcome of a command after its row was found at a newer version.
    fn outcome_of(&self, command: &str, operator: &OperatorName, row: &Row) -> Acceptance {
        self.activate(row, Source::Platform);
        let content: Content = serde_json::from_str(&row.value).unwrap_or_default();
        let own_change = content
            .history
            .iter()
            .find(|change| change.command == command);
        if let Some(own_change) = own_change {
            return Acceptance::Accepted(own_change.version);
        }
        let winner = content.history.last().cloned();
        let name = winner
            .as_ref()
            .map_or("unknown", |winner| winner.operator.as_str());
        let version = ConfigVersion(row.version);
        emit(
            &catalogue::CONFIG_CONFLICT,
            &[
                ("version", &version),
                ("operator", operator),
                ("winner", &name),
            ],
        );
        Acceptance::Conflict(winner, version)
    }

    fn activate(&self, row: &Row, source: Source) {
        let version = ConfigVersion(row.version);
        // A configuration that cannot be parsed is logged by `advance`.
        let _ = self.configuration.advance(version, &row.value, source);
    }
}

fn append_change(content: &mut Content, change: Change) {
    content.history.push(change);
    let surplus = content.history.len().saturating_sub(MAX_HISTORY);
    content.history.drain(..surplus);
}

fn encode(content: &Content) -> String {
    serde_json::to_string(content).unwrap_or_default()
}
