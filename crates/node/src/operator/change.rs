//! Executes commands that change the configuration.

use std::time::{Duration, Instant};

use http::StatusCode;
use monoio::time::sleep;
use sailtrack_declaration::{Declaration, Service};
use sailtrack_language::Command;
use sailtrack_net::http::{Request, Response};
use sailtrack_units::{ConfigVersion, NodeName};
use serde_json::{Value, json};

use crate::configuration::{Acceptance, Change, Proposal};
use crate::operator::reply::Refusal;
use crate::operator::{Author, Operator, json};

/// How long the node waits for the members to activate a new version.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval between two rounds of version queries.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(100);
/// Header with the version on which a change is based.
const BASE: &str = "sailtrack-base";

impl Operator {
    /// Executes a command that changes a part of the declaration.
    pub(super) async fn change(
        &self,
        author: &Author,
        request: &Request,
        command: &Command,
    ) -> Result<Response, Refusal> {
        let base = self.base(request)?;
        let current = self.configuration.current();
        let mut declaration = current.declaration.clone();
        edit(&mut declaration, command)?;
        if declaration == current.declaration {
            return Err(Refusal::NoChange);
        }
        Ok(self
            .submit(author, base, command.to_string(), declaration)
            .await)
    }

    pub(super) async fn try_apply(&self, request: &Request) -> Result<Response, Refusal> {
        let author = super::author(request)?;
        let base = self.base(request)?;
        let text = std::str::from_utf8(&request.body).map_err(|_| Refusal::NotText)?;
        let declaration = Declaration::parse("declaration", text).map_err(Refusal::Declaration)?;
        let summary = "apply".to_owned();
        Ok(self.submit(&author, base, summary, declaration).await)
    }

    /// Returns the outcome of a command issued earlier.
    pub(crate) async fn show_command(&self, id: &str) -> Response {
        let operator = "unknown".parse();
        let base = self.configuration.version();
        let Ok(operator) = operator else {
            return json(StatusCode::BAD_REQUEST, &json!({"result": "unknown"}));
        };
        let in_history = self.find_in_history(id);
        let acceptance = match in_history {
            Some(change) => Acceptance::Accepted(change.version),
            None => self.acceptor.resolve(id, &operator, base).await,
        };
        let shown = match acceptance {
            Acceptance::Conflict(..) => json!({"result": "not-accepted", "command": id}),
            other => body(id, &other, None),
        };
        json(StatusCode::OK, &shown)
    }

    fn find_in_history(&self, id: &str) -> Option<Change> {
        let current = self.configuration.current();
        let mut history = current.content.history.iter();
        history.find(|change| change.command == id).cloned()
    }

    fn base(&self, request: &Request) -> Result<ConfigVersion, Refusal> {
        match request.header(BASE) {
            Some(text) => text.parse().map_err(|_| Refusal::Base),
            None => Ok(self.configuration.version()),
        }
    }

    async fn submit(
        &self,
        author: &Author,
        base: ConfigVersion,
        summary: String,
        declaration: Declaration,
    ) -> Response {
        let proposal = Proposal {
            command: author.command.clone(),
            operator: author.operator.clone(),
            base,
            summary,
            declaration,
        };
        let acceptance = self.acceptor.accept(proposal).await;
        let status = match acceptance {
            Acceptance::Accepted(_) => StatusCode::OK,
            Acceptance::Conflict(..) => StatusCode::CONFLICT,
            Acceptance::Refused(_) => StatusCode::SERVICE_UNAVAILABLE,
            Acceptance::Unknown => StatusCode::GATEWAY_TIMEOUT,
        };
        let in_force = match acceptance {
            Acceptance::Accepted(version) => Some(self.await_activation(version).await),
            _ => None,
        };
        json(
            status,
            &body(&author.command, &acceptance, in_force.as_ref()),
        )
    }

    /// Queries the members until all have activated the version or the timeout has passed, and
    /// reports which are missing.
    async fn await_activation(&self, version: ConfigVersion) -> Value {
        let started = Instant::now();
        self.gossip.spread().await;
        loop {
            self.gossip.query_versions().await;
            sleep(CONFIRM_INTERVAL).await;
            let missing = self.missing(version);
            let total = self.membership.alive().len() + 1;
            if missing.is_empty() || started.elapsed() >= CONFIRM_TIMEOUT {
                let names: Vec<String> = missing.iter().map(ToString::to_string).collect();
                return json!({
                    "instances": total,
                    "in_force": total - names.len(),
                    "missing": names,
                    "after_ms": u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX),
                });
            }
        }
    }

    fn missing(&self, version: ConfigVersion) -> Vec<NodeName> {
        let alive = self.membership.alive().into_iter();
        let names = alive.map(|peer| peer.name.clone());
        names
            .filter(|name| self.gossip.version_of(name) < version)
            .collect()
    }
}

/// Returns the report about a change for the operator.
fn body(command: &str, acceptance: &Acceptance, in_force: Option<&Value>) -> Value {
    match acceptance {
        Acceptance::Accepted(version) => json!({
            "result": "accepted", "command": command, "version": version.0, "in_force": in_force,
        }),
        Acceptance::Conflict(winner, version) => json!({
            "result": "conflict", "command": command, "version": version.0, "winner": winner,
        }),
        Acceptance::Refused(error) => json!({
            "result": "refused", "command": command, "error": error.to_string(),
        }),
        Acceptance::Unknown => json!({
            "result": "unknown", "command": command,
            "error": "ask again: show command, when the platform answers",
        }),
    }
}

fn edit(declaration: &mut Declaration, command: &Command) -> Result<(), Refusal> {
    match command {
        Command::SetLimit(name, limit) => {
            let mut services = declaration.services.iter_mut();
            let service: &mut Service = services
                .find(|service| service.name == *name)
                .ok_or_else(|| missing("service", name))?;
            service.limit = *limit;
        }
        Command::Drain(node) => {
            declaration.drained.insert(node.clone());
        }
        Command::Restore(node) => {
            if !declaration.drained.remove(node) {
                return Err(missing("drained upstream", node));
            }
        }
        Command::MoveEvent(name, start) => {
            let mut events = declaration.events.iter_mut();
            let event = events
                .find(|event| event.name == *name)
                .ok_or_else(|| missing("event", name))?;
            event.start = *start;
        }
        Command::CancelEvent(name) => {
            let before = declaration.events.len();
            declaration.events.retain(|event| event.name != *name);
            if declaration.events.len() == before {
                return Err(missing("event", name));
            }
        }
        _ => return Err(Refusal::NoChange),
    }
    Ok(())
}

fn missing(what: &'static str, name: &impl ToString) -> Refusal {
    Refusal::Missing {
        what,
        name: name.to_string(),
    }
}
