//! The port for the upstream of this node: its announcements and the calls that it makes.

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
use crate::port::incoming::{Builder, Profile};
use crate::port::reply;
use crate::retry::Budget;
use crate::upstream::{Announcement, Upstream};
use sailtrack_admission::Admission;
use sailtrack_admission::Policy;
use sailtrack_settings::Identity;

/// The path at which the upstream announces itself.
const ANNOUNCE: &str = "/.sailtrack/announce";

/// Handles the requests of the upstream of this node.
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
    pub(crate) on_announcement: Box<dyn Fn()>,
}

impl Handler for LocalPort {
    async fn handle(&self, request: Request) -> Response {
        if request.path == ANNOUNCE {
            return self.handle_announcement(&request);
        }
        let in_flight_guard = Guard::new(&self.in_flight);
        let response = self.handle_call(request).await;
        drop(in_flight_guard);
        response
    }
}

impl LocalPort {
    fn handle_announcement(&self, request: &Request) -> Response {
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
            let slot_count = slots.unwrap_or(0);
            emit(
                &catalogue::UPSTREAM_ANNOUNCED,
                &[("service", &self.identity.service), ("slots", &slot_count)],
            );
        }
        (self.on_announcement)();
        Response::new(StatusCode::NO_CONTENT, "")
    }

    async fn handle_call(&self, request: Request) -> Response {
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
            // The caller of this execution has disconnected, so further work for it would be
            // wasted.
            Some(None) => reply::response(&Answer::not_run(Reason::Cancelled)),
            Some(Some(context)) => {
                let answer = self.call_within(&context, service, request).await;
                reply::response(&answer)
            }
            None => self.call_without_context(service, request).await,
        }
    }

    /// Dispatches a call that belongs to an execution in the own upstream.
    async fn call_within(
        &self,
        context: &Rc<Context>,
        service: ServiceName,
        request: Request,
    ) -> Answer {
        let Some(profile) = self.profile(&service, &request) else {
            return Answer::not_run(Reason::Undeclared);
        };
        let key = subcall_key(&service, &request);
        let call = Builder::new(profile, service, request)
            .for_execution(context)
            .build();
        let subcall_guard = context.begin_subcall();
        let answer = match (self.policy, call.repeat) {
            (Policy::Adaptive, Repeat::Never) => self.call_at_most_once(context, key, call).await,
            (Policy::Adaptive, _) => self.call_within_budget(context, key, call).await,
            _ => self.dispatcher.dispatch(call, &context.budget).await,
        };
        drop(subcall_guard);
        context.record_answer(&answer);
        answer
    }

    /// Dispatches a call, unless it is a retry and the retry budget is spent.
    async fn call_within_budget(
        &self,
        context: &Rc<Context>,
        key: SubcallKey,
        call: Call,
    ) -> Answer {
        if !context.register_call(&key) {
            return Answer::not_run(Reason::Allowance);
        }
        let answer = self.dispatcher.dispatch(call, &context.budget).await;
        if !answer.is_success() {
            context.record_failed_call(key);
        }
        answer
    }

    /// Dispatches a non-idempotent call, or returns the answer of the same call made before.
    ///
    /// The call continues in its own task if the upstream stops waiting. It is only repeated if it
    /// certainly did not run.
    async fn call_at_most_once(
        &self,
        context: &Rc<Context>,
        key: SubcallKey,
        call: Call,
    ) -> Answer {
        let previous = context.once.borrow().get(&key).cloned();
        if let Some(previous) = previous {
            let answer = previous.await;
            if answer.outcome != Outcome::NotRun {
                return answer;
            }
        }
        if !context.register_call(&key) {
            return Answer::not_run(Reason::Allowance);
        }
        let shared = self.start_at_most_once(context, call);
        context
            .once
            .borrow_mut()
            .insert(key.clone(), shared.clone());
        let answer = shared.await;
        if answer.outcome == Outcome::NotRun {
            context.record_failed_call(key);
        }
        answer
    }

    fn start_at_most_once(&self, context: &Rc<Context>, call: Call) -> SharedAnswer {
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

    /// Dispatches a call that belongs to no execution, such as one made by a timer in the upstream.
    async fn call_without_context(&self, service: ServiceName, request: Request) -> Response {
        let Some(profile) = self.profile(&service, &request) else {
            return reply::response(&Answer::not_run(Reason::Undeclared));
        };
        let call = Builder::new(profile, service, request).build();
        let budget = Budget::new(call.allowance);
        reply::response(&self.dispatcher.dispatch(call, &budget).await)
    }

    fn profile(&self, service: &ServiceName, request: &Request) -> Option<Profile> {
        let current = self.configuration.current();
        let kind = current
            .declaration
            .kind_of(service, request.method.as_str(), &request.path);
        kind.map(Profile::from).or_else(Profile::undeclared)
    }
}

/// Returns the key by which calls of the same execution are considered the same.
///
/// It contains the idempotency key if the upstream sent one, otherwise the body.
fn subcall_key(service: &ServiceName, request: &Request) -> SubcallKey {
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
