//! Notices that the instance was suspended, and lets the node hear the news before it goes on.
//!
//! What a node knew before is as old as the suspension was long, and the
//! clock of the runtime does not show it: links look fresh, and requests
//! under which upstreams ended meanwhile look harmless.

#[cfg(test)]
mod tests;

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use monoio::time::sleep;
use sailtrack_kernel::Service;
use sailtrack_log::{catalogue, emit};
use sailtrack_units::Moment;

use crate::clock;
use crate::peer::Peers;

/// A difference between the two clocks that is no suspension: they are read one after the other.
const LEAST_TIME: Duration = Duration::from_millis(200);
/// How often the clocks are compared while no request does.
const LOOK: Duration = Duration::from_millis(200);
/// How long after a suspension nothing is let into the own upstream. Within it what came meanwhile
/// is read from open connections, and closed ones are opened again; without it the first requests
/// would be judged by what was known before.
const CATCH_UP_TIME: Duration = Duration::from_millis(300);

/// Notices that the instance was suspended.
pub(crate) struct Detector {
    peers: Rc<Peers>,
    /// The last reading of both clocks.
    last: Cell<(Instant, Moment)>,
    /// Until when the news is waited for.
    until: Cell<Option<Instant>>,
}

impl Service for Detector {
    const NAME: &'static str = "wake";
}

impl Detector {
    pub(crate) fn new(peers: Rc<Peers>) -> Self {
        Self {
            peers,
            last: Cell::new((Instant::now(), clock::now())),
            until: Cell::default(),
        }
    }

    /// Compares the clocks; returns for how long the instance was suspended since the last time.
    pub(crate) fn check(&self) -> Option<Duration> {
        let (steady, moment) = (Instant::now(), clock::now());
        let (steady_before, moment_before) = self.last.replace((steady, moment));
        let ran = steady.saturating_duration_since(steady_before);
        let time = moment.since(moment_before).saturating_sub(ran);
        if time < LEAST_TIME {
            return None;
        }
        self.until.set(Some(steady + CATCH_UP_TIME));
        emit(
            &catalogue::INSTANCE_SUSPENDED,
            &[("time_ms", &time.as_millis())],
        );
        // Every node counts as silent now until it is heard.
        self.peers.ping_all();
        Some(time)
    }

    /// Waits, after a suspension, until what happened meanwhile is known.
    pub(crate) async fn catch_up(&self) {
        self.check();
        let Some(until) = self.until.get() else {
            return;
        };
        let left = until.saturating_duration_since(Instant::now());
        if !left.is_zero() {
            sleep(left).await;
        }
    }

    /// Compares the clocks for as long as the task lives.
    pub(crate) async fn run(self: Rc<Self>) {
        loop {
            sleep(LOOK).await;
            self.check();
        }
    }
}
