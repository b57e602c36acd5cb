//! Serves the connections of other nodes, one task for each connection and each request.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures::channel::mpsc;
use futures::future::{AbortHandle, Abortable};
use futures::{SinkExt as _, StreamExt as _};
use monoio::io::Splitable as _;
use monoio::net::{TcpListener, TcpStream};
use monoio::time::timeout;
use sailtrack_kernel::Service;
use sailtrack_log::{catalogue, emit};
use sailtrack_net::accept::{Bounds, accept};
use sailtrack_net::frames::{ConnectionError, FrameReader, OUTGOING_CAPACITY, hello, write_frames};
use sailtrack_net::task;
use sailtrack_quota::Holder;
use sailtrack_units::Incarnation;
use sailtrack_wire::{
    Body, Chunk, Config, Fetch, Forward, Hello, Pong, Reason, Recall, Retire,
    Retired as RetiredMessage,
};

use crate::body::{Body as AnswerBody, Stream};
use crate::clock;
use crate::configuration::Current;
use crate::directory::{Directory, Member};
use crate::gate::Gate;
use crate::key::{AttemptKey, UpstreamKey};
use crate::peer::convert::{CHUNK, FIRST_GRANT, returned_to_wire, work_from_wire};
use crate::peer::reassembly::Reassembly;
use crate::quarantine::Quarantine;
use crate::quota::Quotas;
use crate::request::Response;
use crate::retired::Retired;
use crate::status::Status;
use crate::store::{Clock, StoreTime};

/// How long a new connection may take to say hello.
const HELLO_TIME: Duration = Duration::from_secs(2);
/// The most requests open at once on one connection.
const MOST_OPEN: usize = 4096;
/// The most connections open at once.
const MOST_CONNECTIONS: usize = 2048;

/// Serves the connections of other nodes.
pub(crate) struct Acceptor {
    pub(crate) gate: Rc<Gate>,
    pub(crate) status: Rc<Status>,
    pub(crate) directory: Rc<Directory>,
    pub(crate) retired: Rc<Retired>,
    pub(crate) current: Rc<Current>,
    pub(crate) quarantine: Rc<Quarantine>,
    pub(crate) quotas: Rc<Quotas>,
    pub(crate) clock: Rc<Clock>,
}

impl Service for Acceptor {
    const NAME: &'static str = "peer-acceptor";
}

/// What is open on one connection.
#[derive(Default)]
struct Open {
    running: RefCell<HashMap<u64, AbortHandle>>,
    arriving: RefCell<HashMap<u64, Reassembly<Forward>>>,
    /// Where the grants for streamed answers go.
    granting: RefCell<HashMap<u64, mpsc::UnboundedSender<u32>>>,
}

impl Acceptor {
    /// Accepts connections for as long as the task lives.
    pub(crate) async fn accept(self: Rc<Self>, listener: TcpListener) {
        let bounds = Bounds {
            port: "peer",
            task: "peer connection",
            connections: MOST_CONNECTIONS,
        };
        let serve = |stream| Rc::clone(&self).serve(stream);
        accept(listener, bounds, Rc::default(), serve).await;
    }

    async fn serve(self: Rc<Self>, stream: TcpStream) {
        if stream.set_nodelay(true).is_err() {
            return;
        }
        let (read, write) = stream.into_split();
        let (mut outgoing, frames) = mpsc::channel(OUTGOING_CAPACITY);
        task::spawn("peer writer", async move {
            // The reading side ends the connection when writing fails.
            let _ = write_frames(write, frames).await;
        });
        let mut reader = FrameReader::new(read);
        let said = match timeout(HELLO_TIME, reader.hello()).await {
            Ok(Ok(said)) => said,
            Ok(Err(error)) => return refuse(&error),
            Err(_) => return refuse(&"no hello in time"),
        };
        self.meet(&said);
        let introduction = Body::Presence(self.status.initial_presence());
        let welcome = [hello(self.status.local_member()), introduction];
        let welcome = welcome.into_iter().chain(self.quarantine.snapshot());
        for message in welcome {
            if outgoing.send(message).await.is_err() {
                return;
            }
        }
        self.status.subscribers.borrow_mut().push(outgoing.clone());
        let open = Rc::new(Open::default());
        let holder = holder(&said);
        let ended = self.read(&mut reader, &outgoing, &open, holder.as_ref());
        let ended = ended.await;
        // The other side takes every request without an answer for lost.
        for running in open.running.borrow().values() {
            running.abort();
        }
        outgoing.close_channel();
        if let Err(ConnectionError::Frame(error)) = ended {
            refuse(&error);
        }
    }

