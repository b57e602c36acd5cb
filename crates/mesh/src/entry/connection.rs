//! Serves one client connection, one request after the other.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use futures::future::{Either, select};
use monoio::io::{AsyncWriteRentExt as _, OwnedWriteHalf, Splitable as _};
use monoio::net::TcpStream;
use monoio::time::timeout;
use sailtrack_kernel::Phase;
use sailtrack_log::{catalogue, emit};
use sailtrack_net::task::Held;
use sailtrack_net::transparent::{BodyError, Framing, HeadError, MessageError, Reader};
use sailtrack_wire::{Outcome, Reason};

use crate::body::Stream;
use crate::clock;
use crate::configuration::ClientLimits;
use crate::dispatch::Trail;
use crate::entry::Entry;
use crate::entry::KeyRefusal;
use crate::entry::answer::{Asked, Refusal, conclude, refuse};
use crate::entry::request::{Incoming, Received};
use crate::events::End;
use crate::quota::{Shortage, Token};
use crate::returns;
use crate::work::Returned;

/// How long a client may take to accept an answer.
const WRITE_TIME: Duration = Duration::from_secs(30);
/// The most bytes taken in while the present request is worked on.
const MOST_READ_AHEAD: usize = 64 * 1024;
/// When a client of a node without a configuration may come back.
const UNCONFIGURED_RETURN: Duration = Duration::from_millis(500);
/// When a client of a node that is about to end may come back; it finds another node at once.
const CLOSED_RETURN: Duration = Duration::from_millis(100);
/// When a client may come back for whose body there was no room.
const ROOM_RETURN: Duration = Duration::from_millis(500);
/// How long what a refused client still sends is read, so that it can read the refusal.
const LINGER_TIME: Duration = Duration::from_millis(500);

/// The bounds while there is no configuration.
const FIRST_LIMITS: ClientLimits = ClientLimits {
    head_bytes: 16 * 1024,
    body_bytes: 1024 * 1024,
    head_time: Duration::from_secs(3),
    idle_time: Duration::from_secs(15),
};

/// Whether a connection carries another request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Next {
    Request,
    Close,
}

/// Why a request is not let in.
enum Denial {
    /// Nobody is known to ask.
    Key(KeyRefusal),
    /// It may come back.
    NotNow(Box<Returned>),
}

/// One client connection.
struct Connection {
    entry: Rc<Entry>,
    reader: Reader,
    writer: OwnedWriteHalf<TcpStream>,
}

/// Serves a connection until it ends.
pub(super) async fn serve(entry: Rc<Entry>, stream: TcpStream) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let (read, writer) = stream.into_split();
    let mut connection = Connection {
        entry,
        reader: Reader::new(read),
        writer,
    };
    while connection.wait_for_bytes().await {
        let held = Held::new(&connection.entry.in_flight);
        // Boxed, so that a connection without a request does not hold the memory for one.
        let next = Box::pin(connection.exchange()).await;
        drop(held);
        if next == Next::Close {
            return;
        }
    }
}

impl Connection {
    fn limits(&self) -> ClientLimits {
        let configuration = self.entry.current.get();
        configuration.map_or(FIRST_LIMITS, |configuration| configuration.limits)
    }

    /// Waits for the first bytes of a request; returns false once the connection is over.
    ///
    /// The bound is looked up again at its end, since it may have been raised meanwhile.
    async fn wait_for_bytes(&mut self) -> bool {
        let began = Instant::now();
        while self.reader.buffered() == 0 {
            let left = self.limits().idle_time.saturating_sub(began.elapsed());
            if left.is_zero() {
                return false;
            }
            match timeout(left, self.reader.fill()).await {
                Err(_) => {}
                Ok(Ok(count)) if count > 0 => {}
                Ok(_) => return false,
            }
        }
        true
    }

