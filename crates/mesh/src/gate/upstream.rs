//! The own upstream as it announces itself.

#[cfg(test)]
mod tests;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::FutureExt as _;
use futures::channel::oneshot;
use futures::future::Shared;
use sailtrack_admission::Admission;
use sailtrack_declaration::Limit;
use sailtrack_kernel::Service;
use sailtrack_log::{catalogue, emit};
use sailtrack_units::Moment;

use crate::clock;
use crate::dialect::{Beat, Load, Readiness};
use crate::gate::report::Report;
use crate::key::UpstreamKey;
use crate::retired::Retired;

/// How long nothing is sent to an upstream after it refused a connection, unless it says before
/// that it is there.
const UNREACHABLE_BACKOFF: Duration = Duration::from_secs(3);

/// How long the present life may be silent before one is believed that says that it was started
/// earlier. A late beat of a life that has ended looks like that; so does a new life after the
/// clock of the instance went back. Three beats of an upstream.
const MAX_SILENCE: Duration = Duration::from_millis(4500);

/// The share of its slots that an upstream gets filled: some slow down when they are nearly full.
const SLOT_SHARE: f64 = 0.96;

/// Returns how many requests an upstream with this many slots gets at once.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn limit(slots: u32) -> u32 {
    let filled = f64::from(slots) * SLOT_SHARE;
    (filled as u32).max(1)
}

/// This life of the own upstream.
#[derive(Debug, Clone)]
struct Incarnation {
    key: UpstreamKey,
    slots: u32,
    sequence: u64,
    /// When its last beat came.
    last_heartbeat: Instant,
    /// Until when it is slow after its start.
    cold_until: Moment,
}

impl Incarnation {
    /// Returns true if a beat comes from this life, as far as it says.
    fn is_sender_of(&self, heartbeat: &Beat) -> bool {
        self.key.is_same_incarnation(&heartbeat.upstream)
    }

    /// Returns true if a beat of an earlier life has to be ignored beside this one.
    fn supersedes(&self, heartbeat: &Beat, now: Instant) -> bool {
        let silence = now.saturating_duration_since(self.last_heartbeat);
        heartbeat.upstream.is_older_than(&self.key) && silence < MAX_SILENCE
    }
}

/// Resolves once the life from which it was taken is known to have ended: a later one is there.
pub(crate) type Ended = Shared<oneshot::Receiver<()>>;

/// Ends with the life for which it stands.
struct End {
    /// Dropped when the life has ended.
    _sender: oneshot::Sender<()>,
    ended: Ended,
}

impl End {
    fn new() -> Self {
        let (sender, receiver) = oneshot::channel();
        Self {
            _sender: sender,
            ended: receiver.shared(),
        }
    }
}

