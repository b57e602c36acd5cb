//! Dispatches calls: chooses targets, retries within limits and honours tickets.

use std::rc::Rc;
use std::time::Duration;

use monoio::time::sleep;
use rand::Rng as _;
use sailtrack_declaration::Repeat;
use sailtrack_kernel::Service;
use sailtrack_units::{NodeName, Ticket};
use sailtrack_wire::{Outcome, Reason, State};

use crate::burn::Burn;
use crate::call::{Answer, Call, is_overload};
use crate::execute::{Executor, may_have_run};
use crate::membership::Membership;
use crate::metrics::Metrics;
use crate::peer::Peers;
use crate::retry::{Budget, Limiter};
use crate::routing::{NoTarget, Routing, Target};
use crate::ticket::Tickets;
use crate::unknown::Unknowns;
use sailtrack_admission::Policy;
use sailtrack_settings::Identity;

/// Limit on redirects of a call that certainly did not run.
const MAX_REDIRECTS: u32 = 2;
/// Limit on further attempts at the home node of a ticket after a lost answer.
const MAX_HOME_RETRIES: u32 = 3;
/// Delay before the home node of a ticket is tried again.
const HOME_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Limit on retries under the fixed policy.
const FIXED_RETRIES: u32 = 2;

/// Dispatches calls to targets and returns their final answers.
pub(crate) struct Dispatcher {
    pub(crate) policy: Policy,
    pub(crate) identity: Identity,
    pub(crate) membership: Rc<Membership>,
    pub(crate) routing: Rc<Routing>,
    pub(crate) peers: Rc<Peers>,
    pub(crate) executor: Rc<Executor>,
    pub(crate) retry_limiter: Rc<Limiter>,
    pub(crate) tickets: Rc<Tickets>,
    pub(crate) unknowns: Rc<Unknowns>,
    pub(crate) metrics: Rc<Metrics>,
    pub(crate) burn: Rc<Burn>,
}

impl Service for Dispatcher {
    const NAME: &'static str = "dispatcher";
}

/// What to do after an unsuccessful attempt.
enum Action {
    /// Return the answer to the caller.
    Stop,
    /// The call did not run: try another target; this costs no retry allowance.
    Redirect,
    /// The call may have run: retry it; this costs retry allowance.
    Retry,
}

/// The answers to the earlier attempts of a call.
///
/// Once an attempt may have run, a later refusal must not be reported as "not run".
#[derive(Default)]
struct Attempts {
    ambiguous: Option<Answer>,
    refused: Option<Answer>,
}

impl Attempts {
    fn record(&mut self, answer: Answer) {
        if may_have_run(&answer) {
            self.ambiguous = Some(answer);
        } else {
            self.refused = Some(answer);
        }
    }

    /// Returns the answer to report if `answer` came from the last attempt.
    fn or_final(self, answer: Answer) -> Answer {
        match self.ambiguous {
            Some(ambiguous) if !may_have_run(&answer) => ambiguous,
            _ => answer,
        }
    }

    /// Returns the answer to report if no target is left to try.
    fn or_no_target(self, refusal: impl FnOnce() -> Answer) -> Answer {
        self.ambiguous.or(self.refused).unwrap_or_else(refusal)
    }
}

impl Dispatcher {
    /// Dispatches a call and returns its final answer.
    pub(crate) async fn dispatch(&self, call: Call, budget: &Budget) -> Answer {
        let answer = match (self.policy, call.repeat, &call.ticket) {
            (Policy::Forward, ..) => self.forward(&call, budget).await,
            (Policy::Fixed, ..) => self.dispatch_fixed(&call, budget).await,
            (Policy::Adaptive, Repeat::Never, Some(ticket)) => {
                self.call_home(&call, ticket, budget, false).await
            }
            (Policy::Adaptive, Repeat::Never, None) => {
                self.dispatch_at_most_once(&call, budget).await
            }
            (Policy::Adaptive, Repeat::Retry | Repeat::Once, _) => {
                self.dispatch_repeatable(&call, budget).await
            }
        };
        self.metrics.record_dispatched(&call, &answer);
        self.burn.record(&call.kind, &answer);
        answer
    }

