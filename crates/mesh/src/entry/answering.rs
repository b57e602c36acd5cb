//! Writes the answers of a connection, in the order of the requests.

use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use monoio::io::{AsyncWriteRentExt as _, OwnedWriteHalf};
use monoio::net::TcpStream;
use monoio::time::timeout;
use sailtrack_log::{catalogue, emit};
use sailtrack_net::task::Guard;
use sailtrack_wire::Outcome;

use crate::body::Stream;
use crate::clock;
use crate::dispatch::Trail;
use crate::entry::CredentialError;
use crate::entry::Entry;
use crate::entry::answer::{Asked, Refusal, Written, conclude, refuse};
use crate::entry::connection::Next;
use crate::entry::exchange::{Answer, Ended};
use crate::entry::pipeline::Pipeline;
use crate::entry::request::Incoming;
use crate::events::End;
use crate::request::Response;

/// How long a client may take to accept an answer.
const WRITE_TIME: Duration = Duration::from_secs(30);

/// Writes the answers of a connection.
pub(super) struct Answering<'a> {
    entry: &'a Rc<Entry>,
    writer: &'a mut OwnedWriteHalf<TcpStream>,
    pipeline: &'a Pipeline,
}

impl<'a> Answering<'a> {
    pub(super) fn new(
        entry: &'a Rc<Entry>,
        writer: &'a mut OwnedWriteHalf<TcpStream>,
        pipeline: &'a Pipeline,
    ) -> Self {
        Self {
            entry,
            writer,
            pipeline,
        }
    }

    /// Writes answers until one ends the connection.
    pub(super) async fn run(mut self) -> Next {
        loop {
            let next = match self.pipeline.next().await {
                Answer::Of(ended) => self.answer(*ended).await,
                Answer::NoKey(incoming, refusal) => self.refuse_key(&incoming, refusal).await,
                Answer::Last(refusal, retry_after) => self.refuse(refusal, retry_after).await,
                Answer::GoOn => self.let_go_on().await,
            };
            self.pipeline.note_answered();
            if next != Next::Request {
                self.note_unread();
                return next;
            }
        }
    }

    async fn answer(&mut self, ended: Ended) -> Next {
        let Ended {
            incoming,
            returned,
            trail,
            mut reservation,
            weight,
            closes,
        } = ended;
        reservation.spend();
        self.log(&incoming, &returned, &trail);
        let time = incoming.came.elapsed();
        let kind = &incoming.route.name;
        self.entry.metrics.note_answer(kind, &returned, time);
        let was_refused = returned.outcome == Outcome::NotRun;
        let was_answered = returned.outcome == Outcome::Done;
        let asked = Asked {
            is_head: &incoming.head.method[..] == b"HEAD",
            is_1_1: incoming.head.is_1_1,
            time_left: incoming.deadline.since(clock::now()),
            close: closes || !incoming.head.keeps_alive() || self.is_last(was_refused),
        };
        let written = conclude(returned, asked);
        let mut next = self.write_whole(written).await;
        if next == Next::Last && closes {
            next = Next::Linger;
        }
        drop(weight);
        if was_answered
            && next != Next::Close
            && let Some(identity) = trail.identity()
        {
            self.entry.dispatcher.quarantine.record_success(&identity);
        }
        next
    }

    /// Returns true if the connection is to end and nothing has been begun behind this answer.
    fn is_last(&self, was_refused: bool) -> bool {
        self.pipeline.len() == 1 && (self.entry.is_ending() || self.entry.wants_room(was_refused))
    }

    /// Writes an answer; the connection closes at once if the answer is not whole.
    async fn write_whole(&mut self, written: Written) -> Next {
        if written.close {
            self.pipeline.close();
        }
        if !self.write(written.bytes).await {
            return Next::Close;
        }
        if let Some(stream) = written.stream
            && !self.pass_stream(stream, written.is_chunked).await
        {
            return Next::Close;
        }
        if written.close {
            Next::Last
        } else {
            Next::Request
        }
    }

    /// Writes a streamed body; returns false if it broke off.
    async fn pass_stream(&mut self, mut stream: Stream, is_chunked: bool) -> bool {
        loop {
            let Ok(piece) = stream.next().await else {
                // The connection ends without the end of the body, so it cannot look whole.
                self.pipeline.close();
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

    async fn refuse_key(&mut self, incoming: &Incoming, refusal: CredentialError) -> Next {
        let (attempt, kind) = (&incoming.attempt, &incoming.route.name);
        let version = self.entry.current.version();
        let events = &self.entry.events;
        events.note_key_refused(attempt, kind, refusal, version);
        self.entry.metrics.note_key_refused();
        self.refuse(Refusal::NoKey, None).await
    }

    /// Refuses what the client sent and ends the connection.
    async fn refuse(&mut self, refusal: Refusal, retry_after: Option<Duration>) -> Next {
        let _held = Guard::new(&self.entry.in_flight);
        if !matches!(refusal, Refusal::NoRoute | Refusal::NotRun | Refusal::NoKey) {
            emit(
                &catalogue::INPUT_REFUSED,
                &[("port", &"entry"), ("reason", &refusal)],
            );
        }
        self.pipeline.close();
        self.write(refuse(refusal, retry_after, true)).await;
        Next::Linger
    }

    /// Notes what was begun behind an answer that ends the connection.
    fn note_unread(&self) {
        let count = self.pipeline.len();
        if self.pipeline.is_closed() && count > 0 {
            self.entry.metrics.note_unread(count);
            emit(&catalogue::REQUESTS_NOT_READ, &[("count", &count)]);
        }
    }

    async fn let_go_on(&mut self) -> Next {
        let go_on = BytesMut::from(&b"HTTP/1.1 100 Continue\r\n\r\n"[..]);
        if self.write(go_on).await {
            Next::Request
        } else {
            Next::Close
        }
    }

    fn log(&self, incoming: &Incoming, returned: &Response, trail: &Trail) {
        let refusal = Refusal::of(returned);
        let end = End {
            attempt: &incoming.attempt,
            kind: &incoming.route.name,
            status: refusal.map_or(returned.status, Refusal::status),
            trail,
            reason: returned.reason,
            pressure: returned.observed_pressure(),
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
