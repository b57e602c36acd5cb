//! Dispatches requests: selects upstreams and retries within bounds.

mod attempt;
mod outstanding;
#[cfg(test)]
mod tests;

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use sailtrack_admission::Pressure;
use sailtrack_kernel::Service;
use sailtrack_quarantine::{Identity, Standing};
use sailtrack_units::NodeName;
use sailtrack_wire::{Outcome, Reason};

use crate::clock;
use crate::configuration::Route;
use crate::directory::Directory;
use crate::dispatch::attempt::Progress;
use crate::dispatch::outstanding::Outstanding;
use crate::events::Events;
use crate::gate::Gate;
use crate::metrics::Metrics;
use crate::quarantine::Quarantine;
use crate::request::{OverLimit, Request, Response};
use crate::retry::Budget;
use crate::retry_after;
use crate::routing::{Routing, Target};
use crate::suspension;

/// The most times a request that could not be sent to its target is redirected to another one.
const MAX_REDIRECTS: u32 = 2;
/// The most times a request that was refused for the rate limit of an upstream is redirected. It is
/// refused only by upstreams that this node did not know to be at their limits, such as when many
/// have just named one.
const MAX_RATE_REDIRECTS: u32 = 4;
/// The most times a request rejected by an upstream is sent to another one, within the retry
/// budget. If each upstream rejects half of its requests, 31 of 32 requests are accepted by the
/// fifth attempt.
const MAX_REJECTIONS: u32 = 4;

/// Dispatches requests to upstreams until there is a final response.
pub(crate) struct Dispatcher {
    pub(crate) routing: Rc<Routing>,
    pub(crate) gate: Rc<Gate>,
    pub(crate) budget: Rc<Budget>,
    pub(crate) quarantine: Rc<Quarantine>,
    pub(crate) suspension: Rc<suspension::Detector>,
    pub(crate) directory: Rc<Directory>,
    pub(crate) events: Rc<Events>,
    pub(crate) metrics: Rc<Metrics>,
}

impl Service for Dispatcher {
    const NAME: &'static str = "dispatcher";
}

/// The path of a request, for log events; also available after its deadline has passed.
#[derive(Debug, Default)]
pub(crate) struct Trail {
    identity: Cell<Option<Identity>>,
    node: RefCell<Option<NodeName>>,
    tries: Cell<u32>,
    /// A failure that an upstream answered, for the case that no better answer comes in time.
    failure: RefCell<Option<Response>>,
}

impl Trail {
    /// Returns the node to which the request was sent last.
    pub(crate) fn node(&self) -> Option<NodeName> {
        self.node.borrow().clone()
    }

    /// Returns the identity of the request, once its body has been read.
    pub(crate) fn identity(&self) -> Option<Identity> {
        self.identity.get()
    }

    /// Sets the identity of the request.
    pub(crate) fn set_identity(&self, identity: Identity) {
        self.identity.set(Some(identity));
    }

    /// Returns how many times the request was sent to a node.
    pub(crate) fn tries(&self) -> u32 {
        self.tries.get()
    }

    /// Returns the failure that an upstream answered to an earlier attempt.
    pub(crate) fn take_failure(&self) -> Option<Response> {
        self.failure.take()
    }

    fn keep_failure(&self, response: &Response) {
        if response.outcome != Outcome::Done || response.is_success() {
            return;
        }
        // A streamed body cannot be kept.
        if let Some(copy) = response.try_clone() {
            self.failure.replace(Some(copy));
        }
    }

    fn record(&self, node: &NodeName) {
        self.node.replace(Some(node.clone()));
        self.tries.set(self.tries.get() + 1);
    }
}

/// The attempts made for one request.
#[derive(Default)]
struct Attempts {
    nodes: Vec<NodeName>,
    /// The number of upstreams on which the request may have run.
    executions: u32,
    /// The number of times an upstream rejected the request without running it.
    rejections: u32,
    /// The number of times the request was redirected without having been sent.
    redirects: u32,
    /// The number of times it was redirected for the rate limit of an upstream.
    rate_redirects: u32,
    /// A response after which the request may have run, an upstream's if there is one; no refusal can
    /// prove otherwise.
    executed: Option<Response>,
    /// The most informative refusal.
    refused: Option<Response>,
}

impl Attempts {
    /// Records the response to an attempt that has ended.
    fn record(&mut self, response: Response, trail: &Trail) {
        if response.outcome == Outcome::NotRun {
            self.refused = Some(more_informative(self.refused.take(), response));
            return;
        }
        trail.keep_failure(&response);
        let is_better = match &self.executed {
            Some(executed) => {
                response.outcome == Outcome::Done || executed.outcome != Outcome::Done
            }
            None => true,
        };
        if is_better {
            self.executed = Some(response);
        }
    }

    /// Returns true if an upstream has answered.
    fn is_answered(&self) -> bool {
        let executed = self.executed.as_ref();
        executed.is_some_and(|response| response.outcome == Outcome::Done)
    }

    /// Returns the final response.
    fn finish(self) -> Response {
        self.executed.or(self.refused).unwrap_or_else(|| {
            Response::refused(Reason::NoUpstream).with_retry_after(retry_after::no_upstream())
        })
    }
}

