//! The own upstream as it announces itself.

#[cfg(test)]
mod tests;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use sailtrack_admission::Admission;
use sailtrack_declaration::Limit;
use sailtrack_kernel::Service;
use sailtrack_log::{catalogue, emit};

use crate::dialect::{Beat, Readiness};
use crate::key::UpstreamKey;
use crate::retired::Retired;

/// How long nothing is sent to an upstream after it refused a connection, unless it says before
/// that it is there: it does so every 1.5 s.
const UNREACHABLE_PAUSE: Duration = Duration::from_secs(3);

/// The share of its slots that an upstream gets filled. Some slow down when they are nearly full:
/// in a run with more demand than the deepest service takes, the worth of what callers got, less
/// its costs, was 0.44 of the most with 19 of 20 slots filled, 0.36 with 20 and 0.41 with 18 (15
/// nodes, one run each).
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
}

/// The own upstream as it announces itself.
pub(crate) struct Upstream {
    admission: Rc<Admission>,
    retired: Rc<Retired>,
    life: RefCell<Option<Life>>,
    unreachable_until: Cell<Option<Instant>>,
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
            unreachable_until: Cell::default(),
            closed: Cell::new(false),
            changed: RefCell::default(),
            begun: RefCell::default(),
        }
    }

    /// Calls `begun` whenever a new life of the upstream takes requests.
    pub(crate) fn listen_to_new(&self, begun: impl Fn() + 'static) {
        self.begun.borrow_mut().push(Box::new(begun));
    }

    /// Calls `changed` whenever the upstream starts or ceases to take requests.
    pub(crate) fn listen(&self, changed: impl Fn() + 'static) {
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

    /// Returns how many requests the upstream works on at once, zero if it takes none.
    pub(crate) fn slots(&self) -> u32 {
        self.life.borrow().as_ref().map_or(0, |life| life.slots)
    }

    /// Returns true if a beat tells of a life that is neither known nor retired.
    pub(crate) fn is_new(&self, beat: &Beat) -> bool {
        let known = self.life.borrow();
        let is_known = known.as_ref().is_some_and(|life| life.key == beat.upstream);
        beat.readiness == Readiness::Ready && !is_known && !self.retired.contains(&beat.upstream)
    }

    /// Takes in a beat of a life that takes requests; one that came late or is retired is ignored.
    pub(crate) fn take(&self, beat: &Beat) {
        if self.retired.contains(&beat.upstream) {
            return;
        }
        let known = self.life.borrow().clone();
        match known {
            Some(life) if life.key == beat.upstream => self.renew(beat),
            earlier => {
                if let Some(earlier) = earlier {
                    self.retired.note(earlier.key);
                }
                self.begin(beat);
            }
        }
    }

    fn renew(&self, beat: &Beat) {
        let mut life = self.life.borrow_mut();
        let Some(life) = life.as_mut() else {
            return;
        };
        if beat.sequence <= life.sequence {
            return;
        }
        life.sequence = beat.sequence;
        self.unreachable_until.set(None);
        if life.slots != beat.slots {
            life.slots = beat.slots;
            self.admission
                .declare_limit(Limit::Fixed(limit(beat.slots)));
        }
    }

    fn begin(&self, beat: &Beat) {
        emit(
            &catalogue::UPSTREAM_ANNOUNCED,
            &[("service", &beat.service), ("slots", &beat.slots)],
        );
        self.admission.reset(Instant::now(), Some(beat.slots));
        self.admission
            .declare_limit(Limit::Fixed(limit(beat.slots)));
        self.unreachable_until.set(None);
        *self.life.borrow_mut() = Some(Life {
            key: beat.upstream.clone(),
            slots: beat.slots,
            sequence: beat.sequence,
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

    /// Sends nothing new to this life from now on.
    pub(crate) fn retire(&self, upstream: &UpstreamKey, reason: &str) {
        self.retired.note(upstream.clone());
        let is_current = {
            let life = self.life.borrow();
            life.as_ref().is_some_and(|life| life.key == *upstream)
        };
        if is_current {
            emit(
                &catalogue::UPSTREAM_RETIRED,
                &[("upstream", upstream), ("reason", &reason)],
            );
            *self.life.borrow_mut() = None;
            self.tell();
        }
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
