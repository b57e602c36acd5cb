//! State of the local upstream, as it announces itself.

mod heartbeat;
#[cfg(test)]
mod tests;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use sailtrack_admission::Admission;
use sailtrack_kernel::Service;
use sailtrack_log::{catalogue, emit};
use sailtrack_units::Moment;

use crate::dialect::Load;
use crate::gate::demands::Latest;
use crate::gate::incarnation::{End, Ended, Incarnation};
use crate::gate::report::Report;
use crate::key::UpstreamKey;
use crate::retired::{Reason, Retired};

/// How long an upstream gets no requests after it refused a connection, unless it sends a heartbeat
/// before.
const UNREACHABLE_BACKOFF: Duration = Duration::from_secs(3);

/// The fraction of its slots that an upstream gets filled: some slow down when nearly full.
const SLOT_SHARE: f64 = 0.96;

/// Returns the concurrency limit for an upstream with this many slots.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn limit(slots: u32) -> u32 {
    let filled = f64::from(slots) * SLOT_SHARE;
    (filled as u32).max(1)
}

/// Is called with an incarnation that says that it is leaving.
pub(super) type LeavingCallback = Box<dyn Fn(&UpstreamKey)>;

/// State of the local upstream, as it announces itself.
pub(crate) struct Upstream {
    pub(super) admission: Rc<Admission>,
    retired: Rc<Retired>,
    current: RefCell<Option<Incarnation>>,
    end: RefCell<End>,
    /// Whether the upstream reports its start time; if so, messages without one are not from it.
    reports_start: Cell<bool>,
    /// The last incarnation that was replaced by another without having announced that it would
    /// leave.
    replaced: RefCell<Option<UpstreamKey>>,
    unreachable_until: Cell<Option<Instant>>,
    /// The load that the current incarnation reported.
    pub(crate) report: Report,
    /// What the current incarnation demanded in its responses.
    pub(super) demands: Latest,
    /// The load that was reported before this process had sent any request, and when.
    initial_load: Cell<Option<(Load, Moment)>>,
    /// Whether the node is shutting down and admits nothing new.
    closed: Cell<bool>,
    on_availability: RefCell<Vec<Box<dyn Fn()>>>,
    on_new: RefCell<Vec<Box<dyn Fn()>>>,
    pub(super) on_leaving: RefCell<Vec<LeavingCallback>>,
}

impl Service for Upstream {
    const NAME: &'static str = "upstream";
}

impl Upstream {
    pub(crate) fn new(admission: Rc<Admission>, retired: Rc<Retired>) -> Self {
        Self {
            admission,
            retired,
            current: RefCell::default(),
            end: RefCell::new(End::new()),
            reports_start: Cell::new(false),
            replaced: RefCell::default(),
            unreachable_until: Cell::default(),
            report: Report::default(),
            demands: Latest::default(),
            initial_load: Cell::default(),
            closed: Cell::new(false),
            on_availability: RefCell::default(),
            on_new: RefCell::default(),
            on_leaving: RefCell::default(),
        }
    }

    /// Calls `on_new` whenever a new incarnation of the upstream becomes ready.
    pub(crate) fn on_new_incarnation(&self, on_new: impl Fn() + 'static) {
        self.on_new.borrow_mut().push(Box::new(on_new));
    }

    /// Calls `on_availability` whenever the upstream becomes ready or unavailable.
    pub(crate) fn on_availability_change(&self, on_availability: impl Fn() + 'static) {
        self.on_availability
            .borrow_mut()
            .push(Box::new(on_availability));
    }

    /// Returns the incarnation of the upstream that accepts requests now.
    pub(crate) fn ready(&self, now: Instant) -> Option<UpstreamKey> {
        let unreachable = self.unreachable_until.get();
        if self.closed.get() || unreachable.is_some_and(|until| now < until) {
            return None;
        }
        self.current_key()
    }

    /// Records the load of an upstream to which this process has not sent anything yet.
    pub(crate) fn record_initial_load(&self, load: Load, now: Moment) {
        if self.is_unknown() {
            self.initial_load.set(Some((load, now)));
        }
    }

    /// Takes the load that was recorded before the first incarnation was known.
    pub(super) fn take_initial_load(&self) -> Option<(Load, Moment)> {
        self.initial_load.take()
    }

