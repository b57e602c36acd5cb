//! Whether a request of a client may begin here, judged by what others of its kind have met.

use std::rc::Rc;
use std::time::Instant;

use sailtrack_units::{KindName, Rank};

use crate::breaker::Breaker;
use crate::floor::Floors;
use crate::pressure::Pressure;
use crate::window::{Place as WindowPlace, Windows};

/// Why a request does not begin.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Hold {
    /// As many requests of the kind are in progress as what they call can take.
    Window,
    /// A service further down has no upstream.
    Path,
    /// A service further down can finish requests of higher ranks only.
    Floor,
}

/// Whether requests of clients may begin at one node.
pub struct Outset {
    windows: Rc<Windows>,
    floors: Rc<Floors>,
    breaker: Breaker,
}

impl Outset {
    /// Returns an outset over these windows and floors.
    #[must_use]
    pub fn new(windows: Rc<Windows>, floors: Rc<Floors>) -> Rc<Self> {
        Rc::new(Self {
            windows,
            floors,
            breaker: Breaker::default(),
        })
    }

    /// Takes a place for a request of this kind and rank.
    ///
    /// # Errors
    ///
    /// The request is not to begin now, and why.
    pub fn begin(
        self: &Rc<Self>,
        kind: &KindName,
        rank: Rank,
        now: Instant,
    ) -> Result<Place, Hold> {
        if !self.breaker.lets_in(kind, now) {
            return Err(Hold::Path);
        }
        if !self.floors.lets_in(kind, rank, now) {
            return Err(Hold::Floor);
        }
        let window = self.windows.enter(kind, now).ok_or(Hold::Window)?;
        Ok(Place {
            outset: Rc::clone(self),
            kind: kind.clone(),
            window,
        })
    }
}

/// What a request has met until it ended.
#[derive(Debug, Clone, Copy, Default)]
pub struct Met {
    /// How full its own upstream is.
    pub here: Pressure,
    /// The greatest pressure that its calls met.
    pub below: Pressure,
    /// It failed since a service further down has no upstream.
    pub found_nobody: bool,
}

/// The place of one request that has begun.
pub struct Place {
    outset: Rc<Outset>,
    kind: KindName,
    window: WindowPlace,
}

impl Place {
    /// Notes what the request has met.
    ///
    /// The pressure at its own upstream counts like that of its calls. Without it a kind that
    /// calls nobody is held by the queue alone, keeps it full, and the windows of all kinds that
    /// call the same service from further up close.
    pub fn note(&self, now: Instant, met: Met) {
        self.window.note(now, met.below.greater(met.here));
        self.outset.breaker.note(&self.kind, now, met.found_nobody);
    }
}
