//! What the local upstream demands in its responses: a limited rate, or no new requests.

#[cfg(test)]
mod tests;

use std::cell::{Cell, RefCell};
use std::time::{Duration, Instant};

use displaydoc::Display;
use sailtrack_log::{catalogue, emit};
use sailtrack_units::Rate;

use super::Upstream;
use super::incarnation::MAX_SILENCE;
use crate::dialect::Dialect;
use crate::key::{AttemptKey, UpstreamKey};
use crate::rate_limit::RateLimit;
use crate::retired::Reason;

/// How much of an unreadable value is logged.
const MAX_LOGGED_CHARS: usize = 64;
/// The shortest time between two events about changes of the limit, which may change with every
/// response.
const EVENT_INTERVAL: Duration = Duration::from_secs(1);

/// From what a limit is known.
#[derive(Debug, Clone, Copy, Display)]
pub(crate) enum Source<'a> {
    /// {0}
    Response(&'a AttemptKey),
    /// health check
    HealthCheck,
    /// another node
    Peer,
}

/// What one response demands.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Demands {
    /// The limit that it names, [`RateLimit::Unknown`] if that cannot be read.
    limit: RateLimit,
    /// The first value that cannot be read.
    unreadable: Option<String>,
    /// Whether the upstream is leaving.
    pub(crate) is_leaving: bool,
}

impl Demands {
    /// Reads the values of the two header fields of a response. Of several limits the lowest is
    /// valid.
    pub(crate) fn read<'a>(
        dialect: &dyn Dialect,
        limits: impl Iterator<Item = &'a [u8]>,
        mut leaving: impl Iterator<Item = &'a [u8]>,
    ) -> Self {
        let mut demands = Self {
            limit: RateLimit::Unlimited,
            unreadable: None,
            is_leaving: leaving
                .any(|value| std::str::from_utf8(value).is_ok_and(|text| dialect.is_leaving(text))),
        };
        for value in limits {
            let text = String::from_utf8_lossy(value);
            match dialect.rate_limit(&text) {
                Some(rate) => demands.add_limit(rate),
                None => demands.add_unreadable(&text),
            }
        }
        demands
    }

    /// Returns the demands in a response to a request that the upstream rejected. It ends no limit:
    /// what rejects requests may know of none.
    pub(super) fn of_rejection(self) -> Self {
        let limit = match self.limit {
            RateLimit::Unlimited => RateLimit::Unknown,
            limit => limit,
        };
        Self { limit, ..self }
    }

    fn add_limit(&mut self, rate: Rate) {
        let lowest = self.limit.rate().map_or(rate.0, |one| one.0.min(rate.0));
        self.limit = RateLimit::Limited(Rate(lowest));
    }

    fn add_unreadable(&mut self, text: &str) {
        if self.limit == RateLimit::Unlimited {
            self.limit = RateLimit::Unknown;
        }
        let shown = text.chars().take(MAX_LOGGED_CHARS).collect();
        self.unreadable.get_or_insert(shown);
    }
}

/// What the current incarnation of the upstream demanded last.
#[derive(Debug, Default)]
pub(super) struct Latest {
    limit: Cell<RateLimit>,
    /// A limit that was named before the incarnation was known, with the id of its upstream.
    initial: RefCell<Option<(String, Rate)>>,
    /// The id of an upstream that said that it is leaving before it sent a heartbeat to this
    /// process, and when it did.
    leaving_id: RefCell<Option<(String, Instant)>>,
    /// When the last change of the limit was logged.
    last_event: Cell<Option<Instant>>,
    /// Whether an unreadable value of this incarnation has been logged.
    has_logged_unreadable: Cell<bool>,
}

impl Latest {
    /// Forgets what the previous incarnation demanded.
    fn reset(&self) {
        self.limit.set(RateLimit::Unknown);
        self.last_event.set(None);
        self.has_logged_unreadable.set(false);
    }

    fn log_unreadable(&self, upstream: &UpstreamKey, value: &str) {
        if !self.has_logged_unreadable.replace(true) {
            emit(
                &catalogue::RATE_LIMIT_UNREADABLE,
                &[("upstream", upstream), ("value", &value)],
            );
        }
    }