    fn meet(&self, said: &Hello) {
        let Some(member) = &said.member else {
            return;
        };
        match Member::from_wire(member) {
            Ok(member) => self.directory.upsert(member),
            Err(error) => refuse(&error),
        }
    }

    async fn read(
        self: &Rc<Self>,
        reader: &mut FrameReader,
        outgoing: &mpsc::Sender<Body>,
        open: &Rc<Open>,
        holder: Option<&Holder>,
    ) -> Result<(), ConnectionError> {
        loop {
            match reader.next().await? {
                Body::Forward(message) => self.receive(message, outgoing, open),
                Body::Chunk(chunk) => self.receive_part(&chunk, outgoing, open),
                Body::Cancel(cancel) => {
                    open.arriving.borrow_mut().remove(&cancel.exchange);
                    if let Some(running) = open.running.borrow_mut().remove(&cancel.exchange) {
                        running.abort();
                    }
                }
                Body::Grant(grant) => {
                    if let Some(granting) = open.granting.borrow().get(&grant.exchange) {
                        // The answer may have ended.
                        let _ = granting.unbounded_send(grant.chunks);
                    }
                }
                Body::Recall(recall) => self.recall(recall, outgoing, open),
                Body::Retire(retire) => self.remember(&retire, outgoing),
                Body::Fetch(fetch) => self.give_configuration(fetch, outgoing),
                // A full channel holds other signs of life.
                Body::Ping(_) => drop(outgoing.clone().try_send(Body::Pong(self.pong()))),
                Body::TokenQuestion(question) => {
                    if let Some(holder) = holder {
                        let answer = self.quotas.answer(holder, &question);
                        // Who asks takes silence for a lost question.
                        let _ = outgoing.clone().try_send(Body::TokenAnswer(answer));
                    }
                }
                // Everything else is for the other direction.
                _ => {}
            }
        }
    }

    fn pong(&self) -> Pong {
        let at_most = self.clock.published_bound(clock::now());
        Pong {
            store_at_most_ms: at_most.map_or(0, StoreTime::millis),
            store_era: self.clock.era().0,
        }
    }

    /// Takes in the first part of a request.
    fn receive(
        self: &Rc<Self>,
        mut message: Forward,
        outgoing: &mpsc::Sender<Body>,
        open: &Rc<Open>,
    ) {
        let exchange = message.exchange;
        let length = message.body_length;
        if message.body.len() as u64 == length {
            self.start(message, outgoing, open);
            return;
        }
        let first = std::mem::take(&mut message.body);
        match Reassembly::new(message, &first, length) {
            Some(parts) => {
                open.arriving.borrow_mut().insert(exchange, parts);
            }
            None => refuse(&"a body longer than allowed"),
        }
    }

    fn receive_part(
        self: &Rc<Self>,
        chunk: &Chunk,
        outgoing: &mpsc::Sender<Body>,
        open: &Rc<Open>,
    ) {
        let mut arriving = open.arriving.borrow_mut();
        let Some(mut parts) = arriving.remove(&chunk.exchange) else {
            return;
        };
        if !parts.add(&chunk.data) {
            refuse(&"a body longer than announced");
            return;
        }
        if !parts.is_whole() {
            arriving.insert(chunk.exchange, parts);
            return;
        }
        drop(arriving);
        let (mut message, body) = parts.finish();
        message.body = body;
        self.start(message, outgoing, open);
    }

    fn start(self: &Rc<Self>, message: Forward, outgoing: &mpsc::Sender<Body>, open: &Rc<Open>) {
        let exchange = message.exchange;
        let acceptor = Rc::clone(self);
        let too_many = open.running.borrow().len() >= MOST_OPEN;
        let work = async move {
            if too_many {
                return Response::refused(Reason::Overload);
            }
            match work_from_wire(message) {
                Ok(work) => acceptor.gate.run(work).await,
                Err(error) => {
                    refuse(&error);
                    Response::refused(Reason::Undeclared)
                }
            }
        };
        spawn_answer(exchange, work, outgoing, open);
    }

    fn recall(self: &Rc<Self>, recall: Recall, outgoing: &mpsc::Sender<Body>, open: &Rc<Open>) {
        let acceptor = Rc::clone(self);
        let exchange = recall.exchange;
        let work = async move {
            if Incarnation(recall.incarnation) != acceptor.status.incarnation {
                return Response::unknown(Reason::HomeGone);
            }
            let attempt = AttemptKey::from(recall.id.as_str());
            acceptor.gate.recall(&attempt).await
        };
        spawn_answer(exchange, work, outgoing, open);
    }

