//! The incarnation of the local upstream that gets requests, and its end.

use std::time::{Duration, Instant};

use futures::FutureExt as _;
use futures::channel::oneshot;
use futures::future::Shared;
use sailtrack_units::Moment;

use crate::dialect::Heartbeat;
use crate::key::UpstreamKey;

/// How long the current incarnation must be silent before a heartbeat with an earlier start time is
/// accepted. Such a heartbeat may be a late one of an incarnation that has ended, or come from a
/// new incarnation after the clock of the instance went back. Three heartbeat intervals.
pub(super) const MAX_SILENCE: Duration = Duration::from_millis(4500);

/// The current incarnation of the local upstream.
#[derive(Debug, Clone)]
pub(super) struct Incarnation {
    pub(super) key: UpstreamKey,
    pub(super) slots: u32,
    pub(super) sequence: u64,
    /// When its last heartbeat arrived.
    pub(super) last_heartbeat: Instant,
    /// The end of its slow phase after a cold start.
    pub(super) cold_until: Moment,
}

impl Incarnation {
    /// Returns true if a heartbeat comes from this incarnation, as far as its key tells.
    pub(super) fn is_sender_of(&self, heartbeat: &Heartbeat) -> bool {
        self.key.is_same_incarnation(&heartbeat.upstream)
    }

    /// Returns true if it has sent no heartbeat for so long that it may have ended.
    pub(super) fn is_silent(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_heartbeat) >= MAX_SILENCE
    }

    /// Returns true if a heartbeat comes from an earlier incarnation and must be ignored.
    pub(super) fn supersedes(&self, heartbeat: &Heartbeat, now: Instant) -> bool {
        heartbeat.upstream.is_older_than(&self.key) && !self.is_silent(now)
    }
}

/// Resolves when the incarnation from which it was taken is known to have ended, since a later one
/// exists.
pub(crate) type Ended = Shared<oneshot::Receiver<()>>;

/// Signals the end of an incarnation.
pub(super) struct End {
    /// Dropped when the incarnation ends, which resolves `ended`.
    _sender: oneshot::Sender<()>,
    pub(super) ended: Ended,
}

impl End {
    pub(super) fn new() -> Self {
        let (sender, receiver) = oneshot::channel();
        Self {
            _sender: sender,
            ended: receiver.shared(),
        }
    }
}