    /// Reads one request and answers it.
    async fn exchange(&mut self) -> Next {
        let limits = self.limits();
        let head = timeout(
            limits.head_time,
            self.reader.request_head(limits.head_bytes),
        )
        .await;
        let head = match head {
            Ok(Ok(head)) => head,
            Ok(Err(MessageError::Head(HeadError::TooLarge))) => {
                return self.end(Refusal::HeadTooLarge).await;
            }
            Ok(Err(MessageError::Head(_))) => return self.end(Refusal::Malformed).await,
            Ok(Err(_)) => return Next::Close,
            Err(_) => return self.end(Refusal::TooSlow).await,
        };
        let came = Instant::now();
        let Some(configuration) = self.entry.current.get() else {
            return self
                .close_with(Refusal::NotRun, Some(UNCONFIGURED_RETURN))
                .await;
        };
        let fields = self.entry.dialect.fields();
        let contexts = &self.entry.contexts;
        let incoming = match Incoming::read(&head, fields, &configuration, contexts, came) {
            Ok(incoming) => incoming,
            Err(refusal) => return self.end(refusal).await,
        };
        let token = match self.admit(&incoming).await {
            Ok(token) => token,
            Err(Denial::Key(refusal)) => return self.refuse_key(&incoming, refusal).await,
            Err(Denial::NotNow(returned)) => return self.turn_away(&incoming, returned).await,
        };
        let Some(room) = self.entry.room.take(incoming.framing, limits.body_bytes) else {
            let returned = Returned::refused(Reason::Overload).come_back(ROOM_RETURN);
            self.log(&incoming, &returned, &Trail::default());
            return self.close_with(Refusal::NotRun, Some(ROOM_RETURN)).await;
        };
        let received = match self.receive(&incoming, limits.body_bytes).await {
            Ok(received) => received,
            Err(Some(refusal)) => return self.end(refusal).await,
            Err(None) => return Next::Close,
        };
        let trail = Trail::default();
        trail.identify(received.identity);
        let returned = self.run(&incoming, received, &trail).await;
        drop(room);
        if let Some(token) = token
            && returned
                .as_ref()
                .is_some_and(|one| one.outcome == Outcome::NotRun)
        {
            token.give_back();
        }
        match returned {
            Some(returned) => self.answer(&incoming, returned, &trail).await,
            None => Next::Close,
        }
    }

    /// Lets a request in by its key and by the limit of its workspace.
    async fn admit(&self, incoming: &Incoming) -> Result<Option<Token>, Denial> {
        let refused = |reason, after| {
            let returned = Returned::refused(reason).come_back(after);
            Err(Denial::NotNow(Box::new(returned)))
        };
        let has_key = match &incoming.caller {
            Ok(caller) => caller.has_key(),
            Err(refusal) => *refusal == KeyRefusal::Unknown,
        };
        // A key that is not known may be new.
        if has_key && !self.entry.freshness.is_enough(clock::now()) {
            return refused(Reason::KeysOutdated, returns::after_outage());
        }
        if let Err(refusal) = incoming.caller {
            return Err(Denial::Key(refusal));
        }
        let workspace = incoming.workspace();
        let Some(limited) = workspace.filter(|workspace| workspace.limit.is_some()) else {
            return Ok(None);
        };
        match self.entry.quotas.admit(&limited.name).await {
            Ok(token) => Ok(Some(token)),
            Err(Shortage::Over(after)) => refused(Reason::OverQuota, after),
            Err(Shortage::NoAllocator) => refused(Reason::QuotaNotKnown, returns::after_outage()),
        }
    }

    async fn refuse_key(&mut self, incoming: &Incoming, refusal: KeyRefusal) -> Next {
        let (attempt, kind) = (&incoming.attempt, &incoming.route.name);
        let version = self.entry.current.version();
        self.entry
            .events
            .note_key_refused(attempt, kind, refusal, version);
        self.entry.metrics.note_key_refused();
        self.close_with(Refusal::NoKey, None).await
    }

    /// Answers a request that is not let in now; it takes no room, so a body is not read.
    async fn turn_away(&mut self, incoming: &Incoming, returned: Box<Returned>) -> Next {
        if incoming.framing == Framing::None {
            return self.answer(incoming, *returned, &Trail::default()).await;
        }
        self.log(incoming, &returned, &Trail::default());
        let time = incoming.came.elapsed();
        let kind = &incoming.route.name;
        self.entry.metrics.note_answer(kind, &returned, time);
        let refusal = Refusal::of(&returned).unwrap_or(Refusal::NotRun);
        self.close_with(refusal, Some(returned.retry_after)).await
    }

