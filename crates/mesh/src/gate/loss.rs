//! Decides after a lost response whether the local upstream has crashed.

use std::rc::Rc;
use std::time::Instant;

use sailtrack_net::task;

use super::Gate;
use super::exchange::ExchangeError;
use super::lock::Guard;
use super::port::{self, Finding};
use crate::clock;
use crate::contexts::Context;
use crate::key::{AttemptKey, UpstreamKey};

impl Gate {
    /// Returns true if an incarnation of the upstream has ended without announcing it.
    ///
    /// The crash suspects are all requests that are in flight there, and those whose connections
    /// broke just before.
    pub(super) async fn has_crashed(
        self: &Rc<Self>,
        upstream: &UpstreamKey,
        attempt: &AttemptKey,
        error: &ExchangeError,
    ) -> bool {
        if self.detector.is_known_crash(upstream) {
            return true;
        }
        let is_down = match error {
            ExchangeError::Restarted => self.upstream.was_replaced(upstream),
            error if error.is_broken() => self.is_port_closed(attempt).await,
            _ => return false,
        };
        if is_down {
            return self.handle_crash(upstream);
        }
        let running = self.contexts.running_in(upstream);
        self.detector.suspect(upstream, &running, clock::now());
        if let Some(guard) = self.detector.begin_watch() {
            self.watch(guard, attempt.clone());
        }
        false
    }

    /// Returns true if the port refuses connections after a response was lost.
    async fn is_port_closed(&self, attempt: &AttemptKey) -> bool {
        let began = Instant::now();
        let finding = self.detector.probe_port().await;
        self.events.log_probe(attempt, finding, began.elapsed());
        finding == Finding::Refused
    }

    /// Handles the crash of an incarnation of the upstream; returns false if it had announced that
    /// it would leave.
    pub(super) fn handle_crash(&self, upstream: &UpstreamKey) -> bool {
        if self.upstream.has_left(upstream) {
            return false;
        }
        if self.detector.record_crash(upstream) {
            let running = self.in_flight_at_crash(upstream);
            if !self.upstream.was_replaced(upstream) {
                self.upstream.record_unreachable(Instant::now());
            }
            self.quarantine.record_crash(upstream, &running);
        }
        true
    }

    /// Returns the requests that ran when an incarnation of the upstream ended: those in flight,
    /// and those that were lost before the crash was detected.
    fn in_flight_at_crash(&self, upstream: &UpstreamKey) -> Vec<Rc<Context>> {
        let mut running = self.contexts.running_in(upstream);
        let suspicion = self.detector.take_suspicion(clock::now());
        if let Some(suspicion) = suspicion.filter(|suspicion| suspicion.is_about(upstream)) {
            suspicion.add_to(&mut running);
        }
        running
    }

    /// Watches the port in the background after a connection broke, until it is known whether that
    /// was a crash. The lost request does not wait for it.
    fn watch(self: &Rc<Self>, guard: Guard, attempt: AttemptKey) {
        let gate = Rc::clone(self);
        task::spawn("port watch", async move {
            let began = Instant::now();
            let suspected = || gate.detector.suspected(clock::now());
            let finding = port::watch(gate.detector.target(), || suspected().is_some()).await;
            drop(guard);
            gate.events.log_probe(&attempt, finding, began.elapsed());
            // The suspected incarnation may be a later one than that which started the watch.
            if let Some(upstream) = suspected().filter(|_| finding == Finding::Refused) {
                gate.handle_crash(&upstream);
            }
        });
    }
}