    /// Sets the limit; returns true if it differs from the one before.
    fn set_limit(&self, upstream: &UpstreamKey, limit: RateLimit, source: Source<'_>) -> bool {
        let previous = self.limit.replace(limit);
        if previous.rate() == limit.rate() {
            return false;
        }
        let now = Instant::now();
        let is_recent = |at: Instant| now.saturating_duration_since(at) < EVENT_INTERVAL;
        if !self.last_event.get().is_some_and(is_recent) {
            self.last_event.set(Some(now));
            let text = |limit: RateLimit| {
                let rate = limit.rate();
                rate.map_or_else(|| "none".to_owned(), |rate| rate.to_string())
            };
            emit(
                &catalogue::RATE_LIMIT_NAMED,
                &[
                    ("upstream", upstream),
                    ("limit", &text(limit)),
                    ("before", &text(previous)),
                    ("source", &source),
                ],
            );
        }
        true
    }
}

impl Upstream {
    /// Returns what is known of the rate limit that the current incarnation names.
    pub(crate) fn rate_limit(&self) -> RateLimit {
        self.demands.limit.get()
    }

    /// Calls `on_leaving` when a response says that the current incarnation is leaving.
    pub(crate) fn on_leaving(&self, on_leaving: impl Fn(&UpstreamKey) + 'static) {
        self.on_leaving.borrow_mut().push(Box::new(on_leaving));
    }

    /// Handles the demands in a response of an incarnation.
    ///
    /// A limit that cannot be read leaves the one before in force: the upstream still asks for
    /// fewer requests.
    pub(super) fn handle_demands(
        &self,
        upstream: &UpstreamKey,
        demands: &Demands,
        attempt: &AttemptKey,
    ) {
        if !self.is_current(upstream) {
            return;
        }
        if let Some(value) = &demands.unreadable {
            self.demands.log_unreadable(upstream, value);
        }
        if demands.limit != RateLimit::Unknown {
            self.apply_limit(upstream, demands.limit, Source::Response(attempt));
        }
        if demands.is_leaving {
            self.handle_leaving(upstream);
        }
    }

    /// Sends nothing new to the current incarnation.
    ///
    /// If only its id is known so far, its first heartbeat completes this: the id alone would also
    /// stand for later incarnations, which are sound.
    pub(super) fn handle_leaving(&self, upstream: &UpstreamKey) {
        if self.is_identified() {
            self.retire_leaving(upstream);
            return;
        }
        let leaving = (upstream.id().to_owned(), Instant::now());
        self.demands.leaving_id.replace(Some(leaving));
        self.suspend_current();
    }

    /// Retires the incarnation that sent a heartbeat if it said before that it is leaving; returns
    /// true if it did.
    pub(super) fn complete_leaving(&self, upstream: &UpstreamKey, now: Instant) -> bool {
        let leaving = self.demands.leaving_id.take();
        let is_leaving = leaving.is_some_and(|(id, at)| {
            id == upstream.id() && now.saturating_duration_since(at) < MAX_SILENCE
        });
        if is_leaving {
            self.retire_leaving(upstream);
        }
        is_leaving
    }

    fn retire_leaving(&self, upstream: &UpstreamKey) {
        self.retire(upstream, &Reason::Response);
        for on_leaving in self.on_leaving.borrow().iter() {
            on_leaving(upstream);
        }
    }

    /// Applies a limit that another node knows, since this process has not seen a response yet.
    pub(crate) fn learn_limit(&self, upstream: &UpstreamKey, rate: Rate) {
        if self.rate_limit() == RateLimit::Unknown && self.is_current(upstream) {
            self.apply_limit(upstream, RateLimit::Limited(rate), Source::Peer);
        }
    }

    /// Records a limit that an upstream named before it was known as ready.
    pub(crate) fn record_initial_limit(&self, id: &str, demands: &Demands) {
        if let Some(rate) = demands.limit.rate()
            && self.is_unknown()
        {
            let limit = (id.to_owned(), rate);
            self.demands.initial.replace(Some(limit));
        }
    }

    /// Forgets the demands of the previous incarnation.
    pub(super) fn reset_demands(&self, upstream: &UpstreamKey) {
        self.demands.reset();
        let initial = self.demands.initial.take();
        if let Some((_, rate)) = initial.filter(|(id, _)| id == upstream.id()) {
            self.apply_limit(upstream, RateLimit::Limited(rate), Source::HealthCheck);
        }
    }

    fn apply_limit(&self, upstream: &UpstreamKey, limit: RateLimit, source: Source<'_>) {
        if self.demands.set_limit(upstream, limit, source) {
            self.admission.limit_rate(limit.rate());
        }
    }
}
