//! How long each kind of request takes at the own upstream, and which are open.

#[cfg(test)]
mod tests;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use sailtrack_units::KindName;

use super::patience::Usual;

/// From so many answers on it is known how long a kind takes.
const ENOUGH: u64 = 20;
/// After this time newer answers begin to replace older ones.
const GENERATION: Duration = Duration::from_secs(10);
/// The most kinds that are kept: a service has some few, and routes come and go.
const MOST_KINDS: usize = 128;
/// In what times are counted.
const UNIT: Duration = Duration::from_micros(100);
/// The longest time that is told from longer ones, in units: a minute.
const LONGEST: u64 = 600_000;
/// The digits to which times are kept; one is a step of some percent, and half a kilobyte.
const DIGITS: u8 = 1;
/// What late and longest usual times leave out.
const LATE_PERCENTILE: f64 = 95.0;
const LONGEST_PERCENTILE: f64 = 99.0;
/// The weight of the newest end in the share of requests without an answer.
const NEWEST_WEIGHT: f64 = 0.1;
/// After this time without news half of that share counts.
const SILENT_HALF_LIFE: Duration = Duration::from_secs(5);

/// The kinds of requests that came to the own upstream.
#[derive(Default)]
pub(super) struct Kinds(RefCell<HashMap<KindName, Rc<Kind>>>);

impl Kinds {
    /// Returns what is known of a kind.
    pub(super) fn get(&self, name: &KindName) -> Rc<Kind> {
        let mut kinds = self.0.borrow_mut();
        if let Some(kind) = kinds.get(name) {
            return Rc::clone(kind);
        }
        if kinds.len() >= MOST_KINDS {
            kinds.clear();
        }
        Rc::clone(kinds.entry(name.clone()).or_default())
    }
}

/// Times of one kind, of two generations.
struct Times {
    present: Option<Histogram<u16>>,
    earlier: Option<Histogram<u16>>,
    since: Option<Instant>,
}

/// One kind of request.
#[derive(Default)]
pub(super) struct Kind {
    times: RefCell<Times>,
    open: RefCell<Vec<Rc<Cell<u32>>>>,
    /// For how long one was waited for in vain, and when it was given up.
    doubt: Cell<Option<(Duration, Instant)>>,
    /// The share that was not answered, and when that was last seen.
    silent: Cell<Option<(f64, Instant)>>,
}

impl Default for Times {
    fn default() -> Self {
        Self {
            present: new_histogram(),
            earlier: None,
            since: None,
        }
    }
}

/// The bounds are sound, so there always is one.
fn new_histogram() -> Option<Histogram<u16>> {
    Histogram::new_with_max(LONGEST, DIGITS).ok()
}

impl Times {
    fn note(&mut self, time: Duration, now: Instant) {
        let since = *self.since.get_or_insert(now);
        let is_old = now.saturating_duration_since(since) >= GENERATION;
        let is_enough = self.present.as_ref().is_some_and(is_enough);
        if is_old && is_enough {
            self.earlier = self.present.take();
            self.present = new_histogram();
            self.since = Some(now);
        }
        let units = time.as_micros() / UNIT.as_micros();
        let units = u64::try_from(units).unwrap_or(LONGEST);
        if let Some(present) = &mut self.present {
            present.saturating_record(units.clamp(1, LONGEST));
        }
    }

    fn usual(&self) -> Option<Usual> {
        let known = [&self.present, &self.earlier];
        let known = known.into_iter().flatten().filter(|one| is_enough(one));
        let usual = known.map(|times| Usual {
            middle: time_at(times, 50.0),
            late: time_at(times, LATE_PERCENTILE),
            longest: time_at(times, LONGEST_PERCENTILE),
        });
        usual.reduce(|one, other| Usual {
            middle: one.middle.max(other.middle),
            late: one.late.max(other.late),
            longest: one.longest.max(other.longest),
        })
    }
}

fn is_enough(times: &Histogram<u16>) -> bool {
    times.len() >= ENOUGH
}