    /// Returns true if the upstream is in the slow phase after a cold start.
    pub(crate) fn is_cold(&self, now: Moment) -> bool {
        let current = self.current.borrow();
        current
            .as_ref()
            .is_some_and(|current| now < current.cold_until)
    }

    /// Returns the number of concurrent requests that the upstream accepts, zero if it is
    /// unavailable.
    pub(crate) fn slots(&self) -> u32 {
        self.current
            .borrow()
            .as_ref()
            .map_or(0, |current| current.slots)
    }

    /// Returns a future that resolves when the current incarnation has ended.
    pub(crate) fn ended(&self) -> Ended {
        self.end.borrow().ended.clone()
    }

    /// Returns true if the upstream reports its start time.
    pub(crate) fn reports_start(&self) -> bool {
        self.reports_start.get()
    }

    /// Admits nothing new, since the node is shutting down.
    pub(crate) fn close(&self) {
        if !self.closed.replace(true) {
            self.notify_availability();
        }
    }

    /// Returns true if the node is shutting down and admits nothing new.
    pub(crate) fn is_closed(&self) -> bool {
        self.closed.get()
    }

    /// Returns true if no ready incarnation of the upstream is known.
    pub(crate) fn is_unknown(&self) -> bool {
        self.current.borrow().is_none()
    }

    /// Returns true if the current incarnation has sent a heartbeat to this process, so its start time
    /// is known if it reports that.
    pub(super) fn is_identified(&self) -> bool {
        let current = self.current.borrow();
        current
            .as_ref()
            .is_some_and(|current| current.sequence > 0 || current.key.started().is_some())
    }

    /// Sends nothing new to the current incarnation, without retiring it.
    pub(crate) fn suspend_current(&self) {
        *self.current.borrow_mut() = None;
        self.notify_availability();
    }

    /// Returns true if this is the incarnation that accepts requests.
    pub(crate) fn is_current(&self, upstream: &UpstreamKey) -> bool {
        let current = self.current.borrow();
        current
            .as_ref()
            .is_some_and(|current| current.key.is_same_incarnation(upstream))
    }

    /// Returns true if this incarnation was replaced by another without having announced that it
    /// would leave.
    pub(crate) fn was_replaced(&self, upstream: &UpstreamKey) -> bool {
        self.replaced.borrow().as_ref() == Some(upstream)
    }

    /// Returns true if this incarnation announced that it leaves.
    pub(crate) fn has_left(&self, upstream: &UpstreamKey) -> bool {
        self.retired.contains(upstream) && !self.was_replaced(upstream)
    }

    /// Sends nothing new to this incarnation from now on and returns its key. A key without start
    /// time stands for the current incarnation with the same id.
    pub(crate) fn retire(&self, upstream: &UpstreamKey, reason: &Reason) -> UpstreamKey {
        let retired = match self.current_key() {
            Some(current)
                if upstream.started().is_none() && current.is_same_incarnation(upstream) =>
            {
                current
            }
            _ => upstream.clone(),
        };
        self.withdraw(&retired, reason);
        self.retired.note(&retired, reason);
        retired
    }

    /// Sends nothing new to an incarnation that is known to have retired, if it is the current one.
    pub(crate) fn withdraw(&self, retired: &UpstreamKey, reason: &Reason) {
        if !self.is_current(retired) {
            return;
        }
        emit(
            &catalogue::UPSTREAM_RETIRED,
            &[("upstream", retired), ("reason", reason)],
        );
        self.suspend_current();
    }

    fn current_key(&self) -> Option<UpstreamKey> {
        let current = self.current.borrow();
        current.as_ref().map(|current| current.key.clone())
    }

    /// Records that the upstream refused a connection.
    pub(crate) fn record_unreachable(&self, now: Instant) {
        let was = self
            .unreachable_until
            .replace(Some(now + UNREACHABLE_BACKOFF));
        if was.is_none_or(|until| until < now) {
            let reason = "connection refused";
            emit(&catalogue::UPSTREAM_GONE, &[("reason", &reason)]);
            self.notify_availability();
        }
    }

    fn notify_availability(&self) {
        for on_availability in self.on_availability.borrow().iter() {
            on_availability();
        }
    }
}
