//! Opens the connection of a link, reopens it when it is lost, and reads from it.

use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::channel::mpsc;
use futures::future::{Either, select};
use monoio::io::Splitable as _;
use monoio::time::{sleep, timeout};
use rand::Rng as _;
use sailtrack_log::{catalogue, emit};
use sailtrack_net::dial::{DialError, dial, set_user_timeout};
use sailtrack_net::frames::{
    BULK_CAPACITY, ConnectionError, FrameReader, OUTGOING_CAPACITY, hello, prioritize, write_frames,
};
use sailtrack_units::Incarnation;
use sailtrack_wire::{Body, Hello};

use crate::peer::link::Link;

/// Timeout for connecting and for the handshake: a few round trips between regions.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// Initial backoff before a lost connection is reopened.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
/// Maximum backoff. Nodes must reconnect within about a second after a partition ends.
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// Time after which a connection with unacknowledged data is closed (TCP user timeout).
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2500);
/// Number of heartbeat intervals without any message after which a connection is closed.
const DEAD_INTERVALS: u32 = 8;

impl Link {
    /// Keeps the connection open until the link is closed.
    pub(crate) async fn run(self: Rc<Self>) {
        let mut backoff = MIN_BACKOFF;
        while !self.closed.get() {
            let result = self.connect_and_run().await;
            let was_open = self.incarnation.get() != Incarnation::default();
            self.end(was_open, &result);
            if was_open {
                backoff = MIN_BACKOFF;
            }
            sleep(backoff.mul_f64(rand::rng().random_range(0.5..1.0))).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }

    async fn connect_and_run(&self) -> Result<(), ConnectionError> {
        let dialed = dial(self.member.address, Some(self.source), CONNECT_TIMEOUT)
            .await
            .map_err(ConnectionError::Dial)?;
        set_user_timeout(&dialed.probe, UNACKNOWLEDGED_TIMEOUT).map_err(ConnectionError::Io)?;
        drop(dialed.probe);
        let (read, write) = dialed.stream.into_split();
        let (mut outgoing, frames) = mpsc::channel(OUTGOING_CAPACITY);
        // The channel is new, so there is room for the first message.
        let _ = outgoing.try_send(hello(self.delegate.local_member()));
        let (bulk, bulk_frames) = mpsc::channel(BULK_CAPACITY);
        let reading = std::pin::pin!(self.read(FrameReader::new(read), outgoing, bulk));
        let writing = std::pin::pin!(write_frames(write, prioritize(frames, bulk_frames)));
        match select(reading, writing).await {
            Either::Left((result, _)) | Either::Right((result, _)) => result,
        }
    }

    async fn read(
        &self,
        mut reader: FrameReader,
        outgoing: mpsc::Sender<Body>,
        bulk: mpsc::Sender<Body>,
    ) -> Result<(), ConnectionError> {
        let greeting = timeout(CONNECT_TIMEOUT, reader.hello()).await;
        let hello = greeting.map_err(|_| ConnectionError::Dial(DialError::Timeout))??;
        self.check_member(&hello)?;
        *self.outgoing.borrow_mut() = Some(outgoing);
        *self.bulk.borrow_mut() = Some(bulk);
        self.open(&hello);
        loop {
            let idle_timeout = self.delegate.heartbeat_interval() * DEAD_INTERVALS;
            let message = timeout(idle_timeout, reader.next()).await;
            let message = message.map_err(|_| ConnectionError::Dial(DialError::Timeout))??;
            self.record_activity();
            self.handle(message);
        }
    }

    /// Rejects a node that was assigned the address of the expected one, which is gone.
    ///
    /// It would receive requests for a service that it does not serve. In a simulated day with one
    /// remaining upstream of a service, 35 % of the failures were attributed to such a node, though
    /// the actual cause was that the remaining upstream was overloaded. The service is compared as
    /// well, because a row that was not written by a node may contain the name and address of one.
    fn check_member(&self, hello: &Hello) -> Result<(), ConnectionError> {
        match &hello.member {
            Some(member)
                if member.node != self.member.name.as_str()
                    || member.service != self.member.service.as_str() =>
            {
                Err(ConnectionError::UnexpectedPeer(member.node.clone()))
            }
            _ => Ok(()),
        }
    }

    fn open(&self, hello: &Hello) {
        let member = hello.member.clone().unwrap_or_default();
        // Zero means that there is no connection, so an incarnation is at least one.
        self.incarnation.set(Incarnation(member.incarnation.max(1)));
        self.state.set(member.state());
        self.upstream.set_slots(member.slots);
        self.record_activity();
        self.lost_since.set(None);
        emit(&catalogue::PEER_CONNECTED, &[("node", &self.member.name)]);
    }

    fn end(&self, was_open: bool, result: &Result<(), ConnectionError>) {
        self.disconnect();
        if self.lost_since.get().is_none() {
            self.lost_since.set(Some(Instant::now()));
        }
        let Err(error) = result else {
            return;
        };
        let is_stranger = matches!(error, ConnectionError::UnexpectedPeer(_));
        // Reconnection attempts to the address may go on for minutes, until the row of the node is
        // removed. The wrong node is logged only once.
        let is_first = is_stranger && !self.found_stranger.replace(is_stranger);
        if was_open || is_first {
            emit(
                &catalogue::PEER_LOST,
                &[("node", &self.member.name), ("reason", error)],
            );
        }
    }
}
