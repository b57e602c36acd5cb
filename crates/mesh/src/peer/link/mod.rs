//! The outgoing connection to one other node, which is reopened whenever it is lost.

mod connection;
mod forward;
mod liveness;
mod lost;
mod questions;
mod replies;
#[cfg(test)]
mod tests;
mod upstream;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::IpAddr;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

use futures::channel::{mpsc, oneshot};
use sailtrack_net::connections::Registration;
use sailtrack_quarantine::Execution;
use sailtrack_units::{Incarnation, Moment, Pace};
use sailtrack_wire::{Body, Cancel, Chunk, Config, Grant, Presence, State, TokenAnswer};

use crate::clock;
use crate::directory::Member;
use crate::key::UpstreamKey;
use crate::overdue;
use crate::peer::Delegate;
use crate::peer::link::lost::Lost;
use crate::peer::link::upstream::Upstream;
use crate::peer::reassembly::Reassembly;
use crate::request::Response;
use crate::routing::PeerLoad;
use crate::watch::Priority;
pub(crate) use forward::Delivery;

/// A pending response of the other node.
enum Pending {
    /// The reply to a request or to a recall of an earlier request.
    Reply(Waiting),
    Retired(oneshot::Sender<()>),
}

/// What waits for a reply.
struct Waiting {
    sender: oneshot::Sender<Response>,
    /// Raised if the node says that the reply is overdue.
    overdue: overdue::Signal,
    /// The request itself, unless it is only recalled.
    execution: Option<Execution>,
    /// The connection of the client that gets the reply, if that is one of this node.
    client: Option<Registration>,
}

/// The outgoing connection to one other node, with what the node reports about itself.
pub(crate) struct Link {
    pub(crate) member: Rc<Member>,
    pub(crate) load: RefCell<PeerLoad>,
    source: IpAddr,
    delegate: Rc<dyn Delegate>,
    outgoing: RefCell<Option<mpsc::Sender<Body>>>,
    /// Messages that are sent when `outgoing` is empty: the bodies of requests.
    bulk: RefCell<Option<mpsc::Sender<Body>>>,
    /// Uploads that wait until the other node has memory for them, by exchange.
    uploads: RefCell<HashMap<u64, oneshot::Sender<()>>>,
    pending: RefCell<HashMap<u64, Pending>>,
    replies: RefCell<HashMap<u64, Reassembly<replies::Partial>>>,
    /// Channels for the chunks of streamed bodies, by exchange.
    streams: RefCell<HashMap<u64, mpsc::UnboundedSender<Chunk>>>,
    config_requests: RefCell<Vec<oneshot::Sender<Config>>>,
    lost: Lost,
    next_exchange: Cell<u64>,
    /// The incarnation of the other node; zero while it is not connected.
    incarnation: Cell<Incarnation>,
    state: Cell<State>,
    upstream: Upstream,
    /// When the last message arrived.
    last_received: Cell<Moment>,
    /// Number of pings on this connection without a pong.
    pending_pings: Cell<u32>,
    /// Number of pongs so far.
    pongs: Cell<u64>,
    /// When the first of these pings was sent.
    first_ping: Cell<Moment>,
    /// When the last ping was sent.
    last_ping: Cell<Moment>,
    /// Number of pings sent since the last message of any kind arrived.
    pings_since_received: Cell<u32>,
    lost_since: Cell<Option<Instant>>,
    closed: Cell<bool>,
    /// Whether the node has told on this connection which upstreams retired.
    introduced: Cell<bool>,
    /// Whether another node was found at the address.
    found_stranger: Cell<bool>,
    /// The position of the node in the order of watchers of the store.
    priority: Priority,
    /// Whether the node cannot reach the store.
    store_lost: Cell<bool>,
    /// The node's term as quota allocator of its failure domain; zero if it is not the allocator.
    quota_term: Cell<u64>,
    /// Pending token requests, by exchange.
    token_requests: RefCell<HashMap<u64, oneshot::Sender<TokenAnswer>>>,
    this: Weak<Self>,
}