    /// Reads the body; without a refusal the client is gone.
    async fn receive(
        &mut self,
        incoming: &Incoming,
        limit: usize,
    ) -> Result<Received, Option<Refusal>> {
        if incoming.expects_continue() && self.reader.buffered() == 0 {
            let go_on = BytesMut::from(&b"HTTP/1.1 100 Continue\r\n\r\n"[..]);
            if !self.write(go_on).await {
                return Err(None);
            }
        }
        let mut hasher = incoming.hasher(&self.entry.service);
        let see = |piece: &[u8]| hasher.update(piece);
        let body = self.reader.body_seen(incoming.framing, limit, see);
        match clock::until(incoming.deadline, body).await {
            Ok(Ok(body)) => Ok(Received {
                body,
                identity: hasher.finish(),
            }),
            Ok(Err(BodyError::TooLarge)) => Err(Some(Refusal::BodyTooLarge)),
            Ok(Err(BodyError::Malformed)) => Err(Some(Refusal::Malformed)),
            Ok(Err(BodyError::Cut | BodyError::Io(_))) => Err(None),
            Err(_) => Err(Some(Refusal::TooSlow)),
        }
    }

    /// Brings a request to its end; returns nothing if the client leaves before.
    async fn run(
        &mut self,
        incoming: &Incoming,
        received: Received,
        trail: &Trail,
    ) -> Option<Returned> {
        let entry = Rc::clone(&self.entry);
        let Some(service) = entry.splitter.next(&incoming.route) else {
            return Some(Returned::refused(Reason::NoUpstream));
        };
        let fields = entry.dialect.fields();
        let work = incoming.work(fields, &entry.service, service, received);
        if entry.closed.get() && !work.begun {
            return Some(Returned::refused(Reason::Draining).come_back(CLOSED_RETURN));
        }
        // Boxed, since each future around it would keep room for it once more.
        let dispatch = Box::pin(entry.dispatcher.dispatch(work, &incoming.route, trail));
        let dispatch = std::pin::pin!(clock::until(incoming.deadline, dispatch));
        let leaving = std::pin::pin!(wait_for_end(&mut self.reader));
        let returned = match select(dispatch, leaving).await {
            Either::Left((Ok(returned), _)) => returned,
            Either::Left((Err(_), _)) => Returned::unknown(Reason::Deadline),
            Either::Right(_) => return None,
        };
        if let Some(parent) = &incoming.parent {
            parent.note(&incoming.route.name, &returned);
        }
        Some(returned)
    }

    async fn answer(&mut self, incoming: &Incoming, returned: Returned, trail: &Trail) -> Next {
        self.log(incoming, &returned, trail);
        let time = incoming.came.elapsed();
        let kind = &incoming.route.name;
        self.entry.metrics.note_answer(kind, &returned, time);
        let is_leaving = self.entry.phase.get() > Phase::Serving;
        let was_refused = returned.outcome == Outcome::NotRun;
        let asked = Asked {
            is_head: &incoming.head.method[..] == b"HEAD",
            is_1_1: incoming.head.is_1_1,
            time_left: incoming.deadline.since(clock::now()),
            close: is_leaving || !incoming.head.keeps_alive() || self.entry.wants_room(was_refused),
        };
        let was_answered = returned.outcome == Outcome::Done;
        let written = conclude(returned, asked);
        let is_whole = match written.stream {
            None => self.write(written.bytes).await,
            Some(stream) => {
                self.write(written.bytes).await
                    && self.pass_stream(stream, written.is_chunked).await
            }
        };
        if was_answered
            && is_whole
            && let Some(identity) = trail.identity()
        {
            self.entry.dispatcher.quarantine.note_good_end(&identity);
        }
        if is_whole && !written.close {
            Next::Request
        } else {
            Next::Close
        }
    }

