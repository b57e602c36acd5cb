//! Detects that the instance was suspended, and delays requests until the node has caught up.
//!
//! After a suspension the node's view of its peers is out of date, which the
//! clock of the runtime does not show: links still look alive, and requests
//! that crashed upstreams in the meantime are not yet known as harmful.

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

/// Shortest suspension that is recognized. The two clocks are read one after the other, so smaller
/// differences between them mean nothing.
const MIN_SUSPENSION: Duration = Duration::from_millis(200);
/// How often the clocks are compared when no request triggers a comparison.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// How long after a suspension no request is sent on. In this time messages that arrived meanwhile
/// are read from open connections, and closed connections are reopened. Otherwise the first
/// requests would be handled with outdated information.
const CATCH_UP_TIME: Duration = Duration::from_millis(300);

/// Detects suspensions of the instance by comparing two clocks, only one of which counts them.
pub(crate) struct Detector {
    peers: Rc<Peers>,
    /// The last reading of both clocks.
    last: Cell<(Instant, Moment)>,
    /// Until when requests wait after the last suspension.
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

    /// Compares the clocks; returns how long the instance was suspended since the last check.
    pub(crate) fn check(&self) -> Option<Duration> {
        let (runtime, moment) = (Instant::now(), clock::now());
        let (last_runtime, last_moment) = self.last.replace((runtime, moment));
        let ran = runtime.saturating_duration_since(last_runtime);
        let time = moment.since(last_moment).saturating_sub(ran);
        if time < MIN_SUSPENSION {
            return None;
        }
        self.until.set(Some(runtime + CATCH_UP_TIME));
        emit(
            &catalogue::INSTANCE_SUSPENDED,
            &[("time_ms", &time.as_millis())],
        );
        // Each peer has to answer before it counts as reachable again.
        self.peers.ping_all();
        Some(time)
    }

    /// Waits, after a suspension, until the node has learned what happened meanwhile.
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

    /// Compares the clocks periodically; never returns.
    pub(crate) async fn run(self: Rc<Self>) {
        loop {
            sleep(CHECK_INTERVAL).await;
            self.check();
        }
    }
}
