//! Writes the responses of a connection, in the order of the requests.

mod stream;

use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use monoio::io::{AsyncWriteRentExt as _, OwnedWriteHalf};
use monoio::net::TcpStream;
use monoio::time::timeout;
use sailtrack_log::{catalogue, emit};
use sailtrack_net::task::Guard;
use sailtrack_wire::Outcome;

use crate::clock;
use crate::dispatch::Trail;
use crate::entry::CredentialError;
use crate::entry::Entry;
use crate::entry::connection::Disposition;
use crate::entry::exchange::{Completion, Reply};
use crate::entry::pipeline::Pipeline;
use crate::entry::request::Incoming;
use crate::entry::response::{Options, Output, Refusal, render, render_refusal};
use crate::events;
use crate::request::Response;

/// How long a write to the client may take.
const WRITE_TIME: Duration = Duration::from_secs(10);

/// The most bytes that are written at a time.
const PIECE_BYTES: usize = 16 * 1024;

/// Writes the responses of a connection.
pub(super) struct Sender<'a> {
    entry: &'a Rc<Entry>,
    writer: &'a mut OwnedWriteHalf<TcpStream>,
    pipeline: &'a Pipeline,
}

impl<'a> Sender<'a> {
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

    /// Writes responses until one of them closes the connection.
    pub(super) async fn run(mut self) -> Disposition {
        loop {
            let disposition = match self.pipeline.next().await {
                Reply::Completed(completion) => self.send_response(*completion).await,
                Reply::Unauthorized(incoming, error) => {
                    self.refuse_credential(&incoming, error).await
                }
                Reply::Rejected(refusal, retry_after) => self.refuse(refusal, retry_after).await,
                Reply::Continue => self.send_continue().await,
            };
            self.pipeline.record_answered();
            if disposition != Disposition::KeepAlive {
                self.record_unread();
                return disposition;
            }
        }
    }

    async fn send_response(&mut self, completion: Completion) -> Disposition {
        let Completion {
            incoming,
            response,
            trail,
            mut reservation,
            charge,
            closes,
        } = completion;
        reservation.consume();
        self.log(&incoming, &response, &trail);
        let time = incoming.received_at.elapsed();
        let kind = &incoming.route.name;
        self.entry.metrics.record_answer(kind, &response, time);
        if response.outcome == Outcome::Done {
            let is_long = response.body.whole().is_none();
            self.entry.long_answers.record(kind, is_long);
        }
        let was_refused = response.outcome == Outcome::NotRun;
        let was_answered = response.outcome == Outcome::Done;
        let options = Options {
            is_head: &incoming.head.method[..] == b"HEAD",
            is_1_1: incoming.head.is_1_1,
            time_left: incoming.deadline.since(clock::now()),
            close: closes || !incoming.head.keeps_alive() || self.should_close(was_refused),
        };
        let output = render(response, options);
        let mut disposition = self.write_output(output, &incoming).await;
        if disposition == Disposition::Close && (closes || was_refused) {
            disposition = Disposition::Linger;
        }
        drop(charge);
        if was_answered
            && disposition != Disposition::Abort
            && let Some(identity) = trail.identity()
        {
            self.entry.dispatcher.quarantine.record_success(&identity);
        }
        disposition
    }

    /// Returns true if the connection should close and no request has been read behind this one.
    fn should_close(&self, was_refused: bool) -> bool {
        self.pipeline.is_last() && (self.entry.is_closing() || self.entry.is_crowded(was_refused))
    }

    /// Writes a response; the connection closes immediately if it cannot be completed.
    async fn write_output(&mut self, output: Output, incoming: &Incoming) -> Disposition {
        if output.close {
            self.pipeline.close();
        }
        if !self.write_with_body(output.bytes, output.body).await {
            return Disposition::Abort;
        }
        if let Some(stream) = output.stream
            && !self.write_stream(stream, output.is_chunked, incoming).await
        {
            return Disposition::Abort;
        }
        if output.close {
            Disposition::Close
        } else {
            Disposition::KeepAlive
        }
    }

    async fn refuse_credential(
        &mut self,
        incoming: &Incoming,
        error: CredentialError,
    ) -> Disposition {
        let (attempt, kind) = (&incoming.attempt, &incoming.route.name);
        let version = self.entry.current.version();
        let events = &self.entry.events;
        events.log_credential_error(attempt, kind, error, version);
        self.entry.metrics.record_credential_error();
        self.refuse(Refusal::Unauthorized, None).await
    }

    /// Refuses the client's input and closes the connection.
    async fn refuse(&mut self, refusal: Refusal, retry_after: Option<Duration>) -> Disposition {
        let _held = Guard::new(&self.entry.in_flight);
        if !matches!(
            refusal,
            Refusal::NoRoute | Refusal::NotRun | Refusal::Unauthorized
        ) {
            emit(
                &catalogue::INPUT_REFUSED,
                &[("port", &"entry"), ("reason", &refusal)],
            );
        }
        self.pipeline.close();
        self.write(render_refusal(refusal, retry_after, true)).await;
        Disposition::Linger
    }

    /// Records the requests started behind a response that closes the connection.
    fn record_unread(&self) {
        let count = self.pipeline.len();
        if self.pipeline.is_closed() && count > 0 {
            self.entry.metrics.record_unread(count);
            emit(&catalogue::REQUESTS_NOT_READ, &[("count", &count)]);
        }
    }

    async fn send_continue(&mut self) -> Disposition {
        let interim = BytesMut::from(&b"HTTP/1.1 100 Continue\r\n\r\n"[..]);
        if self.write(interim).await {
            Disposition::KeepAlive
        } else {
            Disposition::Abort
        }
    }

    fn log(&self, incoming: &Incoming, response: &Response, trail: &Trail) {
        let refusal = Refusal::of(response);
        let end = events::Completion {
            attempt: &incoming.attempt,
            kind: &incoming.route.name,
            status: refusal.map_or(response.status, Refusal::status),
            trail,
            reason: response.reason,
            pressure: response.observed_pressure(),
            callee_failed: response.failed_below,
            workspace: incoming.workspace().map(|workspace| &workspace.name),
            version: self.entry.current.version(),
            elapsed: incoming.received_at.elapsed(),
            in_flight: self.entry.in_flight.get(),
        };
        let events = &self.entry.events;
        match refusal {
            None if response.is_success() => {}
            None => events.log_error_response(&end),
            Some(Refusal::NotRun | Refusal::OverQuota) => events.log_entry_refusal(&end),
            Some(Refusal::Quarantined) => {
                events.log_entry_refusal(&end);
                if let Some(identity) = trail.identity() {
                    events.log_quarantine_refusal(end.attempt, &identity);
                }
            }
            Some(_) => events.log_failure(&end),
        }
    }

    async fn write(&mut self, bytes: BytesMut) -> bool {
        self.write_with_body(bytes, Bytes::new()).await
    }

    /// Writes bytes and what follows them, unless the client takes too long for that.
    async fn write_with_body(&mut self, bytes: BytesMut, body: Bytes) -> bool {
        let written = timeout(WRITE_TIME, self.write_pieces_of(bytes.freeze(), body)).await;
        matches!(written, Ok(Ok(())))
    }

    /// Writes in pieces, so that it is seen whether the client takes anything.
    async fn write_pieces_of(&mut self, bytes: Bytes, body: Bytes) -> io::Result<()> {
        for mut rest in [bytes, body] {
            while !rest.is_empty() {
                let piece = rest.split_to(rest.len().min(PIECE_BYTES));
                self.pipeline.wait_for_client();
                self.writer.write_all(piece).await.0?;
            }
        }
        Ok(())
    }
}
