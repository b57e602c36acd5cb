//! Distinguishes a crash of the local upstream from other causes of broken
//! connections.
//!
//! After a crash, the port refuses connections, or a new incarnation announces
//! itself; the latter also covers a port that another process holds, which
//! accepts connections and closes them. An upstream that shuts down normally
//! has announced that. One that merely resets connections, sends malformed
//! responses or is slow still accepts new connections.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures::FutureExt as _;
use futures::future::{LocalBoxFuture, Shared};
use sailtrack_units::Moment;

use super::lock::{Guard, Lock};
use super::port::{self, Finding};
use super::suspicion::Suspicion;
use crate::contexts::Context;
use crate::key::UpstreamKey;

/// How long a process that exits may take to close its port after a connection.
const EXIT_TIME: Duration = Duration::from_millis(10);

/// Detects crashes of the local upstream.
pub(super) struct Detector {
    target: SocketAddr,
    /// The probe in progress; all connections lost at the same moment share it.
    probe: RefCell<Option<Shared<LocalBoxFuture<'static, Finding>>>>,
    /// Held while the port is watched; one watch serves all connections lost meanwhile.
    watch: Lock,
    /// The last incarnation that crashed.
    last_crashed: RefCell<Option<Rc<UpstreamKey>>>,
    /// The requests that ran when connections of the current incarnation broke although its port
    /// accepted new ones.
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

    /// Returns true if this incarnation is known to have crashed.
    pub(super) fn is_known_crash(&self, upstream: &UpstreamKey) -> bool {
        self.last_crashed.borrow().as_deref() == Some(upstream)
    }

    /// Records the crash of an incarnation; returns false if it was known already.
    pub(super) fn record_crash(&self, upstream: &UpstreamKey) -> bool {
        if self.is_known_crash(upstream) {
            return false;
        }
        self.last_crashed.replace(Some(Rc::new(upstream.clone())));
        true
    }

    /// Records which requests ran when a connection broke although the upstream accepts new ones.
    pub(super) fn suspect(&self, upstream: &UpstreamKey, running: &[Rc<Context>], now: Moment) {
        let suspicion = self
            .take_suspicion(now)
            .filter(|known| known.is_about(upstream));
        let mut suspicion = suspicion.unwrap_or_else(|| Suspicion::new(upstream.clone(), now));
        suspicion.add(running, now);
        self.suspicion.replace(Some(suspicion));
    }

    /// Takes the suspicion out, if it has not expired.
    pub(super) fn take_suspicion(&self, now: Moment) -> Option<Suspicion> {
        self.suspicion
            .take()
            .filter(|suspicion| suspicion.is_current(now))
    }

    /// Returns the incarnation that is suspected of having crashed.
    pub(super) fn suspected(&self, now: Moment) -> Option<UpstreamKey> {
        let suspicion = self.suspicion.borrow();
        let suspicion = suspicion
            .as_ref()
            .filter(|suspicion| suspicion.is_current(now));
        suspicion.map(|suspicion| suspicion.upstream().clone())
    }

    /// Drops the suspicion if the incarnation answered a request that was sent after the loss.
    pub(super) fn record_response(&self, upstream: &UpstreamKey, sent: Moment) {
        self.suspicion
            .borrow_mut()
            .take_if(|suspicion| suspicion.is_about(upstream) && suspicion.is_refuted_by(sent));
    }

    /// Probes the port of the upstream, joining a probe that is in progress.
    pub(super) async fn probe_port(&self) -> Finding {
        let known = self.probe.borrow().clone();
        let probe = match known {
            Some(probe) if probe.peek().is_none() => probe,
            _ => self.start_probe(),
        };
        probe.await
    }

    /// Returns true if the process of the upstream has ended, shortly after one of its connections
    /// did. One that exits may close its port after its connections.
    pub(super) async fn has_ended(&self) -> bool {
        port::probe_for(self.target, EXIT_TIME).await == Finding::Refused
    }

    /// Starts watching the port, or returns `None` if it is being watched.
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
