//! One outgoing connection to another node, shared by all calls to it.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use futures::channel::{mpsc, oneshot};
use futures::future::{Either, FutureExt as _, Shared, select};
use monoio::io::Splitable as _;
use monoio::time::timeout;
use sailtrack_log::{catalogue, emit};
use sailtrack_net::dial::{DialError, dial};
use sailtrack_net::task;
use sailtrack_units::ConfigVersion;
use sailtrack_wire::{Body, Cancel, Config, Fetch, Member, Outcome, Reason};

use crate::call::{Answer, Call};
use crate::membership::Peer;
use crate::metrics::Metrics;
use crate::peer::convert::{call_to_wire, part_to_wire};
use crate::peer::reassembly::Reassembly;
use crate::ticket::Part;
use sailtrack_net::frames::{ConnectionError, FrameReader, OUTGOING_CAPACITY, hello, write_frames};

/// Time limit for connecting, and again for the hello.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The state of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Opening,
    Open,
    Closed,
}

/// One outgoing connection to another node.
pub(crate) struct Link {
    peer: Rc<Peer>,
    stage: Cell<Stage>,
    opened: Shared<oneshot::Receiver<()>>,
    outgoing: RefCell<Option<mpsc::Sender<Body>>>,
    pending: RefCell<HashMap<u64, oneshot::Sender<Answer>>>,
    reassembling: RefCell<HashMap<u64, Reassembly>>,
    pending_fetches: RefCell<Vec<oneshot::Sender<Config>>>,
    next_exchange: Cell<u64>,
    metrics: Rc<Metrics>,
}

impl Link {
    /// Starts opening a connection; [`Link::ready`] waits for the result.
    pub(crate) fn open(
        peer: Rc<Peer>,
        source: IpAddr,
        member: Member,
        metrics: Rc<Metrics>,
    ) -> Rc<Self> {
        let (outgoing, frames) = mpsc::channel(OUTGOING_CAPACITY);
        let (opened, ready) = oneshot::channel();
        let link = Rc::new(Self {
            peer,
            stage: Cell::new(Stage::Opening),
            opened: ready.shared(),
            outgoing: RefCell::new(Some(outgoing)),
            pending: RefCell::default(),
            reassembling: RefCell::default(),
            pending_fetches: RefCell::default(),
            next_exchange: Cell::new(1),
            metrics,
        });
        let task_link = Rc::clone(&link);
        task::spawn("peer link", async move {
            let result = task_link.run(source, member, frames, opened).await;
            task_link.finish(result.err());
        });
        link
    }

    /// Waits until the connection is open; returns false if it could not be opened.
    pub(crate) async fn ready(&self) -> bool {
        if self.stage.get() == Stage::Opening {
            // The sender is dropped when opening fails.
            let _ = self.opened.clone().await;
        }
        self.is_open()
    }

    /// Returns true if the link connects to this incarnation of the peer at this address.
    pub(crate) fn is_for(&self, peer: &Peer) -> bool {
        self.peer.incarnation == peer.incarnation && self.peer.address == peer.address
    }

    /// Returns true unless the link is closed.
    pub(crate) fn is_usable(&self) -> bool {
        self.stage.get() != Stage::Closed
    }

    /// Returns true while calls can be sent.
    pub(crate) fn is_open(&self) -> bool {
        self.stage.get() == Stage::Open
    }

    /// Closes the link; the outcome of unanswered calls is unknown.
    pub(crate) fn close(&self) {
        self.stage.set(Stage::Closed);
        *self.outgoing.borrow_mut() = None;
        self.pending.borrow_mut().clear();
        self.pending_fetches.borrow_mut().clear();
    }

    /// Sends a call and waits for its answer; dropping the future cancels the call.
    ///
    /// `entry` asks the other node to account for a client's request.
    pub(crate) async fn call(&self, call: &Call, entry: bool) -> Answer {
        let (exchange, receiver) = self.open_exchange();
        let guard = CancelGuard {
            link: self,
            exchange,
        };
        let message = call_to_wire(exchange, call, entry);
        if !self.send(Body::Call(message)) {
            drop(guard);
            return Answer::not_run(Reason::Connection);
        }
        let answer = receiver.await;
        drop(guard);
        answer.unwrap_or_else(|_| Answer {
            used: call.allowance,
            ..Answer::unknown(Reason::Connection)
        })
    }

    /// Opens an exchange, whose answer arrives at the receiver.
    fn open_exchange(&self) -> (u64, oneshot::Receiver<Answer>) {
        let exchange = self.next_exchange.get();
        self.next_exchange.set(exchange + 1);
        let (sender, receiver) = oneshot::channel();
        self.pending.borrow_mut().insert(exchange, sender);
        (exchange, receiver)
    }

    /// Sends a part of a handover; returns true if it was accepted.
    pub(crate) async fn hand_over(&self, part: &Part) -> bool {
        let (exchange, receiver) = self.open_exchange();
        if !self.send(Body::Handover(part_to_wire(exchange, part))) {
            return false;
        }
        let answer = receiver.await;
        answer.is_ok_and(|answer| answer.outcome == Outcome::Done)
    }

