//! What the local upstream demands in its responses: fewer requests, or no new ones.

#[cfg(test)]
mod tests;

use std::cell::Cell;
use std::time::{Duration, Instant};

use bytes::Bytes;
use sailtrack_log::{catalogue, emit};
use sailtrack_net::transparent::ResponseHead;
use sailtrack_units::Rate;

use crate::dialect::Dialect;
use crate::key::UpstreamKey;
use crate::rate_limit::RateLimit;

/// The status of another upstream at the address, whose response says nothing about the local one.
const MISDIRECTED: u16 = 421;
/// How much of an unreadable value is logged.
const MAX_LOGGED_CHARS: usize = 64;
/// The shortest time between two events about changes of the limit, which may change with every
/// response.
const EVENT_INTERVAL: Duration = Duration::from_secs(1);

/// What one response demands.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Notice {
    /// The limit that it names, [`RateLimit::Unknown`] if that cannot be read.
    pub(super) limit: RateLimit,
    /// Whether the upstream is leaving.
    pub(super) is_leaving: bool,
}

/// Reads the notices of the local upstream.
#[derive(Debug, Default)]
pub(super) struct Notices {
    limit: Cell<RateLimit>,
    /// When the last change of the limit was logged.
    last_event: Cell<Option<Instant>>,
    /// Whether an unreadable value of this incarnation has been logged.
    has_logged_unreadable: Cell<bool>,
}

impl Notices {
    /// Forgets what the previous incarnation named.
    pub(super) fn reset(&self) {
        self.limit.set(RateLimit::Unknown);
        self.last_event.set(None);
        self.has_logged_unreadable.set(false);
    }

    /// Returns the limit that the upstream named last.
    pub(super) fn limit(&self) -> RateLimit {
        self.limit.get()
    }

    /// Reads a response; returns nothing if another upstream sent it.
    ///
    /// A limit that cannot be read leaves the one before in force: the upstream still asks for
    /// fewer requests.
    pub(super) fn read(
        &self,
        dialect: &dyn Dialect,
        upstream: &UpstreamKey,
        head: &ResponseHead,
    ) -> Option<Notice> {
        if head.status == MISDIRECTED {
            return None;
        }
        let fields = dialect.fields();
        let limits = head.fields.all(fields.rate_limit);
        let limits = limits.map(|value| self.read_rate(dialect, upstream, value));
        let limit = strictest(limits);
        if limit != RateLimit::Unknown {
            self.set_limit(upstream, limit, Instant::now());
        }
        let mut leaving = head.fields.all(fields.leaving);
        let says_leaving =
            |value: &Bytes| std::str::from_utf8(value).is_ok_and(|value| dialect.is_leaving(value));
        Some(Notice {
            limit,
            is_leaving: leaving.any(says_leaving),
        })
    }

    fn read_rate(
        &self,
        dialect: &dyn Dialect,
        upstream: &UpstreamKey,
        value: &Bytes,
    ) -> Option<Rate> {
        let text = String::from_utf8_lossy(value);
        let rate = dialect.rate_limit(&text);
        if rate.is_none() && !self.has_logged_unreadable.replace(true) {
            let value: String = text.chars().take(MAX_LOGGED_CHARS).collect();
            emit(
                &catalogue::RATE_LIMIT_UNREADABLE,
                &[("upstream", upstream), ("value", &value)],
            );
        }
        rate
    }

    fn set_limit(&self, upstream: &UpstreamKey, limit: RateLimit, now: Instant) {
        let previous = self.limit.replace(limit);
        if previous.rate() == limit.rate() {
            return;
        }
        let is_recent = |at: Instant| now.saturating_duration_since(at) < EVENT_INTERVAL;
        if self.last_event.get().is_some_and(is_recent) {
            return;
        }
        self.last_event.set(Some(now));
        let text = |limit: RateLimit| {
            limit
                .rate()
                .map_or("none".to_owned(), |rate| rate.to_string())
        };
        emit(
            &catalogue::RATE_LIMIT_NAMED,
            &[
                ("upstream", upstream),
                ("limit", &text(limit)),
                ("before", &text(previous)),
            ],
        );
    }
}

/// Returns the lowest of the limits that one response names, where `None` stands for one that cannot
/// be read.
fn strictest(limits: impl Iterator<Item = Option<Rate>>) -> RateLimit {
    let lower = |one: RateLimit, limit: Option<Rate>| match (one.rate(), limit) {
        (Some(one), Some(rate)) => RateLimit::Limited(Rate(one.0.min(rate.0))),
        (None, Some(rate)) => RateLimit::Limited(rate),
        (Some(_), None) => one,
        (None, None) => RateLimit::Unknown,
    };
    limits.fold(RateLimit::Unlimited, lower)
}
