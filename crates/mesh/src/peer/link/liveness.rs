//! Failure detection for nodes from which a response is pending.
//!
//! The interval between presence messages grows with the number of nodes: it
//! is 1.9 s in a mesh of 194. That is too long for detecting a stopped node,
//! so nodes with pending responses are pinged. The cost grows with the number
//! of pending requests, not with the number of nodes.

use std::time::Duration;

use futures::channel::oneshot;
use futures::future::{Either, select};
use monoio::time::{sleep, timeout};
use sailtrack_log::{catalogue, emit};
use sailtrack_units::Era;
use sailtrack_wire::{Body, Ping, Pong};

use crate::clock;
use crate::peer::link::Link;
use crate::request::Response;
use crate::store::StoreTime;

/// Number of heartbeat intervals without any message after which a node gets no new requests.
const SILENT_INTERVALS: u32 = 3;
/// Time without any message before a node with a pending response is pinged, and pinged again.
/// Equal to the heartbeat interval of a small mesh.
const PING_INTERVAL: Duration = Duration::from_millis(300);
/// Number of unanswered pings after which a node gets no new requests: 0.9 s after it stopped,
/// independent of the number of nodes. With the heartbeat interval of 194 nodes alone it would take
/// 5.8 s.
const SILENT_PINGS: u32 = 3;
/// Number of unanswered pings after which the connection is closed: after 2.4 s, so that an
/// instance that freezes for 2 s loses no requests.
const DEAD_PINGS: u32 = 8;

/// How long to wait for the answer to a ping that decides whether a process is alive.
const PONG_TIMEOUT: Duration = Duration::from_millis(500);
/// How often to check for that answer.
const PONG_CHECK_INTERVAL: Duration = Duration::from_millis(5);

impl Link {
    /// Returns true if the node seems to have stopped.
    ///
    /// After a suspension of the local instance this holds for every node until its next message.
    pub(crate) fn is_silent(&self) -> bool {
        let silence = clock::now().since(self.last_received.get());
        silence > self.delegate.heartbeat_interval() * SILENT_INTERVALS
            || self.pings_since_received.get() >= SILENT_PINGS
    }

    /// Records that a message arrived from the node.
    pub(super) fn record_activity(&self) {
        self.last_received.set(clock::now());
        self.pings_since_received.set(0);
    }

    /// Handles the response to a ping. The clock reading in it was taken after the first unanswered
    /// ping was sent.
    pub(super) fn handle_pong(&self, pong: Pong) {
        self.pending_pings
            .set(self.pending_pings.get().saturating_sub(1));
        self.pongs.set(self.pongs.get() + 1);
        if pong.store_at_most_ms > 0 {
            let bound = StoreTime::from_millis(pong.store_at_most_ms);
            let era = Era(pong.store_era);
            self.delegate
                .handle_store_time(era, self.first_ping.get(), bound);
        }
    }

    /// Pings the node; returns true if the process at the other end of the connection responds.
    pub(crate) async fn responds(&self) -> bool {
        let incarnation = self.incarnation();
        self.ping();
        // Pings are answered in their order.
        let expected = self.pongs.get() + u64::from(self.pending_pings.get());
        let answered = async {
            while self.pongs.get() < expected {
                sleep(PONG_CHECK_INTERVAL).await;
            }
        };
        let is_answered = timeout(PONG_TIMEOUT, answered).await.is_ok();
        is_answered && self.incarnation() == incarnation
    }

    /// Waits for a reply and pings the node meanwhile to detect whether it stopped.
    pub(super) async fn await_reply(
        &self,
        mut receiver: oneshot::Receiver<Response>,
    ) -> Result<Response, oneshot::Canceled> {
        loop {
            let pause = std::pin::pin!(sleep(PING_INTERVAL));
            match select(&mut receiver, pause).await {
                Either::Left((reply, _)) => return reply,
                Either::Right(_) => self.ping_if_quiet(),
            }
        }
    }

    /// Sends a ping if there was no message for a while. All pending requests share one ping.
    fn ping_if_quiet(&self) {
        let now = clock::now();
        let last = self.last_received.get().max(self.last_ping.get());
        if !self.is_open() || now.since(last) < PING_INTERVAL {
            return;
        }
        if self.pings_since_received.get() >= DEAD_PINGS {
            emit(
                &catalogue::PEER_LOST,
                &[
                    ("node", &self.member.name),
                    ("reason", &"no answer to pings"),
                ],
            );
            self.disconnect();
            return;
        }
        self.pings_since_received
            .set(self.pings_since_received.get() + 1);
        self.ping();
    }

    /// Sends a ping.
    pub(crate) fn ping(&self) {
        let now = clock::now();
        if self.pending_pings.replace(self.pending_pings.get() + 1) == 0 {
            self.first_ping.set(now);
        }
        self.last_ping.set(now);
        // A ping that finds the channel full counts as sent: the node does not read its connection.
        self.send(Body::Ping(Ping {}));
    }
}
