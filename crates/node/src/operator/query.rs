//! Answers queries from what this node knows.

use std::collections::BTreeMap;
use std::time::Instant;

use http::StatusCode;
use sailtrack_declaration::{Event, Limit};
use sailtrack_language::{Condition, Subject};
use sailtrack_net::http::Response;
use sailtrack_units::{KindName, ServiceName, Timestamp};
use sailtrack_wire::State;
use serde_json::json;

use crate::operator::reply::Listing;
use crate::operator::{Operator, json};
use crate::unknown::Unknown;

/// Key prefix of unknown outcomes in the platform's table.
const UNKNOWN_PREFIX: &str = "unknown/";

/// Returns the key of the row of an unknown outcome.
pub(crate) fn unknown_key(ticket: &str) -> String {
    format!("{UNKNOWN_PREFIX}{ticket}")
}

impl Operator {
    /// Returns the rows of a subject that meet the conditions.
    pub(crate) async fn show(&self, subject: Subject, conditions: &[Condition]) -> Listing {
        let mut notes = Vec::new();
        let rows = match subject {
            Subject::Events => self.events(),
            Subject::Upstreams => self.upstreams(),
            Subject::Services => self.services(),
            Subject::Kinds => self.kinds(),
            Subject::UnknownRequests => self.unknown(&mut notes).await,
            Subject::History => self.history(),
            Subject::Calls => self.calls(),
        };
        let fields = subject.fields();
        let meets = |row: &Vec<String>| {
            conditions.iter().all(|condition| {
                let at = fields.iter().position(|field| *field == condition.field);
                at.is_some_and(|at| condition.matches(&row[at]))
            })
        };
        Listing {
            columns: fields.iter().map(ToString::to_string).collect(),
            rows: rows.into_iter().filter(meets).collect(),
            notes,
        }
    }

    /// Returns the number of rows of a subject for each value of a field.
    pub(crate) async fn count(
        &self,
        subject: Subject,
        field: &str,
        conditions: &[Condition],
    ) -> Listing {
        let shown = self.show(subject, conditions).await;
        let at = shown.columns.iter().position(|column| column == field);
        let mut counts: BTreeMap<String, usize> = BTreeMap::new();
        for row in &shown.rows {
            *counts.entry(row[at.unwrap_or(0)].clone()).or_default() += 1;
        }
        let pairs = counts.into_iter();
        Listing {
            columns: vec![field.to_owned(), "count".to_owned()],
            rows: pairs
                .map(|(value, count)| vec![value, count.to_string()])
                .collect(),
            notes: shown.notes,
        }
    }

    /// Returns the active declaration.
    pub(crate) fn show_config(&self) -> Response {
        let current = self.configuration.current();
        let body = json!({
            "version": current.number.0,
            "declaration": current.content.declaration,
        });
        json(StatusCode::OK, &body)
    }

    fn events(&self) -> Vec<Vec<String>> {
        let now = Timestamp::now();
        let current = self.configuration.current();
        let events = current.declaration.events.iter();
        let rows = events.map(|event| {
            vec![
                event.name.to_string(),
                event_state(event, now).to_owned(),
                event.start.to_string(),
                event.window.to_string(),
                join(&event.services),
            ]
        });
        rows.collect()
    }

    fn upstreams(&self) -> Vec<Vec<String>> {
        let local_member = self.membership.local_member();
        let own = vec![
            local_member.node.clone(),
            local_member.service.clone(),
            local_member.domain.clone(),
            state_word(local_member.state()).to_owned(),
            local_member.slots.to_string(),
            local_member.address.clone(),
            self.configuration.version().to_string(),
        ];
        let all = self.membership.all();
        let others = all.iter().map(|(peer, state)| {
            vec![
                peer.name.to_string(),
                peer.service.to_string(),
                peer.domain.to_string(),
                state_word(*state).to_owned(),
                peer.slots.to_string(),
                peer.address.to_string(),
                self.gossip.version_of(&peer.name).to_string(),
            ]
        });
        let mut rows: Vec<Vec<String>> = others.chain([own]).collect();
        rows.sort();
        rows
    }