impl Link {
    pub(crate) fn new(member: Rc<Member>, source: IpAddr, delegate: Rc<dyn Delegate>) -> Rc<Self> {
        Rc::new_cyclic(|this| Self {
            priority: Priority::of(&member.name),
            member,
            load: RefCell::default(),
            source,
            delegate,
            outgoing: RefCell::default(),
            bulk: RefCell::default(),
            uploads: RefCell::default(),
            pending: RefCell::default(),
            replies: RefCell::default(),
            streams: RefCell::default(),
            this: Weak::clone(this),
            config_requests: RefCell::default(),
            lost: Lost::default(),
            next_exchange: Cell::new(1),
            incarnation: Cell::default(),
            state: Cell::new(State::Joining),
            upstream: Upstream::default(),
            last_received: Cell::new(clock::now()),
            pending_pings: Cell::new(0),
            pongs: Cell::new(0),
            first_ping: Cell::new(clock::now()),
            last_ping: Cell::new(clock::now()),
            pings_since_received: Cell::new(0),
            lost_since: Cell::new(Some(Instant::now())),
            closed: Cell::new(false),
            introduced: Cell::new(false),
            found_stranger: Cell::new(false),
            store_lost: Cell::new(false),
            quota_term: Cell::new(0),
            token_requests: RefCell::default(),
        })
    }

    /// Closes the link permanently.
    pub(crate) fn close(&self) {
        self.closed.set(true);
        self.disconnect();
    }

    /// Returns the incarnation of the node; zero while it is not connected.
    pub(crate) fn incarnation(&self) -> Incarnation {
        self.incarnation.get()
    }

    /// Returns true while the connection is open.
    pub(crate) fn is_open(&self) -> bool {
        self.incarnation.get() != Incarnation::default()
    }

    /// Returns true if the node has told on this connection which upstreams retired.
    pub(crate) fn is_introduced(&self) -> bool {
        self.introduced.get()
    }

    /// Sends no requests to an incarnation of the node's upstream that has retired.
    pub(crate) fn handle_retirement(&self, upstream: &UpstreamKey) {
        self.upstream.record_retirement(upstream);
    }

    /// Returns true if the node accepts requests for its upstream, according to its last message.
    pub(crate) fn is_serving(&self) -> bool {
        let accepts = self.state.get() == State::Serving && !self.upstream.is_leaving();
        self.is_open() && accepts && !self.is_silent()
    }

    /// Returns true if the node watches the store when its priority is among the first.
    pub(crate) fn can_watch(&self) -> bool {
        let stays = self.state.get() != State::Leaving && !self.store_lost.get();
        self.is_open() && stays && !self.is_silent()
    }

    /// Returns the node's term as quota allocator of its failure domain; zero if it is not one.
    pub(crate) fn quota_term(&self) -> u64 {
        self.quota_term.get()
    }

    /// Returns the position of the node in the order of watchers of the store.
    pub(crate) fn priority(&self) -> Priority {
        self.priority
    }

    /// Returns how many requests the upstream of the node processes concurrently.
    pub(crate) fn slots(&self) -> u32 {
        self.upstream.slots()
    }

    /// Returns how long the node has been unreachable. Suspensions of the local instance are not
    /// counted, since they say nothing about the other node.
    pub(crate) fn unreachable_for(&self, now: Instant) -> Duration {
        let since = self.lost_since.get();
        since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }

    /// Grants the other node one more chunk of a streamed body.
    pub(super) fn grant(&self, exchange: u64) {
        // If the channel is full the grant is lost, and the reader of the body times out.
        self.send(Body::Grant(Grant {
            exchange,
            chunks: 1,
        }));
    }

    /// Ends the reading of a streamed body; cancels it if it is incomplete.
    pub(super) fn end_stream(&self, exchange: u64, ended: bool) {
        self.streams.borrow_mut().remove(&exchange);
        if !ended {
            self.send(Body::Cancel(Cancel { exchange }));
        }
    }

    fn next_id(&self) -> u64 {
        let exchange = self.next_exchange.get();
        self.next_exchange.set(exchange + 1);
        exchange
    }

