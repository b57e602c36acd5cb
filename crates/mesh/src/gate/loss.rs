//! Tells whether the own upstream ended when an answer of it was lost.

use std::rc::Rc;
use std::time::Instant;

use sailtrack_net::task;

use super::Gate;
use super::exchange::ExchangeError;
use super::port::{self, Finding};
use super::single::Turn;
use crate::clock;
use crate::contexts::Context;
use crate::key::{AttemptKey, UpstreamKey};

impl Gate {
    /// Returns true if a life of the upstream has ended without having announced it.
    ///
    /// What else it ran has no answer yet, or was lost just before.
    pub(super) async fn has_crashed(
        self: &Rc<Self>,
        upstream: &UpstreamKey,
        attempt: &AttemptKey,
        error: &ExchangeError,
    ) -> bool {
        if self.watcher.has_seen(upstream) {
            return true;
        }
        let has_ended = match error {
            ExchangeError::Restarted => self.upstream.was_replaced(upstream),
            error if error.is_broken() => self.look(attempt).await,
            _ => return false,
        };
        if has_ended {
            return self.note_crash(upstream);
        }
        let ran = self.contexts.running_in(upstream);
        self.watcher.doubt(upstream, &ran, clock::now());
        if let Some(turn) = self.watcher.begin_watch() {
            self.watch(turn, attempt.clone());
        }
        false
    }

    /// Returns true if nothing listens any more where an answer was lost.
    async fn look(&self, attempt: &AttemptKey) -> bool {
        let began = Instant::now();
        let finding = self.watcher.look().await;
        self.events.log_probe(attempt, finding, began.elapsed());
        finding == Finding::Refused
    }

    /// Takes in that a life of the upstream ended; returns false if it had said that it would.
    pub(super) fn note_crash(&self, upstream: &UpstreamKey) -> bool {
        if self.upstream.has_left(upstream) {
            return false;
        }
        if self.watcher.note(upstream) {
            let ran = self.ran_at_end(upstream);
            if !self.upstream.was_replaced(upstream) {
                self.upstream.note_unreachable(Instant::now());
            }
            self.quarantine.record_crash(upstream, &ran);
        }
        true
    }

    /// Returns what ran when a life of the upstream ended: what has no answer yet, and what was
    /// lost before the end was seen.
    fn ran_at_end(&self, upstream: &UpstreamKey) -> Vec<Rc<Context>> {
        let mut ran = self.contexts.running_in(upstream);
        let doubt = self.watcher.take_doubt(clock::now());
        if let Some(doubt) = doubt.filter(|doubt| doubt.is_about(upstream)) {
            doubt.join_to(&mut ran);
        }
        ran
    }

    /// Watches the port of an upstream that broke a connection until it is known whether that was
    /// a crash, without holding up the request that was lost.
    fn watch(self: &Rc<Self>, turn: Turn, attempt: AttemptKey) {
        let gate = Rc::clone(self);
        task::spawn("watch of the port", async move {
            let began = Instant::now();
            let doubted = || gate.watcher.doubted(clock::now());
            let finding = port::watch(gate.watcher.target(), || doubted().is_some()).await;
            drop(turn);
            gate.events.log_probe(&attempt, finding, began.elapsed());
            // It may be a later life than the one whose loss began the watch.
            if let Some(upstream) = doubted().filter(|_| finding == Finding::Refused) {
                gate.note_crash(&upstream);
            }
        });
    }
}
