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
use crate::dialect::{Heartbeat, Load, Readiness};
use crate::gate::report::Report;
use crate::key::UpstreamKey;
use crate::retired::Retired;

/// How long nothing is sent to an upstream after it refused a connection, unless it says before
/// that it is there.
const UNREACHABLE_PAUSE: Duration = Duration::from_secs(3);

/// How long the present life may be silent before one is believed that says that it was started
/// earlier. A late beat of a life that has ended looks like that; so does a new life after the
/// clock of the instance went back. Three beats of an upstream.
const SILENCE: Duration = Duration::from_millis(4500);

/// The share of its slots that an upstream gets filled: some slow down when they are nearly full.
const FILLED_SHARE: f64 = 0.96;

/// Returns how many requests an upstream with this many slots gets at once.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn limit(slots: u32) -> u32 {
    let filled = f64::from(slots) * FILLED_SHARE;
    (filled as u32).max(1)
}

/// This life of the own upstream.
#[derive(Debug, Clone)]
struct Life {
    key: UpstreamKey,
    slots: u32,
    sequence: u64,
    /// When its last beat came.
    heard: Instant,
    /// Until when it is slow after its start.
    cold_until: Moment,
}

impl Life {
    /// Returns true if a beat comes from this life, as far as it says.
    fn is(&self, beat: &Heartbeat) -> bool {
        self.key.is_same_incarnation(&beat.upstream)
    }

    /// Returns true if a beat of an earlier life has to be ignored beside this one.
    fn outranks(&self, beat: &Heartbeat, now: Instant) -> bool {
        let silence = now.saturating_duration_since(self.heard);
        beat.upstream.is_older_than(&self.key) && silence < SILENCE
    }
}

/// Resolves once the life from which it was taken is known to have ended: a later one is there.
pub(crate) type Ended = Shared<oneshot::Receiver<()>>;

/// Ends with the life for which it stands.
struct Ending {
    /// Dropped when the life has ended.
    _sender: oneshot::Sender<()>,
    ended: Ended,
}

impl Ending {
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
    life: RefCell<Option<Life>>,
    ending: RefCell<Ending>,
    /// The upstream tells when it was started; what comes without that is not from it.
    reports_start: Cell<bool>,
    /// The last life that another one followed although it had not said that it leaves.
    replaced: RefCell<Option<UpstreamKey>>,
    unreachable_until: Cell<Option<Instant>>,
    /// What the present life said about its load.
    pub(crate) report: Report,
    /// What a life said about its load before this process sent it anything, and when.
    first_load: Cell<Option<(Load, Moment)>>,
    /// The node stops and lets nothing new in.
    closed: Cell<bool>,
    changed: RefCell<Vec<Box<dyn Fn()>>>,
    begun: RefCell<Vec<Box<dyn Fn()>>>,
}

impl Service for Upstream {
    const NAME: &'static str = "upstream";
}

impl Upstream {
    pub(crate) fn new(admission: Rc<Admission>, retired: Rc<Retired>) -> Self {
        Self {
            admission,
            retired,
            life: RefCell::default(),
            ending: RefCell::new(Ending::new()),
            reports_start: Cell::new(false),
            replaced: RefCell::default(),
            unreachable_until: Cell::default(),
            report: Report::default(),
            first_load: Cell::default(),
            closed: Cell::new(false),
            changed: RefCell::default(),
            begun: RefCell::default(),
        }
    }

    /// Calls `begun` whenever a new life of the upstream takes requests.
    pub(crate) fn on_new_incarnation(&self, begun: impl Fn() + 'static) {
        self.begun.borrow_mut().push(Box::new(begun));
    }

    /// Calls `changed` whenever the upstream starts or ceases to take requests.
    pub(crate) fn on_availability_change(&self, changed: impl Fn() + 'static) {
        self.changed.borrow_mut().push(Box::new(changed));
    }

    /// Returns the life of the upstream that may get requests now.
    pub(crate) fn ready(&self, now: Instant) -> Option<UpstreamKey> {
        let unreachable = self.unreachable_until.get();
        if self.closed.get() || unreachable.is_some_and(|until| now < until) {
            return None;
        }
        self.life.borrow().as_ref().map(|life| life.key.clone())
    }

    /// Takes in the load of an upstream to which this process has sent nothing yet.
    pub(crate) fn note_first_load(&self, load: Load, now: Moment) {
        if self.is_unknown() {
            self.first_load.set(Some((load, now)));
        }
    }

    /// Returns the load that was noted before the first life began, once.
    pub(super) fn take_first_load(&self) -> Option<(Load, Moment)> {
        self.first_load.take()
    }

    /// Returns true if the upstream has just started and says that it is slow.
    pub(crate) fn is_cold(&self, now: Moment) -> bool {
        let life = self.life.borrow();
        life.as_ref().is_some_and(|life| now < life.cold_until)
    }