    fn remember(&self, retire: &Retire, outgoing: &mpsc::Sender<Body>) {
        let life = match retire.upstream.parse::<UpstreamKey>() {
            Ok(life) => life,
            Err(error) => return refuse(&error),
        };
        self.retired.note(life);
        let exchange = retire.exchange;
        // Without an answer the other side takes it for not remembered.
        let _ = outgoing
            .clone()
            .try_send(Body::Retired(RetiredMessage { exchange }));
    }

    fn give_configuration(&self, fetch: Fetch, outgoing: &mpsc::Sender<Body>) {
        let version = self.current.version();
        if version.0 <= fetch.version {
            return;
        }
        let config = Config {
            version: version.0,
            text: self.current.text().to_string(),
        };
        // A full channel only delays the fetch to the next presence.
        let _ = outgoing.clone().try_send(Body::Config(config));
    }
}

/// Returns who holds the tokens that are asked for on a connection; who does not say who it is
/// gets none.
fn holder(said: &Hello) -> Option<Holder> {
    let member = said.member.as_ref()?;
    Some(Holder {
        node: member.node.parse().ok()?,
        incarnation: member.incarnation,
    })
}

fn refuse(reason: &dyn std::fmt::Display) {
    emit(
        &catalogue::INPUT_REFUSED,
        &[("port", &"peer"), ("reason", reason)],
    );
}

/// Runs `work` in a task of its own and sends what comes of it, unless it is cancelled before.
fn spawn_answer(
    exchange: u64,
    work: impl Future<Output = Response> + 'static,
    outgoing: &mpsc::Sender<Body>,
    open: &Rc<Open>,
) {
    let (handle, registration) = AbortHandle::new_pair();
    open.running.borrow_mut().insert(exchange, handle);
    let mut outgoing = outgoing.clone();
    let open = Rc::clone(open);
    task::spawn("peer request", async move {
        let answer = async {
            let returned = work.await;
            send(&mut outgoing, exchange, returned, &open).await;
        };
        // An aborted request was cancelled and needs no answer.
        let _ = Abortable::new(answer, registration).await;
        open.running.borrow_mut().remove(&exchange);
        open.granting.borrow_mut().remove(&exchange);
    });
}

/// Sends what became of a request, a long body in chunks so that others are not held up.
async fn send(outgoing: &mut mpsc::Sender<Body>, exchange: u64, returned: Response, open: &Open) {
    let mut reply = returned_to_wire(exchange, &returned);
    match returned.body {
        AnswerBody::Whole(mut rest) => {
            reply.body = rest.split_to(rest.len().min(CHUNK));
            if outgoing.send(Body::Reply(reply)).await.is_ok() {
                send_rest(outgoing, exchange, rest).await;
            }
        }
        AnswerBody::Stream(stream) => {
            let (sender, grants) = mpsc::unbounded();
            open.granting.borrow_mut().insert(exchange, sender);
            if outgoing.send(Body::Reply(reply)).await.is_ok() {
                send_stream(outgoing, exchange, stream, grants).await;
            }
        }
    }
}

async fn send_rest(outgoing: &mut mpsc::Sender<Body>, exchange: u64, mut rest: Bytes) {
    while !rest.is_empty() {
        let data = rest.split_to(rest.len().min(CHUNK));
        let chunk = Chunk {
            exchange,
            data,
            ..Chunk::default()
        };
        if outgoing.send(Body::Chunk(chunk)).await.is_err() {
            return;
        }
    }
}

/// Sends a streamed body, no more than the other side has granted: a client that reads slowly
/// holds up its own answer only.
async fn send_stream(
    outgoing: &mut mpsc::Sender<Body>,
    exchange: u64,
    mut stream: Stream,
    mut grants: mpsc::UnboundedReceiver<u32>,
) {
    let mut granted = FIRST_GRANT;
    loop {
        let piece = stream.next().await;
        let mut rest = match &piece {
            Ok(Some(piece)) => piece.clone(),
            Ok(None) | Err(_) => Bytes::new(),
        };
        while !rest.is_empty() {
            while granted == 0 {
                let Some(more) = grants.next().await else {
                    return;
                };
                granted += more;
            }
            granted -= 1;
            let first = rest.split_to(rest.len().min(CHUNK));
            send_rest(outgoing, exchange, first).await;
        }
        if matches!(piece, Ok(Some(_))) {
            continue;
        }
        let end = Chunk {
            exchange,
            last: piece.is_ok(),
            broken: piece.is_err(),
            ..Chunk::default()
        };
        // Without an end the other side takes the body for broken.
        let _ = outgoing.send(Body::Chunk(end)).await;
        return;
    }
}
