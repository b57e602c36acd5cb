//! Requests that ran when connections to the local upstream broke although its
//! port accepted new ones.
//!
//! A live upstream breaks a connection now and then. One that exits may close
//! its connections first and its listening socket last, or leave the socket to
//! a child process. Until it is known which of the two it was, the requests
//! that ran there are remembered as crash suspects.

#[cfg(test)]
mod tests;

use std::rc::Rc;
use std::time::Duration;

use sailtrack_units::Moment;

use crate::contexts::Context;
use crate::key::UpstreamKey;

/// How long a lost connection may still turn out to have been a crash. The supervisor that holds
/// the port of an upstream restarts it within a second or two; connections that it closes at once
/// meanwhile extend the suspicion.
const SUSPICION_DURATION: Duration = Duration::from_secs(3);
/// The maximum number of suspects: as many as the event of a crash names.
const MAX_SUSPECTS: usize = 200;

/// Crash suspects of one incarnation of the upstream.
#[derive(Debug)]
pub(super) struct Suspicion {
    upstream: UpstreamKey,
    suspects: Vec<Rc<Context>>,
    /// When the last connection broke.
    last_loss: Moment,
}

impl Suspicion {
    /// Returns a suspicion about an incarnation of the upstream whose connection has just broken.
    pub(super) fn new(upstream: UpstreamKey, now: Moment) -> Self {
        Self {
            upstream,
            suspects: Vec::new(),
            last_loss: now,
        }
    }

    /// Adds the requests that ran when another connection broke.
    pub(super) fn add(&mut self, suspects: &[Rc<Context>], now: Moment) {
        self.last_loss = now;
        for context in suspects {
            if self.suspects.len() < MAX_SUSPECTS {
                push_unique(&mut self.suspects, context);
            }
        }
    }

    /// Returns true if the suspicion concerns this incarnation.
    pub(super) fn is_about(&self, upstream: &UpstreamKey) -> bool {
        self.upstream == *upstream
    }

    /// Returns true while the loss may turn out to have been a crash.
    pub(super) fn is_current(&self, now: Moment) -> bool {
        now.since(self.last_loss) < SUSPICION_DURATION
    }

    /// Returns true if an answer to a request that was sent at this moment shows that the upstream
    /// is alive.
    pub(super) fn is_refuted_by(&self, sent: Moment) -> bool {
        sent > self.last_loss
    }

    /// Returns the suspected incarnation.
    pub(super) fn upstream(&self) -> &UpstreamKey {
        &self.upstream
    }

    /// Adds the suspects to the requests that are in flight, without duplicates.
    pub(super) fn add_to(&self, running: &mut Vec<Rc<Context>>) {
        for context in &self.suspects {
            push_unique(running, context);
        }
    }
}

fn push_unique(all: &mut Vec<Rc<Context>>, context: &Rc<Context>) {
    if !all.iter().any(|known| Rc::ptr_eq(known, context)) {
        all.push(Rc::clone(context));
    }
}
