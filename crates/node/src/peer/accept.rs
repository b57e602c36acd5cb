//! Serves connections from other nodes, with one task for each connection and each call.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::SinkExt as _;
use futures::channel::mpsc;
use futures::future::{AbortHandle, Abortable};
use http::StatusCode;
use monoio::io::Splitable as _;
use monoio::net::{TcpListener, TcpStream};
use monoio::time::timeout;
use sailtrack_kernel::Service;
use sailtrack_log::{catalogue, emit};
use sailtrack_net::accept::accept;
use sailtrack_net::connections::{Limits, Registration, Registry};
use sailtrack_net::task;
use sailtrack_wire::{Body, Call as CallMessage, Chunk, Config, Fetch, Handover, Reason};

use crate::accountant::Accountant;
use crate::call::{Answer, Call};
use crate::configuration::Configuration;
use crate::execute::Executor;
use crate::membership::Membership;
use crate::peer::convert::{answer_to_wire, call_from_wire, part_from_wire};
use crate::peer::reassembly::CHUNK_SIZE;
use crate::ticket::Tickets;
use sailtrack_net::frames::{ConnectionError, FrameReader, OUTGOING_CAPACITY, hello, write_frames};

/// Time limit for the hello on a new connection.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);
/// Limit on the open calls of one connection.
const MAX_OPEN_CALLS: usize = 4096;
/// Limit on open connections.
const MAX_CONNECTIONS: usize = 2048;

/// Serves connections from other nodes.
pub(crate) struct Acceptor {
    pub(crate) membership: Rc<Membership>,
    pub(crate) configuration: Rc<Configuration>,
    pub(crate) executor: Rc<Executor>,
    pub(crate) accountant: Rc<Accountant>,
    pub(crate) tickets: Rc<Tickets>,
}

impl Service for Acceptor {
    const NAME: &'static str = "peer-acceptor";
}

/// The open calls of one connection.
type OpenCalls = Rc<RefCell<HashMap<u64, AbortHandle>>>;

impl Acceptor {
    /// Accepts connections until the task ends.
    pub(crate) async fn accept(self: Rc<Self>, listener: TcpListener) {
        let limits = Limits {
            connections: MAX_CONNECTIONS,
            bytes: usize::MAX,
        };
        let registry = Registry::new("peer", limits);
        let serve = |stream, registration| Rc::clone(&self).serve(stream, registration);
        accept(listener, "peer connection", registry, serve).await;
    }

    async fn serve(self: Rc<Self>, stream: TcpStream, registration: Registration) {
        if stream.set_nodelay(true).is_err() {
            return;
        }
        let (read, write) = stream.into_split();
        let (mut outgoing, frames) = mpsc::channel(OUTGOING_CAPACITY);
        task::spawn("peer writer", async move {
            // The reading side closes the connection if writing fails.
            let _ = write_frames(write, frames).await;
        });
        let mut reader = FrameReader::new(read);
        let greeting = timeout(HELLO_TIMEOUT, reader.hello()).await;
        let Ok(Ok(_)) = greeting else {
            let reason = "no hello of this version";
            emit(
                &catalogue::INPUT_REFUSED,
                &[("port", &"peer"), ("reason", &reason)],
            );
            return;
        };
        // From now on it is a node, which is silent while it has nothing to send.
        registration.work();
        if outgoing
            .send(hello(self.membership.local_member()))
            .await
            .is_err()
        {
            return;
        }
        let open = OpenCalls::default();
        let ended = self.read(&mut reader, &outgoing, &open).await;
        for call in open.borrow().values() {
            call.abort();
        }
        if let Err(ConnectionError::Frame(error)) = ended {
            emit(
                &catalogue::INPUT_REFUSED,
                &[("port", &"peer"), ("reason", &error)],
            );
        }
    }

