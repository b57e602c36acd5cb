//! The connection to one other node, opened anew whenever it is lost.

mod connection;
mod liveness;
mod lost;
mod replies;
#[cfg(test)]
mod tests;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::IpAddr;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

use futures::SinkExt as _;
use futures::channel::{mpsc, oneshot};
use monoio::time::{sleep, timeout};
use sailtrack_quarantine::Execution;
use sailtrack_units::{ConfigVersion, Incarnation, Moment, Pace};
use sailtrack_wire::{
    Body, Cancel, Chunk, Config, Fetch, Grant, Presence, Reason, Recall, Reply, Retire, State,
    TokenAnswer, TokenQuestion,
};

use crate::clock;
use crate::directory::Member;
use crate::key::{AttemptKey, UpstreamKey};
use crate::peer::Delegate;
use crate::peer::convert::{CHUNK, work_to_wire};
use crate::peer::link::lost::Lost;
use crate::peer::reassembly::Reassembly;
use crate::request::{Request, Response};
use crate::routing::PeerLoad;
use crate::watch::Priority;

/// How long a lost request is asked for before its fate is taken for unknown.
const RECALL_TIME: Duration = Duration::from_millis(2500);
/// How often a connection that is being opened is looked at.
const LOOK: Duration = Duration::from_millis(20);

/// What waits for a message of the other node.
enum Pending {
    /// The request that it is the reply to, unless that was sent earlier.
    Reply(oneshot::Sender<Response>, Option<Execution>),
    Retired(oneshot::Sender<()>),
}

/// What became of a request that was handed to a link.
pub(crate) enum Delivery {
    /// The other node answered.
    Answered(Response),
    /// Nothing was sent.
    Unsent,
    /// The connection to this life of the other node broke before the answer came.
    Lost(Incarnation),
}

/// The connection to one other node.
pub(crate) struct Link {
    pub(crate) member: Rc<Member>,
    pub(crate) load: RefCell<PeerLoad>,
    source: IpAddr,
    news: Rc<dyn Delegate>,
    outgoing: RefCell<Option<mpsc::Sender<Body>>>,
    pending: RefCell<HashMap<u64, Pending>>,
    replies: RefCell<HashMap<u64, Reassembly<Reply>>>,
    /// Where the chunks of streamed bodies go.
    streams: RefCell<HashMap<u64, mpsc::UnboundedSender<Chunk>>>,
    fetching: RefCell<Vec<oneshot::Sender<Config>>>,
    lost: Lost,
    next_exchange: Cell<u64>,
    /// The life of the other node; zero while it is not connected.
    life: Cell<Incarnation>,
    state: Cell<State>,
    /// The upstream beside the node, the last one that took requests.
    upstream: RefCell<String>,
    slots: Cell<u32>,
    heard: Cell<Moment>,
    /// How many pings on this connection have no answer,
    open_pings: Cell<u32>,
    /// when the first of them was sent,
    first_ping: Cell<Moment>,
    /// when the last ping was sent,
    pinged: Cell<Moment>,
    /// and how many were sent since anything came.
    unanswered: Cell<u32>,
    lost_since: Cell<Option<Instant>>,
    closed: Cell<bool>,
    /// Another node was found at its address.
    strange: Cell<bool>,
    /// Where the node stands among those that follow the store.
    place: Priority,
    /// The store does not answer it.
    store_lost: Cell<bool>,
    /// Its term as the allocator of its failure domain's tokens; zero if it is not.
    quota_term: Cell<u64>,
    /// Who waits for tokens, by the number of the question.
    asking: RefCell<HashMap<u64, oneshot::Sender<TokenAnswer>>>,
    own: Weak<Self>,
}

impl Link {
    pub(crate) fn new(member: Rc<Member>, source: IpAddr, news: Rc<dyn Delegate>) -> Rc<Self> {
        Rc::new_cyclic(|own| Self {
            place: Priority::of(&member.name),
            member,
            load: RefCell::default(),
            source,
            news,
            outgoing: RefCell::default(),
            pending: RefCell::default(),
            replies: RefCell::default(),
            streams: RefCell::default(),
            own: Weak::clone(own),
            fetching: RefCell::default(),
            lost: Lost::default(),
            next_exchange: Cell::new(1),
            life: Cell::default(),
            state: Cell::new(State::Joining),
            upstream: RefCell::default(),
            slots: Cell::new(0),
            heard: Cell::new(clock::now()),
            open_pings: Cell::new(0),
            first_ping: Cell::new(clock::now()),
            pinged: Cell::new(clock::now()),
            unanswered: Cell::new(0),
            lost_since: Cell::new(Some(Instant::now())),
            closed: Cell::new(false),
            strange: Cell::new(false),
            store_lost: Cell::new(false),
            quota_term: Cell::new(0),
            asking: RefCell::default(),
        })
    }

    /// Ends the link for good.
    pub(crate) fn close(&self) {
        self.closed.set(true);
        self.disconnect();
    }

    /// Returns the life of the node; zero while it is not connected.
    pub(crate) fn incarnation(&self) -> Incarnation {
        self.life.get()
    }

