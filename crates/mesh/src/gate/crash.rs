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

use super::lock::{Guard, Lock};
use super::port::{self, Finding};
use super::suspicion::Suspicion;
use crate::contexts::Context;
use crate::key::UpstreamKey;

/// Finds out whether the own upstream has crashed.
pub(super) struct Detector {
    target: SocketAddr,
    /// The connection that is being tried; all losses of the same moment wait for one.
    probe: RefCell<Option<Shared<LocalBoxFuture<'static, Finding>>>>,
    /// The port is watched; that serves all losses meanwhile.
    watch: Lock,
    /// The last life that crashed.
    last_crashed: RefCell<Option<Rc<UpstreamKey>>>,
    /// What ran when connections of the present life broke, although its port took new ones.
    suspicion: RefCell<Option<Suspicion>>,
}

impl Detector {
    pub(super) fn new(target: SocketAddr) -> Self {
        Self {
            target,
            probe: RefCell::default(),
            watch: Lock::default(),
            last_crashed: RefCell::default(),
            suspicion: RefCell::default(),
        }
    }

    /// Returns true if this life is known to have crashed.
    pub(super) fn is_known_crash(&self, upstream: &UpstreamKey) -> bool {
        self.last_crashed.borrow().as_deref() == Some(upstream)
    }

    /// Notes that a life crashed; returns false if that was known.
    pub(super) fn record_crash(&self, upstream: &UpstreamKey) -> bool {
        if self.is_known_crash(upstream) {
            return false;
        }
        self.last_crashed.replace(Some(Rc::new(upstream.clone())));
        true
    }

    /// Notes what ran when a connection broke whose upstream still takes new ones.
    pub(super) fn suspect(&self, upstream: &UpstreamKey, ran: &[Rc<Context>], now: Moment) {
        let suspicion = self
            .take_suspicion(now)
            .filter(|known| known.is_about(upstream));
        let mut suspicion = suspicion.unwrap_or_else(|| Suspicion::new(upstream.clone(), now));
        suspicion.add(ran, now);
        self.suspicion.replace(Some(suspicion));
    }

    /// Returns what is doubted, which is not doubted any more.
    pub(super) fn take_suspicion(&self, now: Moment) -> Option<Suspicion> {
        self.suspicion
            .take()
            .filter(|suspicion| suspicion.is_current(now))
    }

    /// Returns the life that is doubted.
    pub(super) fn suspected(&self, now: Moment) -> Option<UpstreamKey> {
        let suspicion = self.suspicion.borrow();
        let suspicion = suspicion
            .as_ref()
            .filter(|suspicion| suspicion.is_current(now));
        suspicion.map(|suspicion| suspicion.upstream().clone())
    }

    /// Takes in that a life answered a request that was sent to it at this moment.
    pub(super) fn record_answer(&self, upstream: &UpstreamKey, sent: Moment) {
        self.suspicion
            .borrow_mut()
            .take_if(|suspicion| suspicion.is_about(upstream) && suspicion.is_refuted_by(sent));
    }

    /// Tries a connection to the upstream.
    pub(super) async fn probe_port(&self) -> Finding {
        let known = self.probe.borrow().clone();
        let probe = match known {
            Some(probe) if probe.peek().is_none() => probe,
            _ => self.start_probe(),
        };
        probe.await
    }

    /// Begins to watch the port, unless that is done already.
    pub(super) fn begin_watch(&self) -> Option<Guard> {
        self.watch.try_acquire()
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