    async fn read(
        self: &Rc<Self>,
        reader: &mut FrameReader,
        outgoing: &mpsc::Sender<Body>,
        open: &OpenCalls,
    ) -> Result<(), ConnectionError> {
        loop {
            match reader.next().await? {
                Body::Call(message) => self.start_call(message, outgoing, open),
                Body::Cancel(cancel) => {
                    if let Some(call) = open.borrow_mut().remove(&cancel.exchange) {
                        call.abort();
                    }
                }
                Body::Fetch(fetch) => self.send_config(fetch, outgoing),
                Body::Handover(handover) => self.receive_handover(handover, outgoing),
                // The other messages are for the opposite direction or for the peer port of
                // sailtrack-mesh.
                _ => {}
            }
        }
    }

    fn start_call(
        self: &Rc<Self>,
        message: CallMessage,
        outgoing: &mpsc::Sender<Body>,
        open: &OpenCalls,
    ) {
        let exchange = message.exchange;
        let (handle, registration) = AbortHandle::new_pair();
        let too_many = open.borrow().len() >= MAX_OPEN_CALLS;
        open.borrow_mut().insert(exchange, handle);
        let acceptor = Rc::clone(self);
        let mut outgoing = outgoing.clone();
        let open = Rc::clone(open);
        task::spawn("peer call", async move {
            let work = async {
                let answer = acceptor.answer(message, too_many).await;
                send_answer(&mut outgoing, exchange, answer).await;
            };
            // An aborted call was cancelled by the caller and needs no answer.
            let _ = Abortable::new(work, registration).await;
            open.borrow_mut().remove(&exchange);
        });
    }

    async fn answer(&self, message: CallMessage, too_many: bool) -> Answer {
        if too_many {
            return Answer::not_run(Reason::Overload);
        }
        let entry = message.entry;
        match call_from_wire(message) {
            Ok(call) if entry => self.account(call).await,
            Ok(call) => self.executor.execute(call).await,
            Err(_) => Answer::not_run(Reason::Undeclared),
        }
    }

    /// Accounts for a client's request; this node's declaration decides whether its kind may be
    /// retried.
    async fn account(&self, call: Call) -> Answer {
        let current = self.configuration.current();
        let kind = current.declaration.kind(&call.kind);
        let repeat = kind.map_or(call.repeat, |kind| kind.repeat);
        self.accountant.account(Call { repeat, ..call }).await
    }

    /// Stores a part of a handover and reports whether there was enough memory.
    fn receive_handover(&self, handover: Handover, outgoing: &mpsc::Sender<Body>) {
        let exchange = handover.exchange;
        let part = part_from_wire(handover);
        let accepted = part.is_ok_and(|part| self.tickets.receive(part, Instant::now()));
        let answer = if accepted {
            Answer::done(StatusCode::OK.as_u16(), String::new(), Bytes::new())
        } else {
            Answer::not_run(Reason::RecordsFull)
        };
        let head = answer_to_wire(exchange, &answer);
        // Without an answer the other side treats the part as refused.
        let _ = outgoing.clone().try_send(Body::Answer(head));
    }

    fn send_config(&self, fetch: Fetch, outgoing: &mpsc::Sender<Body>) {
        let current = self.configuration.current();
        if current.number.0 <= fetch.version {
            return;
        }
        let text = serde_json::to_string(&current.content).unwrap_or_default();
        let config = Config {
            version: current.number.0,
            text,
        };
        // If the channel is full, the peer fetches again at the next report of a newer version.
        let _ = outgoing.clone().try_send(Body::Config(config));
    }
}

/// Sends an answer; a long body goes in chunks so that it does not delay other answers.
async fn send_answer(outgoing: &mut mpsc::Sender<Body>, exchange: u64, answer: Answer) {
    let mut head = answer_to_wire(exchange, &answer);
    let mut rest = answer.body;
    head.body = rest.split_to(rest.len().min(CHUNK_SIZE));
    if outgoing.send(Body::Answer(head)).await.is_err() {
        return;
    }
    while !rest.is_empty() {
        let data = rest.split_to(rest.len().min(CHUNK_SIZE));
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