    fn begin_reply(
        &self,
        execution: Option<Execution>,
        overdue: overdue::Signal,
        client: Option<Registration>,
    ) -> (u64, oneshot::Receiver<Response>) {
        let exchange = self.next_id();
        let (sender, receiver) = oneshot::channel();
        let pending = Pending::Reply(Waiting {
            sender,
            overdue,
            execution,
            client,
        });
        self.pending.borrow_mut().insert(exchange, pending);
        (exchange, receiver)
    }

    /// Queues a message; returns false if it is certain not to be sent.
    fn send(&self, body: Body) -> bool {
        let mut outgoing = self.outgoing.borrow_mut();
        let outgoing = outgoing.as_mut();
        outgoing.is_some_and(|outgoing| outgoing.try_send(body).is_ok())
    }

    fn handle(&self, message: Body) {
        match message {
            Body::Reply(reply) => self.handle_reply(reply),
            Body::Chunk(chunk) => self.handle_chunk(chunk),
            Body::Grant(grant) => {
                if let Some(upload) = self.uploads.borrow_mut().remove(&grant.exchange) {
                    // The caller may have stopped waiting.
                    let _ = upload.send(());
                }
            }
            Body::Presence(presence) => self.handle_presence(&presence),
            Body::Evidence(evidence) => self.delegate.handle_evidence(&evidence),
            Body::Retired(retired) => {
                let waiting = self.pending.borrow_mut().remove(&retired.exchange);
                if let Some(Pending::Retired(sender)) = waiting {
                    // The caller may have stopped waiting.
                    let _ = sender.send(());
                }
            }
            Body::Pong(pong) => self.handle_pong(pong),
            Body::TokenAnswer(answer) => {
                if let Some(waiting) = self.token_requests.borrow_mut().remove(&answer.exchange) {
                    // The caller may have stopped waiting.
                    let _ = waiting.send(answer);
                }
            }
            Body::Config(config) => {
                for waiting in self.config_requests.borrow_mut().drain(..) {
                    // The fetch may have timed out.
                    let _ = waiting.send(config.clone());
                }
            }
            // All other messages are sent in the opposite direction only.
            _ => {}
        }
    }

    fn handle_presence(&self, presence: &Presence) {
        if self.upstream.apply_presence(presence) {
            self.load.borrow_mut().reset();
            self.check_retirement(&presence.upstream);
        }
        if let Some(member) = &presence.member {
            self.state.set(member.state());
            self.upstream.set_slots(member.slots);
        }
        self.store_lost.set(presence.store_lost);
        self.quota_term.set(presence.quota_term);
        let percent = presence.pressure_percent;
        let pace = Pace::from_percent(presence.pace_percent).ok();
        let mut load = self.load.borrow_mut();
        load.record_report(Instant::now(), percent, pace);
        if self.upstream.is_unlimited() {
            load.end_rate_limit();
        }
        drop(load);
        self.delegate.handle_presence(&self.member.name, presence);
        self.introduced.set(true);
        if self.delegate.wants_store_time() && self.pending_pings.get() == 0 {
            self.ping();
        }
        if let Some((upstream, execution)) = self.lost.settle(&presence.upstream) {
            self.delegate.handle_crash(&upstream, &execution);
        }
    }

    /// Checks whether the incarnation that the node names as its upstream has retired.
    fn check_retirement(&self, upstream: &str) {
        // A key that cannot be parsed here is in no table of this node.
        if let Ok(upstream) = upstream.parse()
            && self.delegate.is_retired(&upstream)
        {
            self.upstream.record_retirement(&upstream);
        }
    }

    fn disconnect(&self) {
        self.incarnation.set(Incarnation::default());
        self.introduced.set(false);
        self.state.set(State::Joining);
        self.quota_term.set(0);
        self.pending_pings.set(0);
        self.cancel_token_requests();
        *self.outgoing.borrow_mut() = None;
        *self.bulk.borrow_mut() = None;
        self.uploads.borrow_mut().clear();
        let pending = std::mem::take(&mut *self.pending.borrow_mut());
        let execution = pending.into_values().filter_map(|pending| match pending {
            Pending::Reply(waiting) => waiting.execution,
            Pending::Retired(_) => None,
        });
        self.lost.store(&self.upstream.incarnation(), execution);
        self.replies.borrow_mut().clear();
        self.streams.borrow_mut().clear();
        self.config_requests.borrow_mut().clear();
    }
}
