//! The upstream of this node: its announcements and the connections to it.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use displaydoc::Display;
use http::StatusCode;
use sailtrack_kernel::Service;
use sailtrack_net::http::{ExchangeError, Pool, Request, Response};
use serde::Deserialize;

use crate::header;

/// An upstream whose last announcement is older than this is considered gone.
const ANNOUNCEMENT_TTL: Duration = Duration::from_secs(5);
/// Limit on idle connections to an upstream.
const POOL_CAPACITY: usize = 1024;

/// The state that an upstream announces.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum UpstreamState {
    /// starting
    Starting,
    /// ready
    Ready,
    /// leaving
    Leaving,
}

/// The announcement of an upstream, as JSON.
#[derive(Debug, Clone, Deserialize)]
pub(crate) struct Announcement {
    pub(crate) address: SocketAddr,
    pub(crate) state: UpstreamState,
    /// Distinguishes incarnations of the upstream.
    pub(crate) life: u64,
    /// Number of calls that it can run at once.
    pub(crate) slots: Option<u32>,
    /// The reported load, which may be outdated or wrong.
    pub(crate) load: Option<f64>,
}

/// The upstream of this node.
#[derive(Default)]
pub(crate) struct Upstream {
    announced: RefCell<Option<(Announcement, Instant)>>,
    pool: RefCell<Option<Rc<Pool>>>,
    unreachable: Cell<bool>,
    drained: Cell<bool>,
    /// The incarnation that said in an answer that it is leaving.
    leaving: Cell<Option<u64>>,
}

impl Service for Upstream {
    const NAME: &'static str = "upstream";
}

impl Upstream {
    /// Processes an announcement; returns true if it is from a new incarnation.
    pub(crate) fn announce(&self, announcement: Announcement, now: Instant) -> bool {
        let mut announced = self.announced.borrow_mut();
        let is_same_incarnation = announced.as_ref().is_some_and(|(known, _)| {
            known.life == announcement.life && known.address == announcement.address
        });
        if !is_same_incarnation {
            let source = Some(announcement.address.ip());
            // A late copy of a rejection would pass for that of the next call on the connection.
            let pool = Pool::new(announcement.address, source, POOL_CAPACITY)
                .keep_after(|response| !is_rejection(response))
                .match_by(header::CONTEXT);
            *self.pool.borrow_mut() = Some(Rc::new(pool));
        }
        self.unreachable.set(false);
        *announced = Some((announcement, now));
        !is_same_incarnation
    }

    /// Returns true if the upstream accepts calls.
    pub(crate) fn is_ready(&self, now: Instant) -> bool {
        !self.unreachable.get()
            && !self.drained.get()
            && self.state(now) == Some(UpstreamState::Ready)
    }

    /// Returns the announced state, unless the announcement is too old.
    pub(crate) fn state(&self, now: Instant) -> Option<UpstreamState> {
        let announced = self.announced.borrow();
        let (announcement, at) = announced.as_ref()?;
        if self.leaving.get() == Some(announcement.life) {
            return Some(UpstreamState::Leaving);
        }
        let age = now.saturating_duration_since(*at);
        (age < ANNOUNCEMENT_TTL).then_some(announcement.state)
    }

    /// Returns the announced number of slots.
    pub(crate) fn slots(&self) -> Option<u32> {
        self.announced.borrow().as_ref()?.0.slots
    }

    /// Returns the announced load.
    pub(crate) fn reported_load(&self) -> Option<f64> {
        self.announced.borrow().as_ref()?.0.load
    }

    /// Marks the upstream as unreachable until its next announcement.
    pub(crate) fn mark_unreachable(&self) {
        self.unreachable.set(true);
    }

    /// Returns the incarnation that was announced last.
    pub(crate) fn life(&self) -> Option<u64> {
        let announced = self.announced.borrow();
        announced
            .as_ref()
            .map(|(announcement, _)| announcement.life)
    }

    /// Returns true if this incarnation said in an answer that it is leaving.
    pub(crate) fn is_leaving(&self, life: u64) -> bool {
        self.leaving.get() == Some(life)
    }

    /// Keeps new calls from this incarnation, since it said in an answer that it is leaving.
    pub(crate) fn mark_leaving(&self) {
        self.leaving.set(self.life());
    }

    /// Sets whether operators have drained the upstream.
    pub(crate) fn set_drained(&self, drained: bool) {
        self.drained.set(drained);
    }

    /// Sends one request to the upstream.
    pub(crate) async fn exchange(
        &self,
        request: Request,
        deadline: Instant,
    ) -> Option<Result<Response, ExchangeError>> {
        let pool = self.pool.borrow().clone()?;
        Some(pool.exchange(request, deadline).await)
    }

    /// Opens connections to the upstream in advance.
    pub(crate) async fn preconnect(&self, count: usize) {
        let pool = self.pool.borrow().clone();
        if let Some(pool) = pool {
            // A connection that cannot be opened now is opened by the first call.
            let _ = pool.warm(count).await;
        }
    }

    /// Returns the number of idle connections to the upstream.
    pub(crate) fn idle_connections(&self) -> usize {
        self.pool
            .borrow()
            .as_ref()
            .map_or(0, |pool| pool.idle_count())
    }
}

/// Returns true if a response says that the upstream did not run the call.
pub(crate) fn is_rejection(response: &Response) -> bool {
    response.status == StatusCode::SERVICE_UNAVAILABLE
        && response.header(header::OUTCOME) == Some("not-run")
}