    /// Dispatches a call without a ticket, retrying within its allowance if its kind permits it.
    async fn dispatch_repeatable(&self, call: &Call, budget: &Budget) -> Answer {
        let mut tried: Vec<NodeName> = Vec::new();
        let mut redirects = 0;
        let mut attempts = Attempts::default();
        loop {
            let target = match self.routing.choose(call, &tried) {
                Ok(target) => target,
                Err(none) => return attempts.or_no_target(|| self.refuse(none)),
            };
            let answer = self.attempt(call, &target, budget).await;
            if answer.is_success() {
                self.retry_limiter.record_success(&call.service);
                return answer;
            }
            match self.next_action(call, &answer, budget, redirects) {
                Action::Stop => return attempts.or_final(answer),
                Action::Redirect => {
                    redirects += 1;
                    tried.push(self.name_of(&target));
                }
                Action::Retry => {}
            }
            attempts.record(answer);
        }
    }

    fn next_action(&self, call: &Call, answer: &Answer, budget: &Budget, redirects: u32) -> Action {
        if call.time_left().is_zero() {
            return Action::Stop;
        }
        if !may_have_run(answer) {
            let within_limit = redirects < MAX_REDIRECTS;
            let within_ratio = !is_overload(answer.reason)
                || self.retry_limiter.try_acquire(&call.service, call.rank);
            return if within_limit && within_ratio {
                Action::Redirect
            } else {
                Action::Stop
            };
        }
        let overloaded_below = answer.level > call.rank;
        let may_retry = call.repeat == Repeat::Retry && !overloaded_below;
        if may_retry && self.retry_limiter.try_acquire(&call.service, call.rank) && budget.spend() {
            self.metrics.record_retry();
            return Action::Retry;
        }
        Action::Stop
    }

    /// Dispatches a non-idempotent call for which this node issues the tickets.
    ///
    /// A refusal by the home node closes its ticket for good, so a new ticket with another home
    /// node is safe.
    async fn dispatch_at_most_once(&self, call: &Call, budget: &Budget) -> Answer {
        let mut tried: Vec<NodeName> = Vec::new();
        let mut last_answer: Option<Answer> = None;
        for _ in 0..=MAX_REDIRECTS {
            let target = match self.routing.choose(call, &tried) {
                Ok(target) => target,
                Err(none) => return last_answer.unwrap_or_else(|| self.refuse(none)),
            };
            let ticket = self.mint_for(&target);
            let ticketed = Call {
                ticket: Some(ticket.clone()),
                ..call.clone()
            };
            let answer = self.call_home(&ticketed, &ticket, budget, true).await;
            let retry = !may_have_run(&answer)
                && (!is_overload(answer.reason)
                    || self.retry_limiter.try_acquire(&call.service, call.rank));
            if !retry {
                if answer.is_success() {
                    self.retry_limiter.record_success(&call.service);
                }
                return answer;
            }
            tried.push(self.name_of(&target));
            last_answer = Some(answer);
        }
        last_answer.unwrap_or_else(|| self.refuse(NoTarget::Unreachable))
    }

    /// Sends a call to the home node of its ticket and asks again if the answer is lost.
    ///
    /// `is_first_copy` means that no other copy of the call can exist, so if it could not be sent
    /// it certainly did not run.
    async fn call_home(
        &self,
        call: &Call,
        ticket: &Ticket,
        budget: &Budget,
        is_first_copy: bool,
    ) -> Answer {
        let mut may_have_arrived = !is_first_copy;
        for attempt in 0..=MAX_HOME_RETRIES {
            let Some(target) = self.home_of(ticket) else {
                break;
            };
            let answer = self.attempt(call, &target, budget).await;
            let unsent = answer.outcome == Outcome::NotRun && answer.reason == Reason::Connection;
            let lost = answer.outcome == Outcome::Unknown && answer.reason == Reason::Connection;
            if !unsent && !lost {
                return self.record_outcome(call, ticket, answer);
            }
            if unsent && !may_have_arrived {
                return answer;
            }
            may_have_arrived = true;
            if attempt < MAX_HOME_RETRIES && !call.time_left().is_zero() {
                sleep(HOME_RETRY_DELAY).await;
            }
        }
        let answer = self.query_successors(call, ticket, budget).await;
        self.record_outcome(call, ticket, answer)
    }

