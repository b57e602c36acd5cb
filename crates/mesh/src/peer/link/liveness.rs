//! Finds out whether a node from which something is awaited still works.
//!
//! Nodes say what they are like the less often, the more of them there are:
//! among 194 nodes every 1.9 s. That is too seldom to notice by it that one
//! has stopped, so a node from which an answer is awaited is asked. What that
//! costs grows with the requests that wait, not with the nodes.

use std::time::Duration;

use futures::channel::oneshot;
use futures::future::{Either, select};
use monoio::time::sleep;
use sailtrack_log::{catalogue, emit};
use sailtrack_units::Era;
use sailtrack_wire::{Body, Ping, Pong};

use crate::clock;
use crate::peer::link::Link;
use crate::request::Response;
use crate::store::StoreTime;

/// A node from which nothing came for this many of its intervals gets no new requests.
const SILENT_INTERVALS: u32 = 3;
/// How long nothing may come while an answer is awaited before the node is asked, and before it is
/// asked again: the same as between two messages of the nodes of a small mesh.
const PING_PAUSE: Duration = Duration::from_millis(300);
/// A node that has not answered this many pings gets no new requests: that is 0.9 s after it
/// stopped, at any number of nodes. By the interval of 194 nodes alone it would be 5.8 s.
const SILENT_PINGS: u32 = 3;
/// The connection to a node that has not answered this many pings, for 2.4 s, is closed. An
/// instance that stands still for 2 s and goes on loses nothing by it.
const DEAD_PINGS: u32 = 8;

impl Link {
    /// Returns true if the node seems to have stopped.
    ///
    /// After a suspension of this instance every node does, until it is heard again.
    pub(crate) fn is_silent(&self) -> bool {
        let silence = clock::now().since(self.heard.get());
        silence > self.news.heartbeat_interval() * SILENT_INTERVALS
            || self.unanswered.get() >= SILENT_PINGS
    }

    /// Notes that something came from the node.
    pub(super) fn note_heard(&self) {
        self.heard.set(clock::now());
        self.unanswered.set(0);
    }

    /// Takes in an answer to a ping, which was sent after the first one that is open.
    pub(super) fn note_pong(&self, pong: Pong) {
        self.open_pings.set(self.open_pings.get().saturating_sub(1));
        if pong.store_at_most_ms > 0 {
            let at_most = StoreTime::from_millis(pong.store_at_most_ms);
            let era = Era(pong.store_era);
            self.news
                .handle_store_time(era, self.first_ping.get(), at_most);
        }
    }

    /// Waits for a reply, and finds out meanwhile whether the node still works.
    pub(super) async fn await_reply(
        &self,
        mut receiver: oneshot::Receiver<Response>,
    ) -> Result<Response, oneshot::Canceled> {
        loop {
            let pause = std::pin::pin!(sleep(PING_PAUSE));
            match select(&mut receiver, pause).await {
                Either::Left((reply, _)) => return reply,
                Either::Right(_) => self.ping_if_quiet(),
            }
        }
    }

    /// Asks the node for a sign of life if nothing came for a while; many requests may wait for it,
    /// and one question serves all.
    fn ping_if_quiet(&self) {
        let now = clock::now();
        let last = self.heard.get().max(self.pinged.get());
        if !self.is_open() || now.since(last) < PING_PAUSE {
            return;
        }
        if self.unanswered.get() >= DEAD_PINGS {
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
        self.unanswered.set(self.unanswered.get() + 1);
        self.ping();
    }

    /// Asks the node for a sign of life.
    pub(crate) fn ping(&self) {
        let now = clock::now();
        if self.open_pings.replace(self.open_pings.get() + 1) == 0 {
            self.first_ping.set(now);
        }
        self.pinged.set(now);
        // A full channel counts as a ping too: nothing gets through to the node.
        self.send(Body::Ping(Ping {}));
    }
}
