//! Accepts an operator's change by compare-and-set of the configuration's row.
//!
//! The write that takes effect is the acceptance. When its answer is lost the
//! row is read, and if the write is not there a fence is written, after which
//! it cannot take effect any more; only then is anything said to the operator.

use std::rc::Rc;

use sailtrack_declaration::Declaration;
use sailtrack_kernel::Service;
use sailtrack_log::{catalogue, emit};
use sailtrack_units::{ConfigVersion, OperatorName, Timestamp};

use crate::configuration::{CONFIG_KEY, Change, Configuration, Content, Source};
use crate::platform::{Platform, PlatformError, Precondition, Row, Written};

/// The most changes kept in the history.
const HISTORY: usize = 64;
/// How often an unanswered write is looked for before the outcome is called unknown.
const RESOLVE_ATTEMPTS: u32 = 3;
/// The summary of a change that only keeps an earlier write from taking effect.
const FENCE: &str = "fence";

/// A change that an operator asks for.
#[derive(Debug, Clone)]
pub(crate) struct Proposal {
    pub(crate) command: String,
    pub(crate) operator: OperatorName,
    /// The version that the operator based the change on.
    pub(crate) base: ConfigVersion,
    pub(crate) summary: String,
    pub(crate) declaration: Declaration,
}

/// What became of a change.
#[derive(Debug, Clone)]
pub(crate) enum Acceptance {
    /// It was accepted as this version.
    Accepted(ConfigVersion),
    /// Another change was accepted first; this one had no effect.
    Conflict(Option<Change>, ConfigVersion),
    /// It had no effect and cannot take effect later.
    Refused(PlatformError),
    /// It may or may not take effect; ask again by the command's id.
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
    /// Tries to get a change accepted and says what became of it.
    pub(crate) async fn accept(&self, decision: Proposal) -> Acceptance {
        let base = decision.base;
        let text = self.content_with(&decision);
        let expect = match base.0 {
            0 => Precondition::Absent,
            version => Precondition::Version(version),
        };
        match self.platform.write(CONFIG_KEY, expect, text).await {
            Ok(Written::Done(row)) => self.accepted(&decision, &row),
            Ok(Written::Conflict(row)) => self.lost(&decision.command, &decision.operator, &row),
            Err(PlatformError::Unanswered | PlatformError::Malformed) => {
                self.resolve(&decision.command, &decision.operator, base)
                    .await
            }
            Err(error) => Acceptance::Refused(error),
        }
    }

    /// Finds out what became of a command that was based on `base`.
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
                    return self.lost(command, operator, &row);
                }
                row => self.fence(operator, row.as_ref()).await,
            }
        }
        Acceptance::Unknown
    }

    /// Raises the version without a change, so that an earlier write can no longer take effect.
    async fn fence(&self, operator: &OperatorName, row: Option<&Row>) {
        let content = row.and_then(|row| serde_json::from_str(&row.value).ok());
        let mut content: Content = content.unwrap_or_default();
        let version = row.map_or(0, |row| row.version);
        push(
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
        // Whether it took effect is seen by the next reading.
        let _ = self
            .platform
            .write(CONFIG_KEY, expect, encode(&content))
            .await;
    }

    fn content_with(&self, decision: &Proposal) -> String {
        let mut content = self.configuration.current().content.clone();
        content.declaration = decision.declaration.to_string();
        push(
            &mut content,
            Change {
                command: decision.command.clone(),
                operator: decision.operator.clone(),
                version: ConfigVersion(decision.base.0 + 1),
                at: Timestamp::now(),
                summary: decision.summary.clone(),
            },
        );
        encode(&content)
    }

    fn accepted(&self, decision: &Proposal, row: &Row) -> Acceptance {
        let version = ConfigVersion(row.version);
        emit(
            &catalogue::CONFIG_ACCEPTED,
            &[
                ("version", &version),
                ("operator", &decision.operator),
                ("command", &decision.command),
            ],
        );
        self.put_into_force(row, Source::Operator);
        Acceptance::Accepted(version)
    }

    /// Returns the outcome of a command whose version is not the one that it wrote itself.
    fn lost(&self, command: &str, operator: &OperatorName, row: &Row) -> Acceptance {
        self.put_into_force(row, Source::Platform);
        let content: Content = serde_json::from_str(&row.value).unwrap_or_default();
        let own = content
            .history
            .iter()
            .find(|change| change.command == command);
        if let Some(own) = own {
            return Acceptance::Accepted(own.version);
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

    fn put_into_force(&self, row: &Row, source: Source) {
        let version = ConfigVersion(row.version);
        // A configuration that cannot be read is logged where it is refused.
        let _ = self.configuration.raise(version, &row.value, source);
    }
}

fn push(content: &mut Content, change: Change) {
    content.history.push(change);
    let surplus = content.history.len().saturating_sub(HISTORY);
    content.history.drain(..surplus);
}

fn encode(content: &Content) -> String {
    serde_json::to_string(content).unwrap_or_default()
}
