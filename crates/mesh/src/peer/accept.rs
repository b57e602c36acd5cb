//! Serves incoming connections of peers, with a task per connection and per request.

use std::rc::Rc;
use std::time::Duration;

use futures::SinkExt as _;
use futures::channel::mpsc;
use futures::future::{Either, select};
use monoio::io::Splitable as _;
use monoio::net::{TcpListener, TcpStream};
use monoio::time::timeout;
use sailtrack_kernel::Service;
use sailtrack_log::{catalogue, emit};
use sailtrack_net::accept::accept;
use sailtrack_net::connections::{Limits, Registration, Registry};
use sailtrack_net::frames::{
    BULK_CAPACITY, ConnectionError, FrameReader, OUTGOING_CAPACITY, hello, prioritize, write_frames,
};
use sailtrack_net::task;
use sailtrack_quota::Holder;
use sailtrack_units::Incarnation;
use sailtrack_wire::{
    Body, Config, Fetch, Forward, Hello, Pong, RateLimit as RateLimitMessage, Reason, Recall,
    Retire, Retired as RetiredMessage,
};

use crate::clock;
use crate::configuration::Current;
use crate::directory::{Directory, Member};
use crate::gate::{Gate, Upstream};
use crate::key::{AttemptKey, UpstreamKey};
use crate::memory::{Caller, Memory};
use crate::overdue;
use crate::peer::convert::{overdue_to_wire, request_from_wire};
use crate::peer::intake::Upload;
use crate::peer::response::{Exchanges, spawn_response};
use crate::quarantine::Quarantine;
use crate::quota::Quotas;
use crate::rate_limit::RateLimit;
use crate::request::Response;
use crate::retired::{Reason as Retirement, Retired};
use crate::settings::Settings;
use crate::shutdown::Shutdown;
use crate::status::Status;
use crate::store::{Clock, StoreTime};

/// Timeout for the hello of a new connection.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of requests in flight per connection.
const MAX_REQUESTS: usize = 4096;
/// Maximum number of connections.
const MAX_CONNECTIONS: usize = 1200;

/// Serves incoming connections of peers.
pub(crate) struct Acceptor {
    pub(crate) gate: Rc<Gate>,
    pub(crate) memory: Rc<Memory>,
    pub(crate) upstream: Rc<Upstream>,
    pub(crate) status: Rc<Status>,
    pub(crate) directory: Rc<Directory>,
    pub(crate) retired: Rc<Retired>,
    pub(crate) current: Rc<Current>,
    pub(crate) quarantine: Rc<Quarantine>,
    pub(crate) quotas: Rc<Quotas>,
    pub(crate) clock: Rc<Clock>,
    pub(crate) shutdown: Rc<Shutdown>,
    /// The open connections.
    pub(crate) connections: Rc<Registry>,
}

/// Ends what belongs to a connection when the task that serves it ends or is dropped.
struct Cleanup {
    exchanges: Rc<Exchanges>,
    outgoing: mpsc::Sender<Body>,
    bulk: mpsc::Sender<Body>,
}

impl Drop for Cleanup {
    fn drop(&mut self) {
        // The peer treats every request without a response as lost.
        for running in self.exchanges.running.borrow().values() {
            running.abort();
        }
        self.outgoing.close_channel();
        self.bulk.close_channel();
    }
}

impl Service for Acceptor {
    const NAME: &'static str = "peer-acceptor";
}

impl Acceptor {
    /// Returns the registry of connections of peers of a process with these settings.
    pub(crate) fn registry(settings: &Settings) -> Rc<Registry> {
        let limits = Limits {
            connections: MAX_CONNECTIONS,
            bytes: settings.peer_input_memory(),
        };
        Registry::new("peer", limits)
    }

    /// Accepts connections forever.
    pub(crate) async fn accept(self: Rc<Self>, listener: TcpListener) {
        let registry = Rc::clone(&self.connections);
        let serve = |stream, registration| Rc::clone(&self).serve(stream, registration);
        accept(listener, "peer connection", registry, serve).await;
    }

