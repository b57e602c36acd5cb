//! What ran when connections to the own upstream broke although its port took new ones.
//!
//! An upstream that lives breaks a connection now and then. One that ends may
//! let go of its connections first and of its port last, or leave the port to
//! a process that it started. Until it is known which of the two it was, what
//! ran there is remembered.

#[cfg(test)]
mod tests;

use std::rc::Rc;
use std::time::Duration;

use sailtrack_units::Moment;

use crate::contexts::Context;
use crate::key::UpstreamKey;

/// For how long a loss may turn out to have been a crash. Whatever holds the port of an upstream
/// starts it again within a second or two, and connections that are closed at once keep the doubt
/// alive meanwhile.
const SUSPICION_DURATION: Duration = Duration::from_secs(3);
/// The most requests that are doubted at once: as many as the event of a crash names.
const MAX_SUSPECTS: usize = 200;

/// What ran in one life of the upstream when connections to it broke.
#[derive(Debug)]
pub(super) struct Suspicion {
    upstream: UpstreamKey,
    suspects: Vec<Rc<Context>>,
    /// When the last connection broke.
    last_loss: Moment,
}

impl Suspicion {
    /// Returns a doubt about a life of the upstream whose connection has just broken.
    pub(super) fn new(upstream: UpstreamKey, now: Moment) -> Self {
        Self {
            upstream,
            suspects: Vec::new(),
            last_loss: now,
        }
    }

    /// Adds what ran when a further connection broke.
    pub(super) fn add(&mut self, suspects: &[Rc<Context>], now: Moment) {
        self.last_loss = now;
        for one in suspects {
            if self.suspects.len() < MAX_SUSPECTS {
                push_new(&mut self.suspects, one);
            }
        }
    }

    /// Returns true if the doubt is about this life.
    pub(super) fn is_about(&self, upstream: &UpstreamKey) -> bool {
        self.upstream == *upstream
    }

    /// Returns true while the loss may turn out to have been a crash.
    pub(super) fn is_current(&self, now: Moment) -> bool {
        now.since(self.last_loss) < SUSPICION_DURATION
    }

    /// Returns true if an answer to a request that was sent at this moment shows that the upstream
    /// lives on.
    pub(super) fn is_refuted_by(&self, sent: Moment) -> bool {
        sent > self.last_loss
    }

    /// Returns the life that it is about.
    pub(super) fn upstream(&self) -> &UpstreamKey {
        &self.upstream
    }

    /// Joins what ran there to what has no answer yet, all of it.
    pub(super) fn add_to(&self, running: &mut Vec<Rc<Context>>) {
        for one in &self.suspects {
            push_new(running, one);
        }
    }
}

fn push_new(all: &mut Vec<Rc<Context>>, one: &Rc<Context>) {
    if !all.iter().any(|known| Rc::ptr_eq(known, one)) {
        all.push(Rc::clone(one));
    }
}
