//! Keeps the connection of a link open and reads what comes through it.

use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::channel::mpsc;
use futures::future::{Either, select};
use monoio::io::Splitable as _;
use monoio::time::{sleep, timeout};
use rand::Rng as _;
use sailtrack_log::{catalogue, emit};
use sailtrack_net::dial::{DialError, dial, give_up_after};
use sailtrack_net::frames::{ConnectionError, FrameReader, OUTGOING_CAPACITY, hello, write_frames};
use sailtrack_units::Incarnation;
use sailtrack_wire::{Body, Hello};

use crate::peer::link::Link;

/// How long opening a connection may take: some round trips between regions.
const CONNECT_TIME: Duration = Duration::from_millis(700);
/// The first pause before a lost connection is opened anew.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// The longest pause; a node is to be found within a second or so after a partition ends.
const LONGEST_PAUSE: Duration = Duration::from_secs(1);
/// Data that is not acknowledged for this long ends a connection.
const UNACKNOWLEDGED_TIME: Duration = Duration::from_millis(2500);
/// A connection through which nothing came for this many of the other node's intervals is closed.
const DEAD_INTERVALS: u32 = 8;

impl Link {
    /// Keeps the connection open for as long as the link is wanted.
    pub(crate) async fn run(self: Rc<Self>) {
        let mut pause = FIRST_PAUSE;
        while !self.closed.get() {
            let result = self.connect_and_run().await;
            let was_open = self.life.get() != Incarnation::default();
            self.end(was_open, &result);
            if was_open {
                pause = FIRST_PAUSE;
            }
            sleep(pause.mul_f64(rand::rng().random_range(0.5..1.0))).await;
            pause = (pause * 2).min(LONGEST_PAUSE);
        }
    }

    async fn connect_and_run(&self) -> Result<(), ConnectionError> {
        let dialed = dial(self.member.address, Some(self.source), CONNECT_TIME)
            .await
            .map_err(ConnectionError::Dial)?;
        give_up_after(&dialed.probe, UNACKNOWLEDGED_TIME).map_err(ConnectionError::Io)?;
        drop(dialed.probe);
        let (read, write) = dialed.stream.into_split();
        let (mut outgoing, frames) = mpsc::channel(OUTGOING_CAPACITY);
        // The channel is new and empty, so the first message has room.
        let _ = outgoing.try_send(hello(self.news.local_member()));
        let reading = std::pin::pin!(self.read(FrameReader::new(read), outgoing));
        let writing = std::pin::pin!(write_frames(write, frames));
        match select(reading, writing).await {
            Either::Left((result, _)) | Either::Right((result, _)) => result,
        }
    }

    async fn read(
        &self,
        mut reader: FrameReader,
        outgoing: mpsc::Sender<Body>,
    ) -> Result<(), ConnectionError> {
        let greeting = timeout(CONNECT_TIME, reader.hello()).await;
        let hello = greeting.map_err(|_| ConnectionError::Dial(DialError::Timeout))??;
        self.check_member(&hello)?;
        *self.outgoing.borrow_mut() = Some(outgoing);
        self.open(&hello);
        loop {
            let patience = self.news.heartbeat_interval() * DEAD_INTERVALS;
            let message = timeout(patience, reader.next()).await;
            let message = message.map_err(|_| ConnectionError::Dial(DialError::Timeout))??;
            self.note_heard();
            self.take(message);
        }
    }

    /// Refuses another node that was given the address of this one, which is gone.
    ///
    /// It would get the requests of a service that it does not serve: on a played day with one
    /// upstream of a service left, 35 % of what ended badly was put down to such a node, while the
    /// full upstream beside it was what callers had to be told of. The service is compared as well,
    /// since a row of the store that somebody else wrote may bear the name and address of a node.
    fn check_member(&self, hello: &Hello) -> Result<(), ConnectionError> {
        match &hello.member {
            Some(member)
                if member.node != self.member.name.as_str()
                    || member.service != self.member.service.as_str() =>
            {
                Err(ConnectionError::Stranger(member.node.clone()))
            }
            _ => Ok(()),
        }
    }

    fn open(&self, hello: &Hello) {
        let member = hello.member.clone().unwrap_or_default();
        // A life is never zero, which stands for no connection.
        self.life.set(Incarnation(member.incarnation.max(1)));
        self.state.set(member.state());
        self.slots.set(member.slots);
        self.note_heard();
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
        let is_stranger = matches!(error, ConnectionError::Stranger(_));
        // The address may be tried again for minutes, until the row of the node is removed.
        let is_news = is_stranger && !self.strange.replace(is_stranger);
        if was_open || is_news {
            emit(
                &catalogue::PEER_LOST,
                &[("node", &self.member.name), ("reason", error)],
            );
        }
    }
}