    async fn serve(self: Rc<Self>, stream: TcpStream, registration: Registration) {
        if stream.set_nodelay(true).is_err() {
            return;
        }
        let (read, write) = stream.into_split();
        let (mut outgoing, frames) = mpsc::channel(OUTGOING_CAPACITY);
        let (bulk, bulk_frames) = mpsc::channel(BULK_CAPACITY);
        task::spawn("peer writer", async move {
            // The reading side closes the connection if writing fails.
            let _ = write_frames(write, prioritize(frames, bulk_frames)).await;
        });
        let mut reader = FrameReader::new(read).count_for(registration.clone());
        let peer_hello = match timeout(HELLO_TIMEOUT, reader.hello()).await {
            Ok(Ok(peer_hello)) => peer_hello,
            Ok(Err(error)) => return reject(&error),
            Err(_) => return reject(&"timeout waiting for hello"),
        };
        // From now on it is a node, which is silent while it has nothing to send.
        registration.work();
        self.add_peer(&peer_hello);
        let introduction = Body::Presence(self.status.initial_presence());
        let greeting = [hello(self.status.local_member()), introduction];
        let greeting = greeting.into_iter().chain(self.quarantine.snapshot());
        for message in greeting {
            if outgoing.send(message).await.is_err() {
                return;
            }
        }
        self.status.subscribers.borrow_mut().push(outgoing.clone());
        let exchanges = Rc::new(Exchanges::new(peer_hello.hears_overdue, bulk.clone()));
        let _cleanup = Cleanup {
            exchanges: Rc::clone(&exchanges),
            outgoing: outgoing.clone(),
            bulk,
        };
        let holder = holder(&peer_hello);
        let ended = self.read(&mut reader, &outgoing, &exchanges, holder.as_ref());
        let ended = ended.await;
        if let Err(ConnectionError::Frame(error)) = ended {
            reject(&error);
        }
    }

    fn add_peer(&self, peer_hello: &Hello) {
        let Some(member) = &peer_hello.member else {
            return;
        };
        match Member::from_wire(member) {
            Ok(member) => self.directory.upsert(member),
            Err(error) => reject(&error),
        }
    }

    async fn read(
        self: &Rc<Self>,
        reader: &mut FrameReader,
        outgoing: &mpsc::Sender<Body>,
        exchanges: &Rc<Exchanges>,
        holder: Option<&Holder>,
    ) -> Result<(), ConnectionError> {
        loop {
            match reader.next().await? {
                Body::Forward(message) => self.start(message, outgoing, exchanges, holder),
                Body::Chunk(chunk) => exchanges.receive_chunk(&chunk),
                Body::Cancel(cancel) => {
                    if let Some(running) = exchanges.running.borrow_mut().remove(&cancel.exchange) {
                        running.abort();
                    }
                }
                Body::Grant(grant) => {
                    if let Some(granting) = exchanges.granting.borrow().get(&grant.exchange) {
                        // The response may have ended.
                        let _ = granting.unbounded_send(grant.chunks);
                    }
                }
                Body::Recall(recall) => self.recall(recall, outgoing, exchanges),
                Body::Retire(retire) => self.record_retirement(&retire, holder, outgoing),
                Body::Fetch(fetch) => self.send_configuration(fetch, outgoing),
                // If the channel is full, the messages in it show that this node is alive.
                Body::Ping(_) => drop(outgoing.clone().try_send(Body::Pong(self.pong()))),
                Body::TokenQuestion(question) => {
                    if let Some(holder) = holder {
                        let answer = self.quotas.answer(holder, &question);
                        // The peer treats a missing answer as a lost request.
                        let _ = outgoing.clone().try_send(Body::TokenAnswer(answer));
                    }
                }
                // All other messages are sent in the opposite direction only.
                _ => {}
            }
        }
    }

    fn pong(&self) -> Pong {
        let bound = self.clock.published_bound(clock::now());
        Pong {
            store_at_most_ms: bound.map_or(0, StoreTime::millis),
            store_era: self.clock.era().0,
        }
    }

    /// Starts a request whose body may still have to arrive.
    fn start(
        self: &Rc<Self>,
        mut message: Forward,
        outgoing: &mpsc::Sender<Body>,
        exchanges: &Rc<Exchanges>,
        holder: Option<&Holder>,
    ) {
        if let Some(limit) = &message.rate_limit {
            self.learn_limit(limit);
        }
        let exchange = message.exchange;
        let body = Upload {
            exchange,
            length: message.body_length,
            first: std::mem::take(&mut message.body),
            peer: holder.map_or(Caller::Anonymous, |holder| {
                Caller::Peer(holder.node.clone())
            }),
            outgoing: outgoing.clone(),
            exchanges: Rc::clone(exchanges),
        };
        let acceptor = Rc::clone(self);
        let is_full = exchanges.running.borrow().len() >= MAX_REQUESTS;
        let response = async move {
            if is_full {
                return Response::refused(Reason::Overload);
            }
            acceptor.run(message, body).await
        };
        spawn_response(exchange, response, outgoing, exchanges);
    }