impl Dispatcher {
    /// Dispatches a request and returns its final response; dropping the future cancels it.
    pub(crate) async fn dispatch(
        &self,
        mut request: Request,
        route: &Route,
        trail: &Trail,
    ) -> Response {
        let mut attempts = Attempts::default();
        let mut outstanding = Outstanding::default();
        self.suspension.catch_up().await;
        self.budget.record_request(&request, clock::now());
        loop {
            // A quarantine may have been reported while the previous attempt ran.
            let standing = self.quarantine.standing(&request.identity);
            if standing.is_quarantined() {
                attempts.record(Response::refused(Reason::Quarantined), trail);
                break;
            }
            request.known_crashes = standing.known_crashes();
            let Some(target) = self.choose(&request, standing, &mut attempts) else {
                break;
            };
            request.over_limit = self.over_limit(&target);
            trail.record(target.name(&self.routing.name));
            let attempt = self.attempt(request.clone(), target.clone());
            let progress = match outstanding.unless_success(attempt, trail).await {
                Ok(progress) => progress,
                Err(response) => return response,
            };
            let response = progress.response();
            // A suspect runs at one upstream at a time.
            let may_retry = (progress.has_ended() || standing == Standing::Clear)
                && self.may_retry(&request, route, response, &mut attempts);
            if may_retry {
                self.record_retry(&mut request, &target, response, &mut attempts);
            }
            match progress {
                Progress::Ended(response) => attempts.record(response, trail),
                Progress::Overdue(_, exchange) => outstanding.push(exchange),
            }
            if !may_retry {
                break;
            }
        }
        settle(outstanding, attempts, trail).await
    }

    /// Records that a request is sent to another upstream after this response.
    fn record_retry(
        &self,
        request: &mut Request,
        target: &Target,
        response: &Response,
        attempts: &mut Attempts,
    ) {
        let name = target.name(&self.routing.name);
        self.events.log_retry(&request.attempt, name, response);
        if response.was_sent {
            self.metrics.record_retry(&request.service);
        }
        if response.turn.is_none() {
            attempts.nodes.push(name.clone());
        }
        request.is_retry |= response.was_sent;
    }

    /// Selects the next target. Upstreams that rejected the request are tried again when no other
    /// one is left.
    fn choose(
        &self,
        request: &Request,
        standing: Standing,
        attempts: &mut Attempts,
    ) -> Option<Target> {
        let target = self.choose_untried(request, standing, attempts);
        let is_final = standing != Standing::Clear || target.is_some();
        if is_final || attempts.rejections == 0 || attempts.executions > 0 {
            return target;
        }
        attempts.nodes.clear();
        self.choose_untried(request, standing, attempts)
    }

    /// Returns what happens at a target whose rate limit is used up. Targets that are known to be at
    /// their limits are chosen only if there is no other one.
    fn over_limit(&self, target: &Target) -> OverLimit {
        if self.routing.is_available(target) {
            OverLimit::Refuse
        } else {
            OverLimit::Queue
        }
    }

    fn choose_untried(
        &self,
        request: &Request,
        standing: Standing,
        attempts: &Attempts,
    ) -> Option<Target> {
        if standing == Standing::Clear {
            return self.routing.choose(request, &attempts.nodes);
        }
        let (service, identity) = (&request.service, &request.identity);
        self.routing
            .choose_by_identity(service, &attempts.nodes, identity)
    }

    /// Returns true if the request may be sent to another target.
    fn may_retry(
        &self,
        request: &Request,
        route: &Route,
        response: &Response,
        attempts: &mut Attempts,
    ) -> bool {
        let is_restricted = matches!(response.reason, Reason::Quarantined | Reason::OnTrial);
        if response.is_success() || is_restricted || request.time_left().is_zero() {
            return false;
        }
        if response.turn.is_some() {
            attempts.rate_redirects += 1;
            return request.over_limit == OverLimit::Refuse
                && attempts.rate_redirects <= MAX_RATE_REDIRECTS;
        }
        if !response.was_sent {
            attempts.redirects += 1;
            return attempts.redirects <= MAX_REDIRECTS;
        }
        let is_allowed = if response.outcome == Outcome::NotRun {
            attempts.rejections += 1;
            attempts.rejections <= MAX_REJECTIONS
        } else {
            attempts.executions += 1;
            request.idempotent && !is_retry_futile(response) && attempts.executions < route.attempts
        };
        let nodes = self.directory.len() + 1;
        is_allowed && self.budget.try_acquire(request, clock::now(), nodes)
    }
}

/// Returns true if retrying a failed request is futile.
///
/// A failed nested call has already been retried as far as that helps, and retrying the whole
/// request would repeat all its calls. Queueing at an upstream is no reason to give up: when one of
/// a request's five calls loses its response, the work of all five is lost, and under high load
/// requests always queue somewhere.
fn is_retry_futile(response: &Response) -> bool {
    response.failed_below || response.path_pressure >= Pressure::OVERLOADED
}

/// Returns the response that is more informative for the caller.
///
/// Overload is still reported if the next node that was tried has no upstream: its response has a
/// useful retry delay and tells the calling services to reduce their load.
fn more_informative(previous: Option<Response>, response: Response) -> Response {
    let is_overload =
        |response: &Response| matches!(response.reason, Reason::Overload | Reason::UpstreamShed);
    match previous {
        Some(previous)
            if response.outcome == Outcome::NotRun
                && !is_overload(&response)
                && is_overload(&previous) =>
        {
            previous
        }
        _ => response,
    }
}

/// Waits for the overdue attempts, unless an upstream has answered, and returns the final response.
async fn settle(
    mut outstanding: Outstanding<'_>,
    mut attempts: Attempts,
    trail: &Trail,
) -> Response {
    while !attempts.is_answered()
        && let Some(response) = outstanding.next().await
    {
        attempts.record(response, trail);
    }
    attempts.finish()
}
