//! Whether a request of a client may begin here, judged by what others of its kind have met.

use std::rc::Rc;
use std::time::Instant;

use sailtrack_units::KindName;

use crate::breaker::Breaker;
use crate::pressure::Pressure;
use crate::window::{Permit as WindowPermit, Windows};

/// Why a request does not begin.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rejection {
    /// As many requests of the kind are in progress as what they call can take.
    Window,
    /// A service further down has no upstream.
    Breaker,
}

/// Whether requests of clients may begin at one node.
pub struct Throttle {
    windows: Rc<Windows>,
    breaker: Breaker,
}

impl Throttle {
    /// Returns an outset over these windows.
    #[must_use]
    pub fn new(windows: Rc<Windows>) -> Rc<Self> {
        Rc::new(Self {
            windows,
            breaker: Breaker::default(),
        })
    }

    /// Takes a place for a request of this kind.
    ///
    /// # Errors
    ///
    /// The request is not to begin now, and why.
    pub fn acquire(self: &Rc<Self>, kind: &KindName, now: Instant) -> Result<Permit, Rejection> {
        if !self.breaker.lets_in(kind, now) {
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

/// What a request has met until it ended.
#[derive(Debug, Clone, Copy, Default)]
pub struct Feedback {
    /// How full its own upstream is.
    pub local: Pressure,
    /// The greatest pressure that its calls met.
    pub callees: Pressure,
    /// It failed since a service further down has no upstream.
    pub no_upstream: bool,
}

/// The place of one request that has begun.
pub struct Permit {
    throttle: Rc<Throttle>,
    kind: KindName,
    window: WindowPermit,
}

impl Permit {
    /// Notes what the request has met.
    ///
    /// The pressure at its own upstream counts like that of its calls. Without it a kind that
    /// calls nobody is held by the queue alone, keeps it full, and the windows of all kinds that
    /// call the same service from further up close.
    pub fn record(&self, now: Instant, feedback: Feedback) {
        self.window
            .record(now, feedback.callees.max(feedback.local));
        self.throttle
            .breaker
            .record(&self.kind, now, feedback.no_upstream);
    }
}
