//! The port for the own upstream: its announcements and the calls that it makes.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Instant;

use futures::FutureExt as _;
use futures::channel::oneshot;
use http::StatusCode;
use sailtrack_declaration::Repeat;
use sailtrack_log::{catalogue, emit};
use sailtrack_net::http::{Handler, Request, Response};
use sailtrack_net::task::{self, Guard};
use sailtrack_units::ServiceName;
use sailtrack_wire::{Outcome, Reason};
use xxhash_rust::xxh3::Xxh3;

use crate::call::{Answer, Call};
use crate::configuration::Configuration;
use crate::context::{Context, Contexts, SharedAnswer, SubcallKey};
use crate::dispatch::Dispatcher;
use crate::header;
use crate::port::incoming::{Builder, Traits};
use crate::port::reply;
use crate::retry::Budget;
use crate::upstream::{Announcement, Upstream};
use sailtrack_admission::Admission;
use sailtrack_admission::Policy;
use sailtrack_settings::Identity;

/// Where the upstream announces itself.
const ANNOUNCE: &str = "/.sailtrack/announce";

/// Answers the own upstream.
pub(crate) struct LocalPort {
    pub(crate) policy: Policy,
    pub(crate) identity: Identity,
    pub(crate) configuration: Rc<Configuration>,
    pub(crate) contexts: Rc<Contexts>,
    pub(crate) dispatcher: Rc<Dispatcher>,
    pub(crate) upstream: Rc<Upstream>,
    pub(crate) admission: Rc<Admission>,
    pub(crate) in_flight: Rc<Cell<usize>>,
    /// Called after each announcement.
    pub(crate) announced: Box<dyn Fn()>,
}

impl Handler for LocalPort {
    async fn handle(&self, request: Request) -> Response {
        if request.path == ANNOUNCE {
            return self.take_announcement(&request);
        }
        let held = Guard::new(&self.in_flight);
        let response = self.take_call(request).await;
        drop(held);
        response
    }
}

impl LocalPort {
    fn take_announcement(&self, request: &Request) -> Response {
        let announcement: Announcement = match serde_json::from_slice(&request.body) {
            Ok(announcement) => announcement,
            Err(error) => {
                let text = format!("the announcement is not sound: {error}");
                return Response::text(StatusCode::BAD_REQUEST, text);
            }
        };
        let now = Instant::now();
        let slots = announcement.slots;
        if self.upstream.announce(announcement, now) {
            self.admission.reset(now, slots);
            let shown = slots.unwrap_or(0);
            emit(
                &catalogue::UPSTREAM_ANNOUNCED,
                &[("service", &self.identity.service), ("slots", &shown)],
            );
        }
        (self.announced)();
        Response::new(StatusCode::NO_CONTENT, "")
    }

    async fn take_call(&self, request: Request) -> Response {
        let service = request
            .header(header::SERVICE)
            .map(str::parse::<ServiceName>);
        let Some(Ok(service)) = service else {
            let text = format!("{} must name the service to call", header::SERVICE);
            return reply::not_run(StatusCode::BAD_REQUEST, &text);
        };
        let token = request.header(header::CONTEXT);
        let context = token.map(|token| self.contexts.find(token));
        match context {
            // The caller of this execution has left, so more work for it is wasted.
            Some(None) => reply::response(&Answer::not_run(Reason::Cancelled)),
            Some(Some(context)) => {
                let answer = self.call_within(&context, service, request).await;
                reply::response(&answer)
            }
            None => self.call_from_outside(service, request).await,
        }
    }

    /// Makes a call for an execution of the own upstream.
    async fn call_within(
        &self,
        context: &Rc<Context>,
        service: ServiceName,
        request: Request,
    ) -> Answer {
        let Some(traits) = self.traits(&service, &request) else {
            return Answer::not_run(Reason::Undeclared);
        };
        let key = identity(&service, &request);
        let call = Builder::new(traits, service, request)
            .within(context)
            .build();
        let outside = context.step_outside();
        let answer = match (self.policy, call.repeat) {
            (Policy::Adaptive, Repeat::Never) => self.call_once(context, key, call).await,
            (Policy::Adaptive, _) => self.call_bounded(context, key, call).await,
            _ => self.dispatcher.dispatch(call, &context.budget).await,
        };
        drop(outside);
        context.note_answer(&answer);
        answer
    }

    /// Makes a call unless it is a retry for which nothing is left.
    async fn call_bounded(&self, context: &Rc<Context>, key: SubcallKey, call: Call) -> Answer {
        if !context.may_call(&key) {
            return Answer::not_run(Reason::Allowance);
        }
        let answer = self.dispatcher.dispatch(call, &context.budget).await;
        if !answer.is_success() {
            context.note_failed(key);
        }
        answer
    }

    /// Makes a non-idempotent call, or gives the answer of the same call made before.
    ///
    /// It goes on in a task of its own when the upstream stops waiting. Only a
    /// call that certainly did not run is made again.
    async fn call_once(&self, context: &Rc<Context>, key: SubcallKey, call: Call) -> Answer {
        let earlier = context.once.borrow().get(&key).cloned();
        if let Some(earlier) = earlier {
            let answer = earlier.await;
            if answer.outcome != Outcome::NotRun {
                return answer;
            }
        }
        if !context.may_call(&key) {
            return Answer::not_run(Reason::Allowance);
        }
        let shared = self.start_once(context, call);
        context
            .once
            .borrow_mut()
            .insert(key.clone(), shared.clone());
        let answer = shared.await;
        if answer.outcome == Outcome::NotRun {
            context.note_failed(key);
        }
        answer
    }

    fn start_once(&self, context: &Rc<Context>, call: Call) -> SharedAnswer {
        let (sender, receiver) = oneshot::channel();
        let dispatcher = Rc::clone(&self.dispatcher);
        let budget = context.budget.clone();
        task::spawn("call made once", async move {
            let answer = dispatcher.dispatch(call, &budget).await;
            // The upstream may have stopped waiting.
            let _ = sender.send(answer);
        });
        let answer =
            receiver.map(|answer| answer.unwrap_or_else(|_| Answer::unknown(Reason::Cancelled)));
        answer.boxed_local().shared()
    }

    /// Makes a call that belongs to no request, such as one of a timer in the upstream.
    async fn call_from_outside(&self, service: ServiceName, request: Request) -> Response {
        let Some(traits) = self.traits(&service, &request) else {
            return reply::response(&Answer::not_run(Reason::Undeclared));
        };
        let call = Builder::new(traits, service, request).build();
        let budget = Budget::new(call.allowance);
        reply::response(&self.dispatcher.dispatch(call, &budget).await)
    }

    fn traits(&self, service: &ServiceName, request: &Request) -> Option<Traits> {
        let current = self.configuration.current();
        let kind = current
            .declaration
            .kind_of(service, request.method.as_str(), &request.path);
        kind.map(Traits::from).or_else(Traits::undeclared)
    }
}

/// Returns what makes a call the same as another one made for the same execution.
///
/// A key chosen by the upstream decides; without one it is the whole content.
fn identity(service: &ServiceName, request: &Request) -> SubcallKey {
    let mut hash = Xxh3::new();
    hash.update(service.as_str().as_bytes());
    hash.update(request.method.as_str().as_bytes());
    hash.update(request.path.as_bytes());
    match request.header(header::IDEMPOTENCY_KEY) {
        Some(key) => hash.update(key.as_bytes()),
        None => hash.update(&request.body),
    }
    SubcallKey(hash.digest128())
}
