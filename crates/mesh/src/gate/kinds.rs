//! Latency and in-flight requests of each kind of request on the local
//! upstream.

#[cfg(test)]
mod tests;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use sailtrack_units::{KindName, Moment};

use super::timeout::Latency;

/// The samples that are required before latency percentiles are used.
const MIN_SAMPLES: u64 = 20;
/// The age at which a histogram with enough samples is replaced by a new one, and for how long an
/// overdue request counts.
const WINDOW: Duration = Duration::from_secs(10);
/// The maximum number of kinds: a service has only a few, but routes come and go.
const MAX_KINDS: usize = 128;
/// The unit of the histograms.
const RESOLUTION: Duration = Duration::from_micros(100);
/// The highest latency that a histogram distinguishes, in units: one minute.
const MAX_UNITS: u64 = 600_000;
/// The precision of a histogram: one digit gives steps of a few percent and takes half a kilobyte.
const SIGNIFICANT_DIGITS: u8 = 1;
const P95: f64 = 95.0;
const P99: f64 = 99.0;
/// The weight of the newest outcome in the moving average of unanswered requests.
const SMOOTHING: f64 = 0.1;
/// The half-life of that average while no outcome is recorded.
const UNANSWERED_HALF_LIFE: Duration = Duration::from_secs(5);

/// Statistics of each kind of request to the local upstream.
#[derive(Default)]
pub(super) struct Kinds(RefCell<HashMap<KindName, Rc<Kind>>>);

impl Kinds {
    /// Returns the statistics of a kind, creating them if there are none.
    pub(super) fn get(&self, name: &KindName) -> Rc<Kind> {
        let mut kinds = self.0.borrow_mut();
        if let Some(kind) = kinds.get(name) {
            return Rc::clone(kind);
        }
        if kinds.len() >= MAX_KINDS {
            kinds.clear();
        }
        Rc::clone(kinds.entry(name.clone()).or_default())
    }
}

/// Latency histograms of one kind, for the current and the previous window.
struct Latencies {
    current: Option<Histogram<u16>>,
    previous: Option<Histogram<u16>>,
    since: Option<Instant>,
}

/// Statistics of one kind of request.
#[derive(Default)]
pub(super) struct Kind {
    latencies: RefCell<Latencies>,
    in_flight: RefCell<Vec<Rc<Cell<u32>>>>,
    /// How long the last overdue request had waited, and when it became overdue.
    overdue: Cell<Option<(Duration, Instant)>>,
    /// The moving average of unanswered requests, and when it was last updated.
    unanswered: Cell<Option<(f64, Instant)>>,
    /// When the latest request was sent that was answered in the usual time.
    last_prompt: Cell<Option<Moment>>,
}

impl Default for Latencies {
    fn default() -> Self {
        Self {
            current: new_histogram(),
            previous: None,
            since: None,
        }
    }
}

/// Creates a histogram; the constant bounds are valid, so this always succeeds.
fn new_histogram() -> Option<Histogram<u16>> {
    Histogram::new_with_max(MAX_UNITS, SIGNIFICANT_DIGITS).ok()
}

impl Latencies {
    fn record(&mut self, time: Duration, now: Instant) {
        let since = *self.since.get_or_insert(now);
        let is_old = now.saturating_duration_since(since) >= WINDOW;
        let has_enough_samples = self.current.as_ref().is_some_and(has_enough_samples);
        if is_old && has_enough_samples {
            self.previous = self.current.take();
            self.current = new_histogram();
            self.since = Some(now);
        }
        let units = time.as_micros() / RESOLUTION.as_micros();
        let units = u64::try_from(units).unwrap_or(MAX_UNITS);
        if let Some(current) = &mut self.current {
            current.saturating_record(units.clamp(1, MAX_UNITS));
        }
    }

    fn latency(&self) -> Option<Latency> {
        let known = [&self.current, &self.previous];
        let known = known
            .into_iter()
            .flatten()
            .filter(|one| has_enough_samples(one));
        let latency = known.map(|latencies| Latency {
            median: percentile(latencies, 50.0),
            p95: percentile(latencies, P95),
            p99: percentile(latencies, P99),
        });
        latency.reduce(|one, other| Latency {
            median: one.median.max(other.median),
            p95: one.p95.max(other.p95),
            p99: one.p99.max(other.p99),
        })
    }
}

fn has_enough_samples(latencies: &Histogram<u16>) -> bool {
    latencies.len() >= MIN_SAMPLES
}