    /// Receives the body of a request and runs the request on the local upstream.
    async fn run(&self, message: Forward, body: Upload) -> Response {
        let mut request = match request_from_wire(message) {
            Ok(request) => request,
            Err(error) => {
                reject(&error);
                return Response::refused(Reason::Undeclared);
            }
        };
        request.deadline = self.shutdown.work_deadline(request.deadline);
        request.caller = body.peer.clone();
        let (exchange, mut outgoing) = (body.exchange, body.outgoing.clone());
        let hears_overdue = body.exchanges.hears_overdue;
        let is_idempotent = request.idempotent;
        request.body = match self.receive_body(&request, body).await {
            Ok(buffer) => buffer,
            Err(refusal) => return refusal,
        };
        let (signal, notice) = overdue::channel();
        request.overdue = signal;
        let running = std::pin::pin!(self.gate.run(request));
        match select(running, std::pin::pin!(notice.wait())).await {
            Either::Left((response, _)) => response,
            // The peer would take the notice for the end, which it may be if the request can be
            // tried elsewhere.
            Either::Right((response, _)) if !hears_overdue && is_idempotent => response,
            Either::Right((_, running)) if !hears_overdue => running.await,
            Either::Right((response, running)) => {
                let reply = overdue_to_wire(exchange, &response);
                // If the channel is full, the peer waits for the reply itself.
                let _ = outgoing.try_send(Body::Reply(reply));
                running.await
            }
        }
    }

    /// Applies the rate limit that the peer knows from before this process was started.
    fn learn_limit(&self, limit: &RateLimitMessage) {
        let rate = RateLimit::from_wire(Some(limit)).rate();
        // A peer only passes on keys that it could parse.
        if let (Some(rate), Ok(upstream)) = (rate, limit.upstream.parse()) {
            self.upstream.learn_limit(&upstream, rate);
        }
    }

    fn recall(
        self: &Rc<Self>,
        recall: Recall,
        outgoing: &mpsc::Sender<Body>,
        exchanges: &Rc<Exchanges>,
    ) {
        let acceptor = Rc::clone(self);
        let exchange = recall.exchange;
        let response = async move {
            if Incarnation(recall.incarnation) != acceptor.status.incarnation {
                return Response::unknown(Reason::HomeGone);
            }
            let attempt = AttemptKey::from(recall.id.as_str());
            acceptor.gate.recall(&attempt).await
        };
        spawn_response(exchange, response, outgoing, exchanges);
    }

    fn record_retirement(
        &self,
        retire: &Retire,
        holder: Option<&Holder>,
        outgoing: &mpsc::Sender<Body>,
    ) {
        let Some(peer) = holder.map(|holder| holder.node.clone()) else {
            return reject(&"retirement from a peer without a name");
        };
        let upstream = match retire.upstream.parse::<UpstreamKey>() {
            Ok(upstream) => upstream,
            Err(error) => return reject(&error),
        };
        self.retired.note(&upstream, &Retirement::Told(peer));
        let exchange = retire.exchange;
        // Without an acknowledgement the peer does not count this node among the replicas of the
        // retirement.
        let _ = outgoing
            .clone()
            .try_send(Body::Retired(RetiredMessage { exchange }));
    }

    fn send_configuration(&self, fetch: Fetch, outgoing: &mpsc::Sender<Body>) {
        let version = self.current.version();
        if version.0 <= fetch.version {
            return;
        }
        let config = Config {
            version: version.0,
            text: self.current.text().to_string(),
        };
        // If the channel is full, the peer fetches again after the next presence message.
        let _ = outgoing.clone().try_send(Body::Config(config));
    }
}

/// Returns the identity under which tokens are granted on a connection. A peer that does not
/// identify itself gets none.
fn holder(peer_hello: &Hello) -> Option<Holder> {
    let member = peer_hello.member.as_ref()?;
    Some(Holder {
        node: member.node.parse().ok()?,
        incarnation: member.incarnation,
    })
}

pub(super) fn reject(reason: &dyn std::fmt::Display) {
    emit(
        &catalogue::INPUT_REFUSED,
        &[("port", &"peer"), ("reason", reason)],
    );
}