    fn services(&self) -> Vec<Vec<String>> {
        let current = self.configuration.current();
        let services = current.declaration.services.iter();
        let rows = services.map(|service| {
            let (known, serving) = self.members_of(&service.name);
            vec![
                service.name.to_string(),
                self.limit_text(&service.name, service.limit),
                known.to_string(),
                serving.to_string(),
                self.highest_level(&service.name).to_string(),
            ]
        });
        rows.collect()
    }

    fn members_of(&self, service: &ServiceName) -> (usize, usize) {
        let all = self.membership.all();
        let others = all.iter().filter(|(peer, _)| peer.service == *service);
        let own = self.membership.local_member();
        let is_own = usize::from(own.service == service.as_str());
        let own_serving = usize::from(is_own == 1 && own.state() == State::Serving);
        let serving = self.membership.serving(service).len() + own_serving;
        (others.count() + is_own, serving)
    }

    /// Returns the declared limit, with the current one of this node if it serves the service.
    fn limit_text(&self, service: &ServiceName, limit: Limit) -> String {
        if *service == self.identity.service {
            return format!("{limit} ({} here)", self.admission.limit(Instant::now()));
        }
        limit.to_string()
    }

    /// Returns the highest rank that any kind currently needs to be admitted by a service.
    fn highest_level(&self, service: &ServiceName) -> u8 {
        let current = self.configuration.current();
        let kinds = current.declaration.kinds.iter();
        let levels = kinds.map(|kind| self.routing.level(service, &kind.name).index());
        levels.max().unwrap_or(0)
    }

    fn kinds(&self) -> Vec<Vec<String>> {
        let current = self.configuration.current();
        let kinds = current.declaration.kinds.iter();
        let rows = kinds.map(|kind| {
            vec![
                kind.name.to_string(),
                kind.service.to_string(),
                kind.route.to_string(),
                kind.repeat.to_string(),
                kind.allowance.to_string(),
                kind.importance.to_string(),
                kind.timeout.to_string(),
                kind.objective.to_string(),
            ]
        });
        rows.collect()
    }

    async fn unknown(&self, notes: &mut Vec<String>) -> Vec<Vec<String>> {
        let mut open: BTreeMap<String, Unknown> = BTreeMap::new();
        match self.platform.scan(UNKNOWN_PREFIX).await {
            Ok(rows) => {
                let saved = rows
                    .iter()
                    .filter_map(|row| serde_json::from_str(&row.value).ok());
                open.extend(saved.map(|unknown: Unknown| (unknown.ticket.clone(), unknown)));
            }
            Err(error) => notes.push(format!("only what this node knows: {error}")),
        }
        for unknown in self.unknowns.open() {
            open.insert(unknown.ticket.clone(), unknown);
        }
        let rows = open.into_values().map(|unknown| {
            vec![
                unknown.ticket,
                unknown.request,
                unknown.kind.to_string(),
                unknown.reason,
                unknown.since.to_string(),
                unknown.node.to_string(),
            ]
        });
        rows.collect()
    }

    fn history(&self) -> Vec<Vec<String>> {
        let current = self.configuration.current();
        let changes = current.content.history.iter().rev();
        let rows = changes.map(|change| {
            vec![
                change.version.to_string(),
                change.operator.to_string(),
                change.command.clone(),
                change.at.to_string(),
                change.summary.clone(),
            ]
        });
        rows.collect()
    }

    fn calls(&self) -> Vec<Vec<String>> {
        let tallies = self.metrics.tallies();
        let rows = tallies.into_iter().map(|((kind, importance), tally)| {
            let kind: KindName = kind;
            vec![
                kind.to_string(),
                importance.to_string(),
                tally.done.to_string(),
                tally.not_run.to_string(),
                tally.unknown.to_string(),
                tally.shed.to_string(),
            ]
        });
        rows.collect()
    }
}

fn event_state(event: &Event, now: Timestamp) -> &'static str {
    if event.is_active(now) {
        "active"
    } else if now >= event.end() {
        "over"
    } else if event.is_preparing_or_active(now) {
        "preparing"
    } else {
        "planned"
    }
}

fn state_word(state: State) -> &'static str {
    match state {
        State::Joining => "joining",
        State::Serving => "serving",
        State::Leaving => "leaving",
        State::Suspect => "suspect",
        State::Dead => "dead",
    }
}

fn join(services: &[ServiceName]) -> String {
    let names: Vec<&str> = services.iter().map(ServiceName::as_str).collect();
    names.join(", ")
}
