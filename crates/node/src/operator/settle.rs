//! Settles requests whose outcome is unknown.

use http::StatusCode;
use sailtrack_language::Verdict;
use sailtrack_log::{catalogue, emit};
use sailtrack_net::http::Response;
use sailtrack_units::Ticket;
use sailtrack_wire::State;
use serde_json::json;

use crate::operator::query::unknown_key;
use crate::operator::reply::Refusal;
use crate::operator::{Author, Operator, json};
use crate::platform::{PlatformError, Precondition, Written};

/// Key prefix of settled outcomes in the platform's table.
const SETTLED_PREFIX: &str = "settled/";

/// Returns the key of the row that settles a ticket.
pub(crate) fn settled_key(ticket: &str) -> String {
    format!("{SETTLED_PREFIX}{ticket}")
}

/// Returns the verdict in a row that settles a ticket.
pub(crate) fn verdict_of(row: &str) -> Option<String> {
    let value: serde_json::Value = serde_json::from_str(row).ok()?;
    value["verdict"].as_str().map(str::to_owned)
}

impl Operator {
    /// Records an operator's verdict on a request; the first verdict is final.
    pub(super) async fn settle(
        &self,
        author: &Author,
        ticket: &Ticket,
        verdict: Verdict,
    ) -> Result<Response, Refusal> {
        if self.is_home_alive(ticket) {
            return Err(Refusal::HomeAlive(ticket.home.to_string()));
        }
        let key = settled_key(&ticket.to_string());
        let value = json!({"verdict": verdict.to_string(), "operator": author.operator.as_str()});
        let value = value.to_string();
        let written = self
            .platform
            .write(&key, Precondition::Absent, value.clone())
            .await;
        Ok(match written {
            Ok(Written::Done(_)) => self.settled(author, ticket, verdict).await,
            Ok(Written::Conflict(row)) if row.value == value => {
                self.settled(author, ticket, verdict).await
            }
            Ok(Written::Conflict(row)) => {
                let first: serde_json::Value = serde_json::from_str(&row.value).unwrap_or_default();
                json(
                    StatusCode::CONFLICT,
                    &json!({"result": "conflict", "winner": first}),
                )
            }
            Err(error) => {
                let result = match error {
                    PlatformError::Unanswered | PlatformError::Malformed => "unknown",
                    PlatformError::Refused | PlatformError::Unreachable => "refused",
                };
                let body = json!({"result": result, "error": error.to_string()});
                json(StatusCode::SERVICE_UNAVAILABLE, &body)
            }
        })
    }

    async fn settled(&self, author: &Author, ticket: &Ticket, verdict: Verdict) -> Response {
        let text = ticket.to_string();
        self.unknowns.forget(&text);
        emit(
            &catalogue::OUTCOME_SETTLED,
            &[
                ("request", &text),
                ("verdict", &verdict),
                ("operator", &author.operator),
            ],
        );
        // A row that could not be removed is listed again and can be settled again with the same
        // verdict.
        let _ = self.platform.remove(&unknown_key(&text)).await;
        let body = json!({"result": "settled", "verdict": verdict.to_string()});
        json(StatusCode::OK, &body)
    }

    /// Returns true if the home node, which knows the outcome, is alive.
    fn is_home_alive(&self, ticket: &Ticket) -> bool {
        if self.tickets.is_home(ticket) {
            return true;
        }
        let found = self.membership.find(&ticket.home);
        found.is_some_and(|(peer, state)| {
            peer.incarnation == ticket.incarnation && state != State::Dead
        })
    }
}
