//! The port for clients.

use std::cell::Cell;
use std::rc::Rc;

use http::{Method, StatusCode};
use sailtrack_declaration::{Kind, Repeat};
use sailtrack_kernel::Phase;
use sailtrack_net::http::{Handler, Request, Response};
use sailtrack_net::task::Guard;
use sailtrack_units::{RequestId, Ticket};
use sailtrack_wire::{Outcome, Reason};

use crate::accountant::Accountant;
use crate::call::Answer;
use crate::configuration::Configuration;
use crate::dispatch::Dispatcher;
use crate::header;
use crate::operator::{settled_key, verdict_of};
use crate::platform::{Platform, PlatformError, Precondition, Written};
use crate::port::incoming::{Builder, Profile};
use crate::port::reply;
use crate::retry::Budget;
use crate::routing::{Routing, Target};
use crate::ticket::Tickets;
use sailtrack_admission::Policy;

/// The path at which clients get tickets.
const TICKETS: &str = "/.sailtrack/tickets";
/// Number of attempts to write a claim that gets no answer.
const CLAIM_ATTEMPTS: u32 = 3;

/// Handles the requests of clients.
pub(crate) struct ClientPort {
    pub(crate) policy: Policy,
    pub(crate) phase: Rc<Cell<Phase>>,
    pub(crate) configuration: Rc<Configuration>,
    pub(crate) dispatcher: Rc<Dispatcher>,
    pub(crate) accountant: Rc<Accountant>,
    pub(crate) routing: Rc<Routing>,
    pub(crate) tickets: Rc<Tickets>,
    pub(crate) platform: Rc<Platform>,
    pub(crate) in_flight: Rc<Cell<usize>>,
}

impl Handler for ClientPort {
    async fn handle(&self, request: Request) -> Response {
        let in_flight_guard = Guard::new(&self.in_flight);
        let response = self.answer(request).await;
        drop(in_flight_guard);
        response
    }

    fn is_closing(&self) -> bool {
        self.phase.get() > Phase::Serving
    }
}

impl ClientPort {
    async fn answer(&self, request: Request) -> Response {
        let current = self.configuration.current();
        if request.path == TICKETS {
            return self.issue_ticket(&request, &current.declaration);
        }
        let kind = current
            .declaration
            .entry_kind(request.method.as_str(), &request.path);
        let Some(kind) = kind.cloned() else {
            let text = format!(
                "no kind is declared for {} {}",
                request.method, request.path
            );
            return reply::not_run(StatusCode::NOT_FOUND, &text);
        };
        let ticket = match self.ticket_of(&request, &kind).await {
            Ok(ticket) => ticket,
            Err(response) => return *response,
        };
        // Only the home node can tell that a request with a ticket did not run.
        if let (None, Some(reason)) = (&ticket, self.unavailable_reason()) {
            return self.refuse(reason);
        }
        self.dispatch(request, &kind, ticket).await
    }

    async fn dispatch(&self, request: Request, kind: &Kind, ticket: Option<Ticket>) -> Response {
        let profile = Profile::from(kind);
        let (id, is_client_chosen) = request_id(&request);
        let call = Builder::new(profile, kind.service.clone(), request)
            .request(id)
            .ticket(ticket)
            .build();
        let ticket = call.ticket.clone();
        let needs_accounting =
            is_client_chosen && call.ticket.is_none() && self.policy == Policy::Adaptive;
        let answer = if needs_accounting {
            self.accountant.submit(call).await
        } else {
            let budget = Budget::new(call.allowance);
            self.dispatcher.dispatch(call, &budget).await
        };
        let answer = match ticket {
            Some(ticket) if answer.outcome == Outcome::Unknown => {
                self.apply_settlement(&ticket, answer).await
            }
            _ => answer,
        };
        reply::response(&answer).with(header::REQUEST, &id.to_string())
    }

    /// Returns what an operator settled, for a request whose outcome no node knows any more.
    async fn apply_settlement(&self, ticket: &Ticket, answer: Answer) -> Answer {
        if !matches!(answer.reason, Reason::HomeGone | Reason::TicketExpired) {
            return answer;
        }
        let row = self.platform.read(&settled_key(&ticket.to_string())).await;
        let verdict = row.ok().flatten().and_then(|row| verdict_of(&row.value));
        match verdict.as_deref() {
            Some("done") => {
                let text = "done: settled by an operator, the answer itself is not kept\n";
                Answer::done(
                    StatusCode::OK.as_u16(),
                    "text/plain".to_owned(),
                    text.into(),
                )
            }
            Some("not-run") => Answer::not_run(Reason::TicketClosed),
            _ => answer,
        }
    }

