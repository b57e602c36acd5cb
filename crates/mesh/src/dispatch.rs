//! Brings a request to an answer: chooses upstreams and tries again within bounds.

#[cfg(test)]
mod tests;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use futures::future::{Either, select};
use monoio::time::sleep;
use sailtrack_admission::Pressure;
use sailtrack_kernel::Service;
use sailtrack_quarantine::{Identity, Standing};
use sailtrack_units::NodeName;
use sailtrack_wire::{Outcome, Reason};

use crate::clock;
use crate::configuration::Route;
use crate::directory::Directory;
use crate::events::Events;
use crate::gate::Gate;
use crate::metrics::Metrics;
use crate::peer::{Delivery, Link};
use crate::quarantine::Quarantine;
use crate::request::{Request, Response};
use crate::retry::Budget;
use crate::retry_after;
use crate::routing::{Routing, Target};
use crate::suspension;

/// How often a request that no upstream has seen is brought elsewhere.
const MOST_REDIRECTS: u32 = 2;
/// How often a request that upstreams turned away is sent to another one, within the budget. An
/// upstream that turns away half of its requests lets 31 in 32 in at the fifth try.
const MOST_TURNED_AWAY: u32 = 4;
/// How often a node that may stand still is looked at while it works on a request.
const SILENCE_LOOK: Duration = Duration::from_millis(250);

/// Brings requests to an answer.
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

/// Which way a request went, for the log; it is known also when the time ran out on the way.
#[derive(Debug, Default)]
pub(crate) struct Trail {
    identity: Cell<Option<Identity>>,
    node: RefCell<Option<NodeName>>,
    tries: Cell<u32>,
}

impl Trail {
    /// Returns the node that had it last.
    pub(crate) fn node(&self) -> Option<NodeName> {
        self.node.borrow().clone()
    }

    /// Returns what it asks, once all of it has come.
    pub(crate) fn identity(&self) -> Option<Identity> {
        self.identity.get()
    }

    /// Notes what it asks.
    pub(crate) fn identify(&self, identity: Identity) {
        self.identity.set(Some(identity));
    }

    /// Returns how often it was brought to a node.
    pub(crate) fn tries(&self) -> u32 {
        self.tries.get()
    }

    fn note(&self, node: &NodeName) {
        self.node.replace(Some(node.clone()));
        self.tries.set(self.tries.get() + 1);
    }
}

/// What has been tried for one request.
#[derive(Default)]
struct Tries {
    nodes: Vec<NodeName>,
    /// How many upstreams it may have run on.
    ran_on: u32,
    /// How often an upstream turned it away without running it.
    turned_away: u32,
    /// How often it was brought elsewhere without having been sent.
    redirects: u32,
    /// The first end after which it may have run; no later refusal can say that it did not.
    ran: Option<Response>,
}

impl Dispatcher {
    /// Brings a request to its final answer; dropping the future cancels it.
    pub(crate) async fn dispatch(
        &self,
        mut work: Request,
        route: &Route,
        trail: &Trail,
    ) -> Response {
        let mut tries = Tries::default();
        let mut last = None;
        self.suspension.catch_up().await;
        self.budget.note_request(&work, clock::now());
        loop {
            // What is held against it may have become known while it ran.
            let standing = self.quarantine.standing(&work.identity);
            if standing.is_quarantined() {
                last = Some(Response::refused(Reason::Quarantined));
                break;
            }
            work.known_crashes = standing.known_crashes();
            let Some(target) = self.choose(&work, standing, &mut tries) else {
                break;
            };
            trail.note(target.name(&self.routing.name));
            let returned = self.attempt(&work, &target).await;
            let goes_on = self.goes_on(&work, route, &returned, &mut tries);
            if !goes_on {
                return conclude(tries.ran, Some(more_telling(last, returned)));
            }
            let name = target.name(&self.routing.name);
            self.events.log_retry(&work.attempt, name, &returned);
            if returned.was_sent {
                self.metrics.record_retry(&work.service);
            }
            tries.nodes.push(name.clone());
            work.is_retry |= returned.was_sent;
            if returned.outcome == Outcome::NotRun {
                last = Some(more_telling(last, returned));
            } else if tries.ran.is_none() {
                tries.ran = Some(returned);
            }
        }
        conclude(tries.ran, last)
    }