    /// Requests the configuration if its version is above `version`.
    pub(crate) async fn fetch(&self, version: ConfigVersion) -> Option<Config> {
        let (sender, receiver) = oneshot::channel();
        self.pending_fetches.borrow_mut().push(sender);
        if !self.send(Body::Fetch(Fetch { version: version.0 })) {
            return None;
        }
        receiver.await.ok()
    }

    /// Queues a message; returns false if it will certainly not be sent.
    fn send(&self, body: Body) -> bool {
        let mut outgoing = self.outgoing.borrow_mut();
        let Some(outgoing) = outgoing.as_mut() else {
            return false;
        };
        outgoing.try_send(body).is_ok()
    }

    async fn run(
        &self,
        source: IpAddr,
        member: Member,
        frames: mpsc::Receiver<Body>,
        opened: oneshot::Sender<()>,
    ) -> Result<(), ConnectionError> {
        let dialed = dial(self.peer.address, Some(source), CONNECT_TIMEOUT)
            .await
            .map_err(ConnectionError::Dial)?;
        let (read, write) = dialed.stream.into_split();
        drop(dialed.probe);
        self.send(hello(member));
        let reading = std::pin::pin!(self.read(FrameReader::new(read), opened));
        let writing = std::pin::pin!(write_frames(write, frames));
        match select(reading, writing).await {
            Either::Left((result, _)) | Either::Right((result, _)) => result,
        }
    }

    /// Waits for the hello of the other side, which shows that it is reachable, and reports the
    /// link as open.
    async fn await_hello(
        &self,
        reader: &mut FrameReader,
        opened: oneshot::Sender<()>,
    ) -> Result<(), ConnectionError> {
        match timeout(CONNECT_TIMEOUT, reader.hello()).await {
            Err(_) => return Err(ConnectionError::Dial(DialError::Timeout)),
            Ok(hello) => hello?,
        };
        self.stage.set(Stage::Open);
        emit(&catalogue::PEER_CONNECTED, &[("node", &self.peer.name)]);
        // The waiters may have disconnected.
        let _ = opened.send(());
        Ok(())
    }

    async fn read(
        &self,
        mut reader: FrameReader,
        opened: oneshot::Sender<()>,
    ) -> Result<(), ConnectionError> {
        self.await_hello(&mut reader, opened).await?;
        loop {
            match reader.next().await? {
                Body::Answer(answer) => self.handle_answer(answer),
                Body::Chunk(chunk) => self.handle_chunk(chunk.exchange, &chunk.data),
                Body::Config(config) => self.handle_config(&config),
                // The other messages are for the opposite direction or for the peer port of sailtrack-mesh.
                _ => {}
            }
        }
    }

    /// Processes the head of an answer; one without a waiting caller is dropped.
    fn handle_answer(&self, head: sailtrack_wire::Answer) {
        let exchange = head.exchange;
        if !self.pending.borrow().contains_key(&exchange) {
            return;
        }
        match Reassembly::new(head) {
            Some(partial) if partial.is_complete() => self.complete(exchange, partial.finish()),
            Some(partial) => {
                self.reassembling.borrow_mut().insert(exchange, partial);
            }
            None => self.complete(exchange, Answer::unknown(Reason::AnswerTooLarge)),
        }
    }

    fn handle_chunk(&self, exchange: u64, data: &bytes::Bytes) {
        let Some(mut reassembly) = self.reassembling.borrow_mut().remove(&exchange) else {
            return;
        };
        if !reassembly.append(data) {
            self.complete(exchange, Answer::unknown(Reason::AnswerTooLarge));
        } else if reassembly.is_complete() {
            self.complete(exchange, reassembly.finish());
        } else {
            self.reassembling.borrow_mut().insert(exchange, reassembly);
        }
    }

    fn complete(&self, exchange: u64, answer: Answer) {
        if let Some(waiter) = self.pending.borrow_mut().remove(&exchange) {
            // The caller may have disconnected.
            let _ = waiter.send(answer);
        }
    }

    fn handle_config(&self, config: &Config) {
        for waiter in self.pending_fetches.borrow_mut().drain(..) {
            // The fetch may have timed out.
            let _ = waiter.send(config.clone());
        }
    }

    fn finish(&self, error: Option<ConnectionError>) {
        let was_open = self.stage.get() == Stage::Open;
        self.close();
        if let (true, Some(error)) = (was_open, error) {
            self.metrics.record_peer_lost();
            emit(
                &catalogue::PEER_LOST,
                &[("node", &self.peer.name), ("reason", &error)],
            );
        }
    }
}

/// Cancels a call if its caller stops waiting before the answer arrives.
struct CancelGuard<'a> {
    link: &'a Link,
    exchange: u64,
}

impl Drop for CancelGuard<'_> {
    fn drop(&mut self) {
        let was_pending = self.link.pending.borrow_mut().remove(&self.exchange);
        self.link.reassembling.borrow_mut().remove(&self.exchange);
        if was_pending.is_some() {
            self.link.send(Body::Cancel(Cancel {
                exchange: self.exchange,
            }));
        }
    }
}
