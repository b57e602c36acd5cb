//! Handles queries and commands of operators.

mod burn;
mod change;
mod query;
mod reply;
mod settle;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Instant;

use http::StatusCode;
use sailtrack_kernel::{Phase, Service};
use sailtrack_language::Command;
use sailtrack_net::http::{Request, Response};
use sailtrack_net::task;
use sailtrack_units::OperatorName;
use sailtrack_wire::State;

use crate::accountant::Accountant;
use crate::burn::Burn;
use crate::configuration::{Acceptor, Configuration};
use crate::header;
use crate::membership::{Gossip, Membership};
use crate::metrics::{Metrics, Snapshot};
use crate::peer::Peers;
use crate::platform::Platform;
use crate::routing::Routing;
use crate::ticket::Tickets;
use crate::unknown::Unknowns;
use crate::upstream::Upstream;
pub(crate) use query::unknown_key;
use reply::Refusal;
use sailtrack_admission::Admission;
use sailtrack_settings::Identity;
pub(crate) use settle::{settled_key, verdict_of};

/// Handles queries and commands of operators.
pub(crate) struct Operator {
    pub(crate) identity: Identity,
    pub(crate) phase: Rc<Cell<Phase>>,
    pub(crate) configuration: Rc<Configuration>,
    pub(crate) acceptor: Rc<Acceptor>,
    pub(crate) platform: Rc<Platform>,
    pub(crate) membership: Rc<Membership>,
    pub(crate) gossip: Rc<Gossip>,
    pub(crate) admission: Rc<Admission>,
    pub(crate) routing: Rc<Routing>,
    pub(crate) peers: Rc<Peers>,
    pub(crate) tickets: Rc<Tickets>,
    pub(crate) unknowns: Rc<Unknowns>,
    pub(crate) upstream: Rc<Upstream>,
    pub(crate) metrics: Rc<Metrics>,
    pub(crate) burn: Rc<Burn>,
    pub(crate) accountant: Rc<Accountant>,
}

impl Service for Operator {
    const NAME: &'static str = "operator";
}

/// The operator who issues a command, and the command's id.
#[derive(Debug, Clone)]
struct Author {
    operator: OperatorName,
    command: String,
}

impl Operator {
    /// Handles one command or query.
    pub(crate) async fn command(&self, request: &Request) -> Response {
        match self.try_command(request).await {
            Ok(response) => response,
            Err(refusal) => refusal.response(),
        }
    }

    /// Proposes a complete declaration.
    pub(crate) async fn apply(&self, request: &Request) -> Response {
        match self.try_apply(request).await {
            Ok(response) => response,
            Err(refusal) => refusal.response(),
        }
    }

    async fn try_command(&self, request: &Request) -> Result<Response, Refusal> {
        let text = std::str::from_utf8(&request.body).map_err(|_| Refusal::NotText)?;
        let command = sailtrack_language::parse(text).map_err(Refusal::Syntax)?;
        match &command {
            Command::Show(subject, conditions) => {
                Ok(self.show(*subject, conditions).await.response())
            }
            Command::Count(subject, field, conditions) => {
                Ok(self.count(*subject, field, conditions).await.response())
            }
            Command::ShowConfig => Ok(self.show_config()),
            Command::ShowCommand(id) => Ok(self.show_command(id).await),
            Command::Settle(ticket, verdict) => {
                self.settle(&author(request)?, ticket, *verdict).await
            }
            change => self.change(&author(request)?, request, change).await,
        }
    }

    /// Returns one line on the health of the node.
    pub(crate) fn health(&self) -> String {
        format!(
            "{} phase={} upstream={} config={} platform={}\n",
            self.identity,
            self.phase.get(),
            if self.upstream.is_ready(Instant::now()) {
                "ready"
            } else {
                "not-ready"
            },
            self.configuration.version(),
            if self.platform.is_reachable() {
                "reachable"
            } else {
                "unreachable"
            },
        )
    }

    /// Returns all metrics in the text format for scraping.
    pub(crate) fn scrape(&self) -> String {
        let now = Instant::now();
        let all = self.membership.all();
        let dead = all
            .iter()
            .filter(|(_, state)| *state == State::Dead)
            .count();
        let (tickets, ticket_bytes) = self.tickets.size();
        self.metrics.scrape(Snapshot {
            limit: self.admission.limit(now),
            in_flight: self.admission.in_flight(),
            waiting: self.admission.waiting(),
            level: self.admission.level(now).index(),
            config_version: self.configuration.version().0,
            members: all.len() - dead,
            members_dead: dead,
            tickets,
            ticket_bytes: ticket_bytes.0,
            unknown: self.unknowns.open().len(),
            peer_connections: self.peers.count(),
            upstream_connections: self.upstream.idle_connections(),
            platform_operations: self.platform.operations(),
            panics: task::panics(),
            requests: self.accountant.len(),
            ejected: self.routing.ejected().len(),
            reported_load: self.upstream.reported_load().unwrap_or_default(),
        })
    }
}

/// Returns the author of a command; both the operator's name and the command's id are required.
fn author(request: &Request) -> Result<Author, Refusal> {
    let operator = request.header(header::OPERATOR).map(str::parse);
    let Some(Ok(operator)) = operator else {
        return Err(Refusal::NoOperator);
    };
    let command = request.header(header::COMMAND).unwrap_or_default();
    if command.is_empty() {
        return Err(Refusal::NoCommandId);
    }
    Ok(Author {
        operator,
        command: command.to_owned(),
    })
}

/// Returns a JSON response.
fn json(status: StatusCode, value: &serde_json::Value) -> Response {
    Response::json(status, value.to_string())
}