    /// Returns how many requests the upstream works on at once, zero if it takes none.
    pub(crate) fn slots(&self) -> u32 {
        self.life.borrow().as_ref().map_or(0, |life| life.slots)
    }

    /// Returns what tells that the present life has ended.
    pub(crate) fn ended(&self) -> Ended {
        self.ending.borrow().ended.clone()
    }

    /// Returns true if the upstream tells when it was started.
    pub(crate) fn reports_start(&self) -> bool {
        self.reports_start.get()
    }

    /// Returns true if a beat tells of a life that may get requests and is not the present one.
    pub(crate) fn is_new_incarnation(&self, beat: &Heartbeat, now: Instant) -> bool {
        let known = self.life.borrow();
        let is_known = known
            .as_ref()
            .is_some_and(|life| life.is(beat) || life.outranks(beat, now));
        beat.readiness == Readiness::Ready && !is_known && !self.retired.contains(&beat.upstream)
    }

    /// Takes in a beat of a life that takes requests; one that came late or is retired is ignored.
    pub(crate) fn handle_heartbeat(&self, beat: &Heartbeat, now: Instant) {
        if self.retired.contains(&beat.upstream) {
            return;
        }
        let known = self.life.borrow().clone();
        match known {
            Some(life) if life.is(beat) => self.renew(beat, now),
            Some(life) if life.outranks(beat, now) => {}
            Some(earlier) => {
                // One that was started later may only have been silent, and may be back.
                if !beat.upstream.is_older_than(&earlier.key) {
                    self.replaced.replace(Some(earlier.key.clone()));
                    self.retired.note(earlier.key);
                }
                self.begin(beat, now);
            }
            None => self.begin(beat, now),
        }
    }

    fn renew(&self, beat: &Heartbeat, now: Instant) {
        let mut life = self.life.borrow_mut();
        let Some(life) = life.as_mut() else {
            return;
        };
        // It was known by its id alone, from an answer that does not tell the start.
        let is_named_now = life.key != beat.upstream;
        if beat.sequence <= life.sequence && !is_named_now {
            return;
        }
        self.note_start(beat);
        life.key = beat.upstream.clone();
        life.sequence = beat.sequence;
        life.heard = now;
        life.cold_until = clock::now() + beat.warm_up;
        self.unreachable_until.set(None);
        if life.slots != beat.slots {
            life.slots = beat.slots;
            self.admission
                .declare_limit(Limit::Fixed(limit(beat.slots)));
        }
    }

    fn note_start(&self, beat: &Heartbeat) {
        if beat.upstream.started().is_some() {
            self.reports_start.set(true);
        }
    }

    fn begin(&self, beat: &Heartbeat, now: Instant) {
        emit(
            &catalogue::UPSTREAM_ANNOUNCED,
            &[
                ("upstream", &beat.upstream),
                ("service", &beat.service),
                ("slots", &beat.slots),
            ],
        );
        self.note_start(beat);
        self.ending.replace(Ending::new());
        self.report.renew();
        self.admission.reset(now, Some(beat.slots));
        self.admission
            .declare_limit(Limit::Fixed(limit(beat.slots)));
        self.unreachable_until.set(None);
        *self.life.borrow_mut() = Some(Life {
            key: beat.upstream.clone(),
            slots: beat.slots,
            sequence: beat.sequence,
            heard: now,
            cold_until: clock::now() + beat.warm_up,
        });
        for begun in self.begun.borrow().iter() {
            begun();
        }
        self.tell();
    }

    /// Lets nothing new in, since the node stops.
    pub(crate) fn close(&self) {
        if !self.closed.replace(true) {
            self.tell();
        }
    }

    /// Returns true if the node lets nothing new in, since it stops.
    pub(crate) fn is_closed(&self) -> bool {
        self.closed.get()
    }

    /// Returns true if no life of the upstream is known that takes requests.
    pub(crate) fn is_unknown(&self) -> bool {
        self.life.borrow().is_none()
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
        let present = self.life.borrow().as_ref().map(|life| life.key.clone());
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
            *self.life.borrow_mut() = None;
            self.tell();
        }
        retired
    }

    /// Notes that the upstream refused a connection.
    pub(crate) fn note_unreachable(&self, now: Instant) {
        let was = self
            .unreachable_until
            .replace(Some(now + UNREACHABLE_PAUSE));
        if was.is_none_or(|until| until < now) {
            let reason = "connection refused";
            emit(&catalogue::UPSTREAM_GONE, &[("reason", &reason)]);
            self.tell();
        }
    }

    fn tell(&self) {
        for changed in self.changed.borrow().iter() {
            changed();
        }
    }
}