fn time_at(times: &Histogram<u16>, percentile: f64) -> Duration {
    let units = times.value_at_percentile(percentile);
    UNIT * u32::try_from(units).unwrap_or(u32::MAX)
}

impl Kind {
    /// Begins a request of this kind.
    pub(super) fn begin(self: &Rc<Self>, now: Instant) -> Open {
        let overtaken = Rc::<Cell<u32>>::default();
        self.open.borrow_mut().push(Rc::clone(&overtaken));
        Open {
            kind: Rc::clone(self),
            overtaken,
            at: now,
            doubted: self.doubted(now),
        }
    }

    /// Returns how long it takes when nothing slows it down, if that is known.
    pub(super) fn usual(&self) -> Option<Usual> {
        self.times.borrow().usual()
    }

    /// Returns the share that was not answered lately.
    pub(super) fn silent(&self, now: Instant) -> f64 {
        let Some((share, seen)) = self.silent.get() else {
            return 0.0;
        };
        let age = now.saturating_duration_since(seen).as_secs_f64();
        share * 0.5_f64.powf(age / SILENT_HALF_LIFE.as_secs_f64())
    }

    /// Notes that one was answered, or that its time is over without an answer.
    pub(super) fn note_silent(&self, is_silent: bool, now: Instant) {
        let before = self.silent(now);
        let newest = f64::from(u8::from(is_silent));
        let share = before + (newest - before) * NEWEST_WEIGHT;
        self.silent.set(Some((share, now)));
    }

    /// Returns for how long one was waited for in vain lately, if none has been quick since.
    fn doubted(&self, now: Instant) -> Duration {
        let is_young =
            |(_, since): &(Duration, Instant)| now.saturating_duration_since(*since) < GENERATION;
        let doubt = self.doubt.get().filter(is_young);
        doubt.map_or(Duration::ZERO, |(waited, _)| waited)
    }
}

/// A request that has been sent and not answered.
pub(super) struct Open {
    kind: Rc<Kind>,
    /// How many requests of the kind that were sent later have been answered.
    overtaken: Rc<Cell<u32>>,
    at: Instant,
    /// For how long one was waited for in vain before.
    doubted: Duration,
}

impl Open {
    /// Returns how many requests of its kind that were sent later have been answered.
    pub(super) fn overtaken(&self) -> u32 {
        self.overtaken.get()
    }

    /// Returns for how long one was waited for in vain before it was sent, if none had been quick
    /// since.
    pub(super) fn doubted(&self) -> Duration {
        self.doubted
    }

    /// Returns how long ago it was sent.
    pub(super) fn waited(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.at)
    }

    /// Notes its answer, where work takes `slowness` times as long as usual.
    pub(super) fn note_answer(&self, slowness: f64, now: Instant) {
        self.pass_earlier();
        let time = self.waited(now).div_f64(slowness.max(1.0));
        let usual = self.kind.times.borrow().usual();
        let is_quick = usual.is_none_or(|usual| time <= usual.longest);
        let doubt = self.kind.doubt.get();
        if is_quick && doubt.is_some_and(|(_, since)| self.at >= since) {
            self.kind.doubt.set(None);
        }
        self.kind.times.borrow_mut().note(time, now);
    }

    /// Notes that it was given up although none passed it: the upstream may have become slow.
    pub(super) fn note_doubt(&self, now: Instant) {
        self.kind.doubt.set(Some((self.waited(now), now)));
    }

    /// It passed all that were sent earlier and are still open.
    fn pass_earlier(&self) {
        let open = self.kind.open.borrow();
        let earlier = open
            .iter()
            .take_while(|one| !Rc::ptr_eq(one, &self.overtaken));
        for one in earlier {
            one.set(one.get().saturating_add(1));
        }
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        let is_other = |one: &Rc<Cell<u32>>| !Rc::ptr_eq(one, &self.overtaken);
        self.kind.open.borrow_mut().retain(is_other);
    }
}
