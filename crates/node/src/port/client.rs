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

use crate::call::Answer;
use crate::configuration::Configuration;
use crate::dispatch::Dispatcher;
use crate::entrance::Entrance;
use crate::header;
use crate::operator::{settled_key, verdict_of};
use crate::platform::{Expect, Platform, PlatformError, Written};
use crate::port::incoming::{Builder, Traits};
use crate::port::reply;
use crate::retry::Budget;
use crate::routing::{Routing, Target};
use crate::ticket::Tickets;
use sailtrack_admission::Policy;

/// Where clients get tickets.
const TICKETS: &str = "/.sailtrack/tickets";
/// How often a claim without an answer is tried again.
const CLAIM_ATTEMPTS: u32 = 3;

/// Answers clients.
pub(crate) struct ClientPort {
    pub(crate) policy: Policy,
    pub(crate) phase: Rc<Cell<Phase>>,
    pub(crate) configuration: Rc<Configuration>,
    pub(crate) dispatcher: Rc<Dispatcher>,
    pub(crate) entrance: Rc<Entrance>,
    pub(crate) routing: Rc<Routing>,
    pub(crate) tickets: Rc<Tickets>,
    pub(crate) platform: Rc<Platform>,
    pub(crate) in_flight: Rc<Cell<usize>>,
}

impl Handler for ClientPort {
    async fn handle(&self, request: Request) -> Response {
        let held = Guard::new(&self.in_flight);
        let response = self.answer(request).await;
        drop(held);
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
            return self.give_ticket(&request, &current.declaration);
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
        // Only its home can say of a ticketed request that it did not run.
        if let (None, Some(reason)) = (&ticket, self.closed()) {
            return self.refuse(reason);
        }
        self.dispatch(request, &kind, ticket).await
    }

    async fn dispatch(&self, request: Request, kind: &Kind, ticket: Option<Ticket>) -> Response {
        let traits = Traits::from(kind);
        let (id, is_chosen) = request_id(&request);
        let call = Builder::new(traits, kind.service.clone(), request)
            .request(id)
            .ticket(ticket)
            .build();
        let ticket = call.ticket.clone();
        let accounted = is_chosen && call.ticket.is_none() && self.policy == Policy::Adaptive;
        let answer = if accounted {
            self.entrance.request(call).await
        } else {
            let budget = Budget::new(call.allowance);
            self.dispatcher.dispatch(call, &budget).await
        };
        let answer = match ticket {
            Some(ticket) if answer.outcome == Outcome::Unknown => {
                self.settled(&ticket, answer).await
            }
            _ => answer,
        };
        reply::response(&answer).with(header::REQUEST, &id.to_string())
    }

    /// Returns what an operator settled about a request that nobody else knows about.
    async fn settled(&self, ticket: &Ticket, answer: Answer) -> Answer {
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

    /// Returns why the node takes no requests at present.
    fn closed(&self) -> Option<Reason> {
        match self.phase.get() {
            Phase::Joining => Some(Reason::NotConfigured),
            Phase::Serving => None,
            Phase::Draining | Phase::Stopped => Some(Reason::Draining),
        }
    }

    fn refuse(&self, reason: Reason) -> Response {
        reply::response(&self.dispatcher.executor.later(Answer::not_run(reason)))
    }

    /// Returns the ticket of a non-idempotent request, or the refusal of one without.
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

    /// Returns the one ticket that stands for a client's key, from the platform's table.
    ///
    /// Whoever writes the row first decides the ticket; a write whose answer is
    /// lost is tried again and then meets its own row.
    async fn claim(&self, key: &str, kind: &Kind) -> Result<Ticket, Box<Response>> {
        let row = format!("claims/{}/{}", kind.name, RequestId::from_key(key));
        let Some(ticket) = self.mint(kind) else {
            return Err(Box::new(self.unresolved()));
        };
        for _ in 0..CLAIM_ATTEMPTS {
            let written = self
                .platform
                .write(&row, Expect::Absent, ticket.to_string())
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

    /// Returns the answer for a key of which an earlier copy may have run.
    fn unresolved(&self) -> Response {
        let answer = Answer::unknown(Reason::Platform);
        reply::response(&self.dispatcher.executor.later(answer))
    }

    fn give_ticket(
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
        if let Some(reason) = self.closed() {
            return self.refuse(reason);
        }
        match self.mint(kind) {
            Some(ticket) => Response::text(StatusCode::CREATED, format!("{ticket}\n"))
                .with(header::TICKET, &ticket.to_string()),
            None => self.refuse(Reason::NoUpstream),
        }
    }

    /// Makes a ticket for a node that serves the kind at present.
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