    /// Asks the nodes to which the home node handed over its answers when it shut down.
    async fn query_successors(&self, call: &Call, ticket: &Ticket, budget: &Budget) -> Answer {
        for successor in self.routing.successors(&call.service, ticket) {
            let answer = self.attempt(call, &successor, budget).await;
            let is_unaware = matches!(answer.reason, Reason::HomeGone | Reason::Connection);
            if !is_unaware {
                return answer;
            }
        }
        self.executor.retry_later(Answer::unknown(Reason::HomeGone))
    }

    fn record_outcome(&self, call: &Call, ticket: &Ticket, answer: Answer) -> Answer {
        if answer.outcome == Outcome::Unknown {
            self.unknowns.record(call, ticket, answer.reason);
        } else {
            self.unknowns.resolve(ticket);
        }
        answer
    }

    /// Returns the home node of a ticket, unless the incarnation in the ticket is known to have
    /// ended.
    fn home_of(&self, ticket: &Ticket) -> Option<Target> {
        if self.tickets.is_home(ticket) {
            return Some(Target::Local);
        }
        let (peer, state) = self.membership.find(&ticket.home)?;
        let same_incarnation = peer.incarnation == ticket.incarnation;
        (same_incarnation && state != State::Dead).then_some(Target::Remote(peer))
    }

    fn mint_for(&self, target: &Target) -> Ticket {
        match target {
            Target::Local => self.tickets.mint_here(),
            Target::Remote(peer) => self.tickets.mint(peer.name.clone(), peer.incarnation),
        }
    }

    /// Makes one attempt: sends a call to a target and waits for the answer.
    async fn attempt(&self, call: &Call, target: &Target, budget: &Budget) -> Answer {
        let reservation = budget.reserve();
        let call = Call {
            allowance: reservation.amount(),
            ..call.clone()
        };
        let outstanding = self.routing.track(target);
        let root_kind = call.root_kind.clone();
        let answer = match target {
            Target::Local => self.executor.execute(call).await,
            Target::Remote(peer) => self.peers.call(peer, &call).await,
        };
        drop(outstanding);
        reservation.refund(answer.used);
        self.routing.record_answer(target, &root_kind, &answer);
        answer
    }

    fn name_of(&self, target: &Target) -> NodeName {
        match target {
            Target::Local => self.identity.name.clone(),
            Target::Remote(peer) => peer.name.clone(),
        }
    }

    fn refuse(&self, none: NoTarget) -> Answer {
        let answer = match none {
            NoTarget::Unreachable => Answer::not_run(Reason::NoUpstream),
            NoTarget::Overload(level) => Answer::not_run(Reason::Overload).at_level(level),
        };
        self.executor.retry_later(answer)
    }

    /// Forwards a call without retries: the first baseline policy.
    async fn forward(&self, call: &Call, budget: &Budget) -> Answer {
        match self.routing.choose(call, &[]) {
            Ok(target) => self.attempt(call, &target, budget).await,
            Err(none) => self.refuse(none),
        }
    }

    /// Retries on this hop within the retry ratio: the second baseline policy.
    async fn dispatch_fixed(&self, call: &Call, budget: &Budget) -> Answer {
        let mut last_answer = None;
        for attempt in 0..=FIXED_RETRIES {
            if attempt > 0 && !self.retry_limiter.try_acquire(&call.service, call.rank) {
                break;
            }
            let target = match self.routing.choose(call, &[]) {
                Ok(target) => target,
                Err(none) => return self.refuse(none),
            };
            let answer = self.attempt(call, &target, budget).await;
            if answer.is_success() {
                self.retry_limiter.record_success(&call.service);
                return answer;
            }
            let may_retry = call.repeat == Repeat::Retry || !may_have_run(&answer);
            last_answer = Some(answer);
            if !may_retry || call.time_left().is_zero() {
                break;
            }
            let pause = rand::rng().random_range(1..10);
            sleep(Duration::from_millis(pause)).await;
        }
        last_answer.unwrap_or_else(|| self.refuse(NoTarget::Unreachable))
    }
}