    /// Writes a streamed body; returns false if it broke off or the client left.
    async fn pass_stream(&mut self, mut stream: Stream, is_chunked: bool) -> bool {
        loop {
            let piece = {
                let next = std::pin::pin!(stream.next());
                let leaving = std::pin::pin!(wait_for_end(&mut self.reader));
                match select(next, leaving).await {
                    Either::Left((piece, _)) => piece,
                    Either::Right(_) => return false,
                }
            };
            let Ok(piece) = piece else {
                // The connection ends without the end of the body, so it cannot look whole.
                return false;
            };
            let is_last = piece.is_none();
            let bytes = framed(piece, is_chunked);
            if !bytes.is_empty() && !self.write(bytes).await {
                return false;
            }
            if is_last {
                return true;
            }
        }
    }

    fn log(&self, incoming: &Incoming, returned: &Returned, trail: &Trail) {
        let refusal = Refusal::of(returned);
        let end = End {
            attempt: &incoming.attempt,
            kind: &incoming.route.name,
            status: refusal.map_or(returned.status, Refusal::status),
            trail,
            reason: returned.reason,
            pressure: returned.met_pressure(),
            failed_below: returned.failed_below,
            workspace: incoming.workspace().map(|workspace| &workspace.name),
            version: self.entry.current.version(),
            after: incoming.came.elapsed(),
            calls: self.entry.in_flight.get(),
        };
        let events = &self.entry.events;
        match refusal {
            None if returned.is_success() => {}
            None => events.note_bad_answer(&end),
            Some(Refusal::NotRun | Refusal::OverQuota) => events.note_refused_end(&end),
            Some(Refusal::Harmful) => {
                events.note_refused_end(&end);
                if let Some(identity) = trail.identity() {
                    events.note_held_back(end.attempt, &identity);
                }
            }
            Some(_) => events.note_failure(&end),
        }
    }

    /// Refuses what the client sent and ends the connection.
    async fn end(&mut self, refusal: Refusal) -> Next {
        if refusal != Refusal::NoRoute {
            emit(
                &catalogue::INPUT_REFUSED,
                &[("port", &"entry"), ("reason", &refusal)],
            );
        }
        self.close_with(refusal, None).await
    }

    /// Answers with a refusal and ends the connection.
    async fn close_with(&mut self, refusal: Refusal, retry_after: Option<Duration>) -> Next {
        self.write(refuse(refusal, retry_after, true)).await;
        self.linger().await;
        Next::Close
    }

    /// Reads what still comes: closing with unread bytes would reset the connection and the
    /// client could not read its answer.
    async fn linger(&mut self) {
        let draining = async {
            while matches!(self.reader.fill().await, Ok(count) if count > 0) {
                self.reader.discard();
            }
        };
        // The client may keep its side open for longer.
        let _ = timeout(LINGER_TIME, draining).await;
    }

    async fn write(&mut self, bytes: BytesMut) -> bool {
        let written = timeout(WRITE_TIME, self.writer.write_all(bytes)).await;
        matches!(written, Ok((Ok(_), _)))
    }
}

/// Returns the bytes for a piece of a streamed body, or for its end.
fn framed(piece: Option<Bytes>, is_chunked: bool) -> BytesMut {
    match (piece, is_chunked) {
        (Some(piece), false) => BytesMut::from(piece),
        (Some(piece), true) => {
            let mut bytes = BytesMut::with_capacity(piece.len() + 16);
            bytes.extend_from_slice(format!("{:x}\r\n", piece.len()).as_bytes());
            bytes.extend_from_slice(&piece);
            bytes.extend_from_slice(b"\r\n");
            bytes
        }
        (None, true) => BytesMut::from(&b"0\r\n\r\n"[..]),
        (None, false) => BytesMut::new(),
    }
}

/// Waits until the client closes its connection; what it sends meanwhile is kept.
async fn wait_for_end(reader: &mut Reader) {
    while reader.buffered() < MOST_READ_AHEAD {
        if !matches!(reader.fill().await, Ok(count) if count > 0) {
            return;
        }
    }
    std::future::pending::<()>().await;
}