/// The own upstream as it announces itself.
pub(crate) struct Upstream {
    admission: Rc<Admission>,
    retired: Rc<Retired>,
    current: RefCell<Option<Incarnation>>,
    end: RefCell<End>,
    /// The upstream tells when it was started; what comes without that is not from it.
    reports_start: Cell<bool>,
    /// The last life that another one followed although it had not said that it leaves.
    replaced: RefCell<Option<UpstreamKey>>,
    unreachable_until: Cell<Option<Instant>>,
    /// What the present life said about its load.
    pub(crate) report: Report,
    /// What a life said about its load before this process sent it anything, and when.
    initial_load: Cell<Option<(Load, Moment)>>,
    /// The node stops and lets nothing new in.
    closed: Cell<bool>,
    on_availability: RefCell<Vec<Box<dyn Fn()>>>,
    on_new: RefCell<Vec<Box<dyn Fn()>>>,
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
            initial_load: Cell::default(),
            closed: Cell::new(false),
            on_availability: RefCell::default(),
            on_new: RefCell::default(),
        }
    }

    /// Calls `begun` whenever a new life of the upstream takes requests.
    pub(crate) fn on_new_incarnation(&self, on_new: impl Fn() + 'static) {
        self.on_new.borrow_mut().push(Box::new(on_new));
    }

    /// Calls `changed` whenever the upstream starts or ceases to take requests.
    pub(crate) fn on_availability_change(&self, on_availability: impl Fn() + 'static) {
        self.on_availability
            .borrow_mut()
            .push(Box::new(on_availability));
    }

    /// Returns the life of the upstream that may get requests now.
    pub(crate) fn ready(&self, now: Instant) -> Option<UpstreamKey> {
        let unreachable = self.unreachable_until.get();
        if self.closed.get() || unreachable.is_some_and(|until| now < until) {
            return None;
        }
        self.current
            .borrow()
            .as_ref()
            .map(|current| current.key.clone())
    }

    /// Takes in the load of an upstream to which this process has sent nothing yet.
    pub(crate) fn note_first_load(&self, load: Load, now: Moment) {
        if self.is_unknown() {
            self.initial_load.set(Some((load, now)));
        }
    }

    /// Returns the load that was noted before the first life began, once.
    pub(super) fn take_initial_load(&self) -> Option<(Load, Moment)> {
        self.initial_load.take()
    }

    /// Returns true if the upstream has just started and says that it is slow.
    pub(crate) fn is_cold(&self, now: Moment) -> bool {
        let current = self.current.borrow();
        current
            .as_ref()
            .is_some_and(|current| now < current.cold_until)
    }

    /// Returns how many requests the upstream works on at once, zero if it takes none.
    pub(crate) fn slots(&self) -> u32 {
        self.current
            .borrow()
            .as_ref()
            .map_or(0, |current| current.slots)
    }

    /// Returns what tells that the present life has ended.
    pub(crate) fn ended(&self) -> Ended {
        self.end.borrow().ended.clone()
    }

    /// Returns true if the upstream tells when it was started.
    pub(crate) fn reports_start(&self) -> bool {
        self.reports_start.get()
    }

    /// Returns true if a beat tells of a life that may get requests and is not the present one.
    pub(crate) fn is_new_incarnation(&self, heartbeat: &Beat, now: Instant) -> bool {
        let known = self.current.borrow();
        let is_known = known.as_ref().is_some_and(|current| {
            current.is_sender_of(heartbeat) || current.supersedes(heartbeat, now)
        });
        heartbeat.readiness == Readiness::Ready
            && !is_known
            && !self.retired.contains(&heartbeat.upstream)
    }

    /// Takes in a beat of a life that takes requests; one that came late or is retired is ignored.
    pub(crate) fn handle_heartbeat(&self, heartbeat: &Beat, now: Instant) {
        if self.retired.contains(&heartbeat.upstream) {
            return;
        }
        let known = self.current.borrow().clone();
        match known {
            Some(current) if current.is_sender_of(heartbeat) => self.update(heartbeat, now),
            Some(current) if current.supersedes(heartbeat, now) => {}
            Some(earlier) => {
                // One that was started later may only have been silent, and may be back.
                if !heartbeat.upstream.is_older_than(&earlier.key) {
                    self.replaced.replace(Some(earlier.key.clone()));
                    self.retired.note(earlier.key);
                }
                self.start_incarnation(heartbeat, now);
            }
            None => self.start_incarnation(heartbeat, now),
        }
    }

    fn update(&self, heartbeat: &Beat, now: Instant) {
        let mut current = self.current.borrow_mut();
        let Some(current) = current.as_mut() else {
            return;
        };
        // It was known by its id alone, from an answer that does not tell the start.
        let is_named_now = current.key != heartbeat.upstream;
        if heartbeat.sequence <= current.sequence && !is_named_now {
            return;
        }
        self.record_start(heartbeat);
        current.key = heartbeat.upstream.clone();
        current.sequence = heartbeat.sequence;
        current.last_heartbeat = now;
        current.cold_until = clock::now() + heartbeat.cold;
        self.unreachable_until.set(None);
        if current.slots != heartbeat.slots {
            current.slots = heartbeat.slots;
            self.admission
                .declare_limit(Limit::Fixed(limit(heartbeat.slots)));
        }
    }

    fn record_start(&self, heartbeat: &Beat) {
        if heartbeat.upstream.started().is_some() {
            self.reports_start.set(true);
        }
    }

    fn start_incarnation(&self, heartbeat: &Beat, now: Instant) {
        emit(
            &catalogue::UPSTREAM_ANNOUNCED,
            &[
                ("upstream", &heartbeat.upstream),
                ("service", &heartbeat.service),
                ("slots", &heartbeat.slots),
            ],
        );
        self.record_start(heartbeat);
        self.end.replace(End::new());
        self.report.reset();
        self.admission.reset(now, Some(heartbeat.slots));
        self.admission
            .declare_limit(Limit::Fixed(limit(heartbeat.slots)));
        self.unreachable_until.set(None);
        *self.current.borrow_mut() = Some(Incarnation {
            key: heartbeat.upstream.clone(),
            slots: heartbeat.slots,
            sequence: heartbeat.sequence,
            last_heartbeat: now,
            cold_until: clock::now() + heartbeat.cold,
        });
        for on_new in self.on_new.borrow().iter() {
            on_new();
        }
        self.notify_availability();
    }

    /// Lets nothing new in, since the node stops.
    pub(crate) fn close(&self) {
        if !self.closed.replace(true) {
            self.notify_availability();
        }
    }

    /// Returns true if the node lets nothing new in, since it stops.
    pub(crate) fn is_closed(&self) -> bool {
        self.closed.get()
    }

    /// Returns true if no life of the upstream is known that takes requests.
    pub(crate) fn is_unknown(&self) -> bool {
        self.current.borrow().is_none()
    }

    /// Returns true if a later life followed this one although it had not said that it leaves.
    pub(crate) fn was_replaced(&self, upstream: &UpstreamKey) -> bool {
        self.replaced.borrow().as_ref() == Some(upstream)
    }

    /// Returns true if this life leaves or has left, as it said.
    pub(crate) fn has_left(&self, upstream: &UpstreamKey) -> bool {
        self.retired.contains(upstream) && !self.was_replaced(upstream)
    }

    /// Sends nothing new to this life from now on, and returns which one that is: of a life that
    /// does not tell its start, the present one with its id.
    pub(crate) fn retire(&self, upstream: &UpstreamKey, reason: &str) -> UpstreamKey {
        let present = self
            .current
            .borrow()
            .as_ref()
            .map(|current| current.key.clone());
        let present = present.filter(|key| key.is_same_incarnation(upstream));
        let retired = match &present {
            Some(key) if upstream.started().is_none() => key.clone(),
            _ => upstream.clone(),
        };
        self.retired.note(retired.clone());
        if present.is_some() {
            emit(
                &catalogue::UPSTREAM_RETIRED,
                &[("upstream", &retired), ("reason", &reason)],
            );
            *self.current.borrow_mut() = None;
            self.notify_availability();
        }
        retired
    }

    /// Notes that the upstream refused a connection.
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