    /// Returns true while requests can be sent.
    pub(crate) fn is_open(&self) -> bool {
        self.life.get() != Incarnation::default()
    }

    /// Returns true if the node takes requests for its upstream, as far as is known.
    pub(crate) fn is_serving(&self) -> bool {
        self.is_open() && self.state.get() == State::Serving && !self.is_silent()
    }

    /// Returns true if the node follows the store when its place is among the first.
    pub(crate) fn can_watch(&self) -> bool {
        let stays = self.state.get() != State::Leaving && !self.store_lost.get();
        self.is_open() && stays && !self.is_silent()
    }

    /// Returns the node's term as the allocator of its failure domain's tokens; zero if it is not.
    pub(crate) fn quota_term(&self) -> u64 {
        self.quota_term.get()
    }

    /// Asks the node for tokens; returns nothing if the question is lost.
    pub(crate) async fn request_tokens(&self, question: TokenQuestion) -> Option<TokenAnswer> {
        let (sender, receiver) = oneshot::channel();
        self.asking.borrow_mut().insert(question.exchange, sender);
        if !self.is_open() || !self.send(Body::TokenQuestion(question)) {
            return None;
        }
        receiver.await.ok()
    }

    /// Gives up all questions for tokens.
    pub(crate) fn cancel_token_requests(&self) {
        self.asking.borrow_mut().clear();
    }

    /// Returns where the node stands among those that follow the store.
    pub(crate) fn priority(&self) -> Priority {
        self.place
    }

    /// Returns how many requests the upstream of the node works on at once.
    pub(crate) fn slots(&self) -> u32 {
        self.slots.get()
    }

    /// Returns for how long the node could not be reached while this instance tried to: a
    /// suspension of this one says nothing about the other.
    pub(crate) fn unreachable_for(&self, now: Instant) -> Duration {
        let since = self.lost_since.get();
        since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }

    /// Sends a request and waits for what becomes of it; dropping the future cancels it.
    pub(crate) async fn forward(&self, work: &Request) -> Delivery {
        let life = self.life.get();
        let ran = Execution {
            identity: work.identity,
            known_crashes: work.known_crashes,
            succeeded_recently: false,
        };
        let (exchange, receiver) = self.begin_reply(Some(ran));
        let guard = CancelGuard {
            link: self,
            exchange,
        };
        if !self.send_work(exchange, work).await {
            guard.forget();
            return Delivery::Unsent;
        }
        let delivery = match self.await_reply(receiver).await {
            Ok(returned) => Delivery::Answered(returned),
            Err(_) => Delivery::Lost(life),
        };
        guard.forget();
        delivery
    }

    /// Asks what became of a request that was sent to a life of the node.
    ///
    /// The answer is final: a request that never ran never will.
    pub(crate) async fn recall(&self, attempt: &AttemptKey, life: Incarnation) -> Response {
        let asking = async {
            loop {
                if self.is_open() && self.life.get() != life {
                    return Response::unknown(Reason::HomeGone);
                }
                let (exchange, receiver) = self.begin_reply(None);
                let recall = Recall {
                    exchange,
                    id: attempt.to_string(),
                    incarnation: life.0,
                };
                if self.is_open()
                    && self.send(Body::Recall(recall))
                    && let Ok(returned) = receiver.await
                {
                    return returned;
                }
                self.pending.borrow_mut().remove(&exchange);
                sleep(LOOK).await;
            }
        };
        let asked = timeout(RECALL_TIME, asking).await;
        asked.unwrap_or_else(|_| Response::unknown(Reason::Connection))
    }

    /// Asks the node to remember that an upstream leaves; returns true if it does.
    ///
    /// A connection that is just being opened is waited for: after a start an upstream may leave
    /// before its node has met the others.
    pub(crate) async fn replicate_retirement(&self, upstream: &UpstreamKey) -> bool {
        while !self.is_open() {
            sleep(LOOK).await;
        }
        let exchange = self.next();
        let (sender, receiver) = oneshot::channel();
        let pending = Pending::Retired(sender);
        self.pending.borrow_mut().insert(exchange, pending);
        let retire = Retire {
            exchange,
            upstream: upstream.to_string(),
        };
        self.send(Body::Retire(retire)) && receiver.await.is_ok()
    }

    /// Returns the configuration of the node if it is above `version`.
    pub(crate) async fn fetch(&self, version: ConfigVersion) -> Option<Config> {
        let (sender, receiver) = oneshot::channel();
        self.fetching.borrow_mut().push(sender);
        let fetch = Fetch { version: version.0 };
        if !self.send(Body::Fetch(fetch)) {
            return None;
        }
        receiver.await.ok()
    }

    /// Lets the other node send one more chunk of a streamed body.
    pub(super) fn grant(&self, exchange: u64) {
        // Through a full channel nothing goes, and the body breaks off at its reader's timeout.
        self.send(Body::Grant(Grant {
            exchange,
            chunks: 1,
        }));
    }