    /// Returns why the node accepts no requests at present, if so.
    fn unavailable_reason(&self) -> Option<Reason> {
        match self.phase.get() {
            Phase::Joining => Some(Reason::NotConfigured),
            Phase::Serving => None,
            Phase::Draining | Phase::Stopped => Some(Reason::Draining),
        }
    }

    fn refuse(&self, reason: Reason) -> Response {
        reply::response(
            &self
                .dispatcher
                .executor
                .retry_later(Answer::not_run(reason)),
        )
    }

    /// Returns the ticket of a non-idempotent request, or a refusal if it has neither a ticket nor
    /// an idempotency key.
    async fn ticket_of(
        &self,
        request: &Request,
        kind: &Kind,
    ) -> Result<Option<Ticket>, Box<Response>> {
        if kind.repeat != Repeat::Never || self.policy != Policy::Adaptive {
            return Ok(None);
        }
        if let Some(text) = request.header(header::TICKET) {
            return text.parse().map(Some).map_err(|error| {
                let text = format!("{error}");
                Box::new(reply::not_run(StatusCode::BAD_REQUEST, &text))
            });
        }
        if let Some(key) = request.header(header::IDEMPOTENCY_KEY) {
            return self.claim(key, kind).await.map(Some);
        }
        let text = format!(
            "{} runs at most once: get a ticket by POST {TICKETS} with {}, or bring {}",
            kind.name,
            header::KIND,
            header::IDEMPOTENCY_KEY
        );
        Err(Box::new(reply::not_run(
            StatusCode::PRECONDITION_REQUIRED,
            &text,
        )))
    }

    /// Returns the ticket that belongs to a client's idempotency key, from the platform's table.
    ///
    /// Whoever writes the row first determines the ticket; a write whose answer is lost is retried
    /// and then finds its own row.
    async fn claim(&self, key: &str, kind: &Kind) -> Result<Ticket, Box<Response>> {
        let row = format!("claims/{}/{}", kind.name, RequestId::from_key(key));
        let Some(ticket) = self.mint(kind) else {
            return Err(Box::new(self.unresolved()));
        };
        for _ in 0..CLAIM_ATTEMPTS {
            let written = self
                .platform
                .write(&row, Precondition::Absent, ticket.to_string())
                .await;
            match written {
                Ok(Written::Done(_)) => return Ok(ticket),
                Ok(Written::Conflict(row)) => {
                    return row.value.parse().map_err(|_| Box::new(self.unresolved()));
                }
                Err(PlatformError::Unanswered) => {}
                Err(_) => break,
            }
        }
        Err(Box::new(self.unresolved()))
    }

    /// Returns the answer if the ticket of a key cannot be determined: an earlier copy of the
    /// request may have run.
    fn unresolved(&self) -> Response {
        let answer = Answer::unknown(Reason::Platform);
        reply::response(&self.dispatcher.executor.retry_later(answer))
    }

    fn issue_ticket(
        &self,
        request: &Request,
        declaration: &sailtrack_declaration::Declaration,
    ) -> Response {
        if request.method != Method::POST {
            return reply::not_run(StatusCode::METHOD_NOT_ALLOWED, "tickets are got by POST");
        }
        let name = request
            .header(header::KIND)
            .and_then(|kind| kind.parse().ok());
        let kind = name.and_then(|name| declaration.kind(&name));
        let Some(kind) = kind else {
            let text = format!("{} must name a declared kind", header::KIND);
            return reply::not_run(StatusCode::BAD_REQUEST, &text);
        };
        if let Some(reason) = self.unavailable_reason() {
            return self.refuse(reason);
        }
        match self.mint(kind) {
            Some(ticket) => Response::text(StatusCode::CREATED, format!("{ticket}\n"))
                .with(header::TICKET, &ticket.to_string()),
            None => self.refuse(Reason::NoUpstream),
        }
    }

    /// Mints a ticket for a node that serves the kind at present.
    fn mint(&self, kind: &Kind) -> Option<Ticket> {
        match self.routing.choose_home(&kind.service) {
            Some(Target::Local) => Some(self.tickets.mint_here()),
            Some(Target::Remote(peer)) => {
                Some(self.tickets.mint(peer.name.clone(), peer.incarnation))
            }
            None => None,
        }
    }
}

/// Returns the id of a request, and whether the client chose it.
fn request_id(request: &Request) -> (RequestId, bool) {
    match request.header(header::REQUEST) {
        Some(text) => {
            let id = text.parse().unwrap_or_else(|_| RequestId::from_key(text));
            (id, true)
        }
        None => (RequestId::draw(&mut rand::rng()), false),
    }
}
