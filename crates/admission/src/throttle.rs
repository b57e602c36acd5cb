//! Decides whether a client request may start, from how earlier requests of its kind fared in the
//! services that they call.

use std::rc::Rc;
use std::time::Instant;

use sailtrack_units::KindName;

use crate::breaker::Breaker;
use crate::pressure::Pressure;
use crate::window::{Permit as WindowPermit, Windows};

/// Why a request may not start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rejection {
    /// The window of the kind is full: the called services cannot take more requests of it.
    Window,
    /// The circuit breaker of the kind is open: a called service has no upstream.
    Breaker,
}

/// Decides which client requests may start at one node, by the window and the circuit breaker of
/// their kind.
pub struct Throttle {
    windows: Rc<Windows>,
    breaker: Breaker,
}

impl Throttle {
    /// Returns a throttle that uses these windows.
    #[must_use]
    pub fn new(windows: Rc<Windows>) -> Rc<Self> {
        Rc::new(Self {
            windows,
            breaker: Breaker::default(),
        })
    }

    /// Acquires a permit for a request of this kind.
    ///
    /// # Errors
    ///
    /// The reason why the request may not start now.
    pub fn acquire(self: &Rc<Self>, kind: &KindName, now: Instant) -> Result<Permit, Rejection> {
        if !self.breaker.allows(kind, now) {
            return Err(Rejection::Breaker);
        }
        let window = self.windows.acquire(kind, now).ok_or(Rejection::Window)?;
        Ok(Permit {
            throttle: Rc::clone(self),
            kind: kind.clone(),
            window,
        })
    }
}

/// What a request observed by the time it ended.
#[derive(Debug, Clone, Copy, Default)]
pub struct Feedback {
    /// The pressure on the upstream of this node.
    pub local: Pressure,
    /// The maximum pressure that its nested calls met.
    pub callees: Pressure,
    /// Whether the request failed because a called service had no upstream.
    pub no_upstream: bool,
}

/// Permission for one request to run, released when dropped.
pub struct Permit {
    throttle: Rc<Throttle>,
    kind: KindName,
    window: WindowPermit,
}

impl Permit {
    /// Records what the request observed.
    ///
    /// The pressure on the local upstream counts like that on called services. Otherwise a kind that
    /// makes no nested calls would be limited by the admission queue alone and keep it full, and the
    /// windows of all kinds that call this service from elsewhere would close.
    pub fn record(&self, now: Instant, feedback: Feedback) {
        self.window
            .record(now, feedback.callees.max(feedback.local));
        self.throttle
            .breaker
            .record(&self.kind, now, feedback.no_upstream);
    }
}
