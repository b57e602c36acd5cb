//! How a call enters: it is admitted at once, waits in the queue, or is refused.

use std::rc::Rc;
use std::time::Duration;

use monoio::time::timeout;
use sailtrack_units::{Class, Rank};
use sailtrack_wire::Reason;

use crate::{Admission, Decision, Permit, Policy, Waiting};

/// The minimum self time assumed when sizing the queue, in seconds.
const MIN_SELF_TIME_S: f64 = 0.001;
/// The maximum capacity of the queue, in calls.
const MAX_QUEUE: usize = 1000;
/// The minimum capacity of the queue, in calls.
const MIN_QUEUE: usize = 4;

impl Admission {
    /// Waits for admission; `nested` says that the root request already runs in another service.
    pub async fn enter(
        self: &Rc<Self>,
        rank: Rank,
        nested: bool,
        time_left: Duration,
    ) -> Result<Permit, Reason> {
        let class = rank.importance().into();
        self.enter_in_class(class, rank, nested, time_left).await
    }

    /// Waits for admission in a given class, in which the importance of the workspace comes before
    /// that of the kind.
    pub async fn enter_in_class(
        self: &Rc<Self>,
        class: Class,
        rank: Rank,
        nested: bool,
        time_left: Duration,
    ) -> Result<Permit, Reason> {
        match self.submit_in_class((class, rank), nested, time_left) {
            Decision::Admitted(permit) => Ok(permit),
            Decision::Refused(reason) => Err(reason),
            Decision::Waiting(mut waiting) => {
                self.start_pacing();
                let outcome = timeout(waiting.max_wait, &mut waiting.outcome).await;
                waiting.resolve(outcome.ok().and_then(Result::ok))
            }
        }
    }

    /// Decides at once whether a call may run, has to wait or is refused.
    pub fn submit(self: &Rc<Self>, rank: Rank, nested: bool, time_left: Duration) -> Decision {
        self.submit_in_class((rank.importance().into(), rank), nested, time_left)
    }

    /// Takes a place in the upstream for a call that it already runs.
    pub fn reserve(self: &Rc<Self>) -> Option<Permit> {
        let limit = self.limit((self.clock)());
        if self.in_flight() >= limit || self.waiting() > 0 {
            return None;
        }
        self.in_flight.set(self.in_flight() + 1);
        Some(Permit::new(self))
    }

    fn submit_in_class(
        self: &Rc<Self>,
        priority: (Class, Rank),
        nested: bool,
        time_left: Duration,
    ) -> Decision {
        let now = (self.clock)();
        let limit = self.limit(now);
        if nested {
            self.state.borrow_mut().last_nested = Some(now);
        }
        if self.config.policy == Policy::Adaptive {
            self.state
                .borrow_mut()
                .level
                .record_arrival(now, priority.1);
        }
        let has_slot = self.in_flight() < limit;
        if has_slot && self.waiting() == 0 && self.has_token(now) {
            self.record_decision(true);
            self.count_admitted(now);
            return Decision::Admitted(Permit::new(self));
        }
        if !has_slot {
            self.record_saturation();
        }
        let waiting = match self.config.policy {
            Policy::Adaptive => self.enqueue(priority, nested, limit, time_left),
            Policy::Forward | Policy::Fixed => Err(Reason::Overload),
        };
        match waiting {
            Ok(waiting) => Decision::Waiting(waiting),
            Err(reason) => {
                self.record_decision(false);
                Decision::Refused(reason)
            }
        }
    }

    fn record_saturation(&self) {
        let mut state = self.state.borrow_mut();
        state.limit.record_saturation();
        state.level.record_saturation();
    }

    fn enqueue(
        self: &Rc<Self>,
        priority: (Class, Rank),
        nested: bool,
        limit: usize,
        time_left: Duration,
    ) -> Result<Waiting, Reason> {
        let max_wait = self.max_wait(nested, time_left)?;
        let capacity = self.queue_capacity(limit, max_wait);
        let capacity = capacity.min(self.admissible_within(max_wait));
        let queued = self
            .state
            .borrow_mut()
            .queue
            .push(priority, nested, capacity);
        let Some((key, outcome)) = queued else {
            return Err(Reason::Overload);
        };
        Ok(Waiting {
            admission: Rc::clone(self),
            key,
            outcome,
            max_wait,
        })
    }

    /// Returns how long a call may wait and still finish before its deadline.
    ///
    /// A nested call may wait longer: refusing it wastes the work already done for its root
    /// request.
    fn max_wait(&self, nested: bool, time_left: Duration) -> Result<Duration, Reason> {
        let spare = time_left.saturating_sub(self.self_time());
        if spare.is_zero() {
            return Err(Reason::Deadline);
        }
        let max_wait = if nested {
            self.config.nested_queue_time.0
        } else {
            self.config.queue_time.0
        };
        Ok((spare / 2).min(max_wait))
    }

    /// Returns how many calls can be served within the maximum wait of one.
    fn queue_capacity(&self, limit: usize, max_wait: Duration) -> usize {
        let self_time = self.self_time().as_secs_f64().max(MIN_SELF_TIME_S);
        let turns = max_wait.as_secs_f64() / self_time;
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let turns = turns.ceil() as usize;
        limit.saturating_mul(turns).clamp(MIN_QUEUE, MAX_QUEUE)
    }
}
