//! Tells a crash of the own upstream from everything else that breaks connections to it.
//!
//! An upstream that crashed refuses connections, or another life of it
//! announces itself, also where something else holds its port and closes what
//! comes. One that leaves has said so before; one that resets its
//! connections, turns wrong bytes out or is slow accepts a new one.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use futures::FutureExt as _;
use futures::future::{LocalBoxFuture, Shared};
use sailtrack_units::Moment;

use super::doubt::Doubt;
use super::port::{self, Finding};
use super::single::{Single, Turn};
use crate::contexts::Context;
use crate::key::UpstreamKey;

/// Finds out whether the own upstream has crashed.
pub(super) struct Watcher {
    target: SocketAddr,
    /// The connection that is being tried; all losses of the same moment wait for one.
    probe: RefCell<Option<Shared<LocalBoxFuture<'static, Finding>>>>,
    /// The port is watched; that serves all losses meanwhile.
    watch: Single,
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
            watch: Single::default(),
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

    /// Begins to watch the port, unless that is done already.
    pub(super) fn begin_watch(&self) -> Option<Turn> {
        self.watch.begin()
    }

    /// Returns the address of the port.
    pub(super) fn target(&self) -> SocketAddr {
        self.target
    }

    fn start_probe(&self) -> Shared<LocalBoxFuture<'static, Finding>> {
        let probe = port::probe(self.target).boxed_local().shared();
        self.probe.replace(Some(probe.clone()));
        probe
    }
}