    /// Returns where the request goes next; upstreams that turned it away are asked again when
    /// no other one is left.
    fn choose(&self, work: &Request, standing: Standing, tries: &mut Tries) -> Option<Target> {
        if standing != Standing::Clear {
            return self
                .routing
                .preferred(&work.service, &tries.nodes, &work.identity);
        }
        let target = self.routing.choose(work, &tries.nodes);
        if target.is_some() || tries.turned_away == 0 || tries.ran.is_some() {
            return target;
        }
        tries.nodes.clear();
        self.routing.choose(work, &tries.nodes)
    }

    /// Returns true if the request may be sent to one more upstream.
    fn goes_on(
        &self,
        work: &Request,
        route: &Route,
        returned: &Response,
        tries: &mut Tries,
    ) -> bool {
        let is_held_back = matches!(returned.reason, Reason::Quarantined | Reason::OnTrial);
        if returned.is_success() || is_held_back || work.time_left().is_zero() {
            return false;
        }
        if !returned.was_sent {
            tries.redirects += 1;
            return tries.redirects <= MOST_REDIRECTS;
        }
        let may_go_on = if returned.outcome == Outcome::NotRun {
            tries.turned_away += 1;
            tries.turned_away <= MOST_TURNED_AWAY
        } else {
            tries.ran_on += 1;
            work.idempotent && !is_hopeless(returned) && tries.ran_on < route.attempts
        };
        let nodes = self.directory.len() + 1;
        may_go_on && self.budget.take(work, clock::now(), nodes)
    }

    async fn attempt(&self, work: &Request, target: &Target) -> Response {
        let outstanding = self.routing.begin(work, target);
        let returned = match target {
            Target::Local => self.gate.run(work.clone()).await,
            Target::Remote(link) => attempt_remote(work, link).await,
        };
        outstanding.note(&returned);
        returned
    }
}

/// Returns true if a request that failed would fail again.
///
/// A failure further down was repeated there as far as that helps; the whole request would make
/// all its calls again. An upstream whose requests wait is no reason: one lost answer in five
/// calls of a request loses all of them, and while demand is high requests always wait somewhere.
fn is_hopeless(returned: &Response) -> bool {
    returned.failed_below || returned.path_pressure >= Pressure::OVERLOADED
}

/// Returns which of two ends the caller is told of.
///
/// A full upstream stays the reason if the next node that was asked has none: it tells when to
/// come back, and the services above that they begin too much.
fn more_telling(before: Option<Response>, returned: Response) -> Response {
    let is_room =
        |returned: &Response| matches!(returned.reason, Reason::Overload | Reason::UpstreamShed);
    match before {
        Some(before)
            if returned.outcome == Outcome::NotRun && !is_room(&returned) && is_room(&before) =>
        {
            before
        }
        _ => returned,
    }
}

/// Returns what is true of a request after its last attempt.
fn conclude(ran: Option<Response>, last: Option<Response>) -> Response {
    match (ran, last) {
        (Some(ran), Some(last)) if last.outcome == Outcome::NotRun => ran,
        (_, Some(last)) => last,
        (Some(ran), None) => ran,
        (None, None) => {
            Response::refused(Reason::NoUpstream).with_retry_after(retry_after::no_upstream())
        }
    }
}

async fn attempt_remote(work: &Request, link: &Link) -> Response {
    if !work.idempotent {
        return match link.forward(work).await {
            Delivery::Answered(returned) => returned,
            Delivery::Unsent => Response::refused(Reason::Connection),
            Delivery::Lost(life) => link.recall(&work.attempt, life).await,
        };
    }
    let forward = std::pin::pin!(link.forward(work));
    let silence = std::pin::pin!(wait_for_silence(link));
    match select(forward, silence).await {
        Either::Left((Delivery::Answered(returned), _)) => returned,
        Either::Left((Delivery::Unsent, _)) => Response::refused(Reason::Connection),
        Either::Left((Delivery::Lost(_), _)) | Either::Right(_) => {
            Response::unknown(Reason::Connection)
        }
    }
}

/// Waits until nothing has come from the node for too long.
async fn wait_for_silence(link: &Link) {
    while !link.is_silent() {
        sleep(SILENCE_LOOK).await;
    }
}
