//! Tells a crash of the own upstream from everything else that breaks connections to it.
//!
//! An upstream that crashed refuses connections, or another life of it
//! announces itself, also where something else holds its port and closes what
//! comes. One that leaves has said so before; one that resets its
//! connections, turns wrong bytes out or is slow accepts a new one.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use displaydoc::Display;
use futures::FutureExt as _;
use futures::future::{LocalBoxFuture, Shared};
use monoio::time::sleep;
use sailtrack_net::dial::{DialError, dial};
use sailtrack_units::Moment;

use super::doubt::Doubt;
use crate::contexts::Context;
use crate::key::UpstreamKey;

/// How long an upstream on the same instance may take to accept or refuse a connection. One with a
/// full queue of new connections does neither; it lives.
const PROBE_TIME: Duration = Duration::from_millis(100);

/// When a port that accepted a connection is tried once more. The connections of a process that
/// ends are closed one after the other, its port may be among the last.
const SECOND_LOOK: Duration = Duration::from_millis(30);

/// What a connection that is tried shows of the own upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(crate) enum Finding {
    /// refused
    Refused,
    /// accepted
    Accepted,
    /// neither in time
    Unanswered,
}

/// Finds out whether the own upstream has crashed.
pub(super) struct Watcher {
    target: SocketAddr,
    /// The connection that is being tried; all losses of the same moment wait for one.
    probe: RefCell<Option<Shared<LocalBoxFuture<'static, Finding>>>>,
    /// A second look is due; it serves all losses until then.
    is_looking: Cell<bool>,
    /// The last life that crashed.
    crashed: RefCell<Option<Rc<UpstreamKey>>>,
    /// What ran when connections of the present life broke, although its port took new ones.
    doubt: RefCell<Option<Doubt>>,
}

impl Watcher {
    pub(super) fn new(target: SocketAddr) -> Self {
        Self {
            target,
            probe: RefCell::default(),
            is_looking: Cell::new(false),
            crashed: RefCell::default(),
            doubt: RefCell::default(),
        }
    }

    /// Returns true if this life is known to have crashed.
    pub(super) fn has_seen(&self, upstream: &UpstreamKey) -> bool {
        self.crashed.borrow().as_deref() == Some(upstream)
    }

    /// Notes that a life crashed; returns false if that was known.
    pub(super) fn note(&self, upstream: &UpstreamKey) -> bool {
        if self.has_seen(upstream) {
            return false;
        }
        self.crashed.replace(Some(Rc::new(upstream.clone())));
        true
    }

    /// Notes what ran when a connection broke whose upstream still takes new ones.
    pub(super) fn doubt(&self, upstream: &UpstreamKey, ran: &[Rc<Context>], now: Moment) {
        let doubt = self
            .take_doubt(now)
            .filter(|known| known.is_about(upstream));
        let mut doubt = doubt.unwrap_or_else(|| Doubt::new(upstream.clone(), now));
        doubt.add(ran, now);
        self.doubt.replace(Some(doubt));
    }

    /// Returns what is doubted, which is not doubted any more.
    pub(super) fn take_doubt(&self, now: Moment) -> Option<Doubt> {
        self.doubt.take().filter(|doubt| doubt.is_fresh(now))
    }

    /// Returns the life that is doubted.
    pub(super) fn doubted(&self, now: Moment) -> Option<UpstreamKey> {
        let doubt = self.doubt.borrow();
        let doubt = doubt.as_ref().filter(|doubt| doubt.is_fresh(now));
        doubt.map(|doubt| doubt.upstream().clone())
    }

    /// Takes in that a life answered a request that was sent to it at this moment.
    pub(super) fn note_answer(&self, upstream: &UpstreamKey, sent: Moment) {
        self.doubt
            .borrow_mut()
            .take_if(|doubt| doubt.is_about(upstream) && doubt.is_settled_by(sent));
    }

    /// Tries a connection to the upstream.
    pub(super) async fn look(&self) -> Finding {
        let known = self.probe.borrow().clone();
        let probe = match known {
            Some(probe) if probe.peek().is_none() => probe,
            _ => self.start_probe(),
        };
        probe.await
    }

    /// Returns true if a second look has to be begun; it is over with [`Watcher::look_again`].
    pub(super) fn wants_second_look(&self) -> bool {
        !self.is_looking.replace(true)
    }

    /// Tries the port once more after a moment.
    pub(super) async fn look_again(&self) -> Finding {
        sleep(SECOND_LOOK).await;
        let finding = self.look().await;
        self.is_looking.set(false);
        finding
    }

    fn start_probe(&self) -> Shared<LocalBoxFuture<'static, Finding>> {
        let target = self.target;
        let probe = async move {
            match dial(target, None, PROBE_TIME).await {
                Ok(_) => Finding::Accepted,
                Err(DialError::Io(_)) => Finding::Refused,
                Err(DialError::Timeout) => Finding::Unanswered,
            }
        };
        let probe = probe.boxed_local().shared();
        self.probe.replace(Some(probe.clone()));
        probe
    }
}