    /// Forgets a streamed body; one that has not ended is cancelled.
    pub(super) fn end_stream(&self, exchange: u64, ended: bool) {
        self.streams.borrow_mut().remove(&exchange);
        if !ended {
            self.send(Body::Cancel(Cancel { exchange }));
        }
    }

    fn next(&self) -> u64 {
        let exchange = self.next_exchange.get();
        self.next_exchange.set(exchange + 1);
        exchange
    }

    fn begin_reply(&self, ran: Option<Execution>) -> (u64, oneshot::Receiver<Response>) {
        let exchange = self.next();
        let (sender, receiver) = oneshot::channel();
        let pending = Pending::Reply(sender, ran);
        self.pending.borrow_mut().insert(exchange, pending);
        (exchange, receiver)
    }

    /// Queues a message; returns false if it will certainly not be sent.
    fn send(&self, body: Body) -> bool {
        let mut outgoing = self.outgoing.borrow_mut();
        let outgoing = outgoing.as_mut();
        outgoing.is_some_and(|outgoing| outgoing.try_send(body).is_ok())
    }

    async fn send_work(&self, exchange: u64, work: &Request) -> bool {
        if !self.is_open() || !self.send(Body::Forward(work_to_wire(exchange, work))) {
            return false;
        }
        let Some(mut outgoing) = self.outgoing.borrow().clone() else {
            return true;
        };
        let mut rest = work.body.slice(work.body.len().min(CHUNK)..);
        while !rest.is_empty() {
            let data = rest.split_to(rest.len().min(CHUNK));
            let chunk = Body::Chunk(Chunk {
                exchange,
                data,
                ..Chunk::default()
            });
            if outgoing.send(chunk).await.is_err() {
                break;
            }
        }
        true
    }

    fn take(&self, message: Body) {
        match message {
            Body::Reply(reply) => self.take_reply(reply),
            Body::Chunk(chunk) => self.take_chunk(chunk),
            Body::Presence(presence) => self.take_presence(&presence),
            Body::Evidence(evidence) => self.news.handle_evidence(&evidence),
            Body::Retired(retired) => {
                let waiting = self.pending.borrow_mut().remove(&retired.exchange);
                if let Some(Pending::Retired(sender)) = waiting {
                    // Who asked may have stopped waiting.
                    let _ = sender.send(());
                }
            }
            Body::Pong(pong) => self.note_pong(pong),
            Body::TokenAnswer(answer) => {
                if let Some(waiting) = self.asking.borrow_mut().remove(&answer.exchange) {
                    // Who asked may have given up.
                    let _ = waiting.send(answer);
                }
            }
            Body::Config(config) => {
                for waiting in self.fetching.borrow_mut().drain(..) {
                    // The fetch may have timed out.
                    let _ = waiting.send(config.clone());
                }
            }
            // Everything else is for the other direction.
            _ => {}
        }
    }

    fn take_presence(&self, presence: &Presence) {
        if !presence.upstream.is_empty() && *self.upstream.borrow() != presence.upstream {
            self.upstream.replace(presence.upstream.clone());
            self.load.borrow_mut().reset();
        }
        if let Some(member) = &presence.member {
            self.state.set(member.state());
            self.slots.set(member.slots);
        }
        self.store_lost.set(presence.store_lost);
        self.quota_term.set(presence.quota_term);
        let percent = presence.pressure_percent;
        let pace = Pace::from_percent(presence.pace_percent).ok();
        let mut load = self.load.borrow_mut();
        load.record_report(Instant::now(), percent, pace);
        drop(load);
        self.news.handle_presence(&self.member.name, presence);
        if self.news.wants_store_time() && self.open_pings.get() == 0 {
            self.ping();
        }
        if let Some((upstream, ran)) = self.lost.settle(&presence.upstream) {
            self.news.handle_crash(&upstream, &ran);
        }
    }

    fn disconnect(&self) {
        self.life.set(Incarnation::default());
        self.state.set(State::Joining);
        self.quota_term.set(0);
        self.open_pings.set(0);
        self.cancel_token_requests();
        *self.outgoing.borrow_mut() = None;
        let pending = std::mem::take(&mut *self.pending.borrow_mut());
        let ran = pending.into_values().filter_map(|pending| match pending {
            Pending::Reply(_, ran) => ran,
            Pending::Retired(_) => None,
        });
        self.lost.keep(&self.upstream.borrow(), ran);
        self.replies.borrow_mut().clear();
        self.streams.borrow_mut().clear();
        self.fetching.borrow_mut().clear();
    }
}

/// Cancels a request whose caller stops waiting before the answer has come.
struct CancelGuard<'a> {
    link: &'a Link,
    exchange: u64,
}

impl CancelGuard<'_> {
    /// Ends the guard of a request that is over.
    fn forget(self) {
        self.link.pending.borrow_mut().remove(&self.exchange);
    }
}

impl Drop for CancelGuard<'_> {
    fn drop(&mut self) {
        let waited = self.link.pending.borrow_mut().remove(&self.exchange);
        self.link.replies.borrow_mut().remove(&self.exchange);
        if waited.is_some() {
            let exchange = self.exchange;
            self.link.send(Body::Cancel(Cancel { exchange }));
        }
    }
}