fn percentile(latencies: &Histogram<u16>, percentile: f64) -> Duration {
    let units = latencies.value_at_percentile(percentile);
    RESOLUTION * u32::try_from(units).unwrap_or(u32::MAX)
}

impl Kind {
    /// Starts tracking a request of this kind.
    pub(super) fn begin(self: &Rc<Self>, now: Instant) -> InFlight {
        let overtaken = Rc::<Cell<u32>>::default();
        self.in_flight.borrow_mut().push(Rc::clone(&overtaken));
        InFlight {
            kind: Rc::clone(self),
            overtaken,
            at: now,
            last_overdue: self.last_overdue(now),
        }
    }

    /// Returns the latency without slowdown, if there are enough samples.
    pub(super) fn latency(&self) -> Option<Latency> {
        self.latencies.borrow().latency()
    }

    /// Returns the recent fraction of unanswered requests.
    pub(super) fn unanswered_share(&self, now: Instant) -> f64 {
        let Some((share, seen)) = self.unanswered.get() else {
            return 0.0;
        };
        let age = now.saturating_duration_since(seen).as_secs_f64();
        share * 0.5_f64.powf(age / UNANSWERED_HALF_LIFE.as_secs_f64())
    }

    /// Records whether a request was answered in time.
    pub(super) fn record_outcome(&self, is_unanswered: bool, now: Instant) {
        let before = self.unanswered_share(now);
        let newest = f64::from(u8::from(is_unanswered));
        let share = before + (newest - before) * SMOOTHING;
        self.unanswered.set(Some((share, now)));
    }

    /// Records that a request which was sent at this moment was answered in the usual time.
    pub(super) fn record_prompt(&self, sent: Moment) {
        self.last_prompt.set(self.last_prompt.get().max(Some(sent)));
    }

    /// Returns true if a request that was sent after this moment was answered in the usual time.
    pub(super) fn was_prompt_after(&self, moment: Moment) -> bool {
        self.last_prompt.get().is_some_and(|sent| sent > moment)
    }

    /// Returns how long the last overdue request had waited, or zero if that is long ago or a fast
    /// response has come since.
    fn last_overdue(&self, now: Instant) -> Duration {
        let is_young =
            |(_, since): &(Duration, Instant)| now.saturating_duration_since(*since) < WINDOW;
        let overdue = self.overdue.get().filter(is_young);
        overdue.map_or(Duration::ZERO, |(waited, _)| waited)
    }
}

/// A request that has been sent and not answered yet.
pub(super) struct InFlight {
    kind: Rc<Kind>,
    /// How many requests of the kind that were sent later have been answered.
    overtaken: Rc<Cell<u32>>,
    at: Instant,
    /// How long an earlier request had waited when it became overdue.
    last_overdue: Duration,
}

impl InFlight {
    /// Returns how many requests of its kind that were sent later have been answered.
    pub(super) fn overtaken(&self) -> u32 {
        self.overtaken.get()
    }

    /// Returns how long an earlier request had waited when it became overdue, or zero if a fast
    /// response had come before this request was sent.
    pub(super) fn last_overdue(&self) -> Duration {
        self.last_overdue
    }

    /// Returns the time since it was sent.
    pub(super) fn waited(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.at)
    }

    /// Records its response; `slowdown` is the factor by which work takes longer than usual.
    pub(super) fn record_response(&self, slowdown: f64, now: Instant) {
        self.overtake_earlier();
        let time = self.waited(now).div_f64(slowdown.max(1.0));
        let latency = self.kind.latencies.borrow().latency();
        let is_quick = latency.is_none_or(|latency| time <= latency.p99);
        let overdue = self.kind.overdue.get();
        if is_quick && overdue.is_some_and(|(_, since)| self.at >= since) {
            self.kind.overdue.set(None);
        }
        self.kind.latencies.borrow_mut().record(time, now);
    }

    /// Records that it is overdue although none overtook it: the upstream may have become slow.
    pub(super) fn record_overdue(&self, now: Instant) {
        self.kind.overdue.set(Some((self.waited(now), now)));
    }

    /// Counts this response for all requests that were sent earlier and are still unanswered.
    fn overtake_earlier(&self) {
        let in_flight = self.kind.in_flight.borrow();
        let earlier = in_flight
            .iter()
            .take_while(|counter| !Rc::ptr_eq(counter, &self.overtaken));
        for counter in earlier {
            counter.set(counter.get().saturating_add(1));
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let is_other = |counter: &Rc<Cell<u32>>| !Rc::ptr_eq(counter, &self.overtaken);
        self.kind.in_flight.borrow_mut().retain(is_other);
    }
}
