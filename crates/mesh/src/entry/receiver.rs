//! Reads the requests of a connection and starts them.

mod intake;

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::future::{Either, ready, select};
use monoio::time::timeout;
use sailtrack_net::task::Guard;
use sailtrack_net::transparent::{Framing, HeadError, MessageError, Reader};

use crate::configuration::ClientLimits;
use crate::entry::Entry;
use crate::entry::admission::Denial;
use crate::entry::connection::Disposition;
use crate::entry::exchange::{Reply, admit_and_run, reject, run_admitted};
use crate::entry::pipeline::{Permit, Pipeline};
use crate::entry::request::Incoming;
use crate::entry::response::Refusal;
use crate::request::Response;

/// The most bytes buffered from the client while earlier requests are in flight.
const MAX_READ_AHEAD: usize = 64 * 1024;
/// Retry-After of a node that has no configuration yet.
const UNCONFIGURED_RETRY_AFTER: Duration = Duration::from_millis(500);

/// The result of waiting for input.
enum Input {
    Bytes,
    /// No input arrived, and no request is pending.
    Idle,
    Closed,
}

/// Why no further request is read.
enum Stop {
    /// The client closed the connection.
    Disconnected,
    /// The request asked for the connection to be closed after it.
    CloseRequested,
    /// The input was refused with this reply.
    Refused(Reply),
}

impl Stop {
    fn refused(refusal: Refusal) -> Self {
        Self::Refused(Reply::Rejected(refusal, None))
    }
}

/// Reads the requests of a connection.
pub(super) struct Receiver<'a> {
    entry: &'a Rc<Entry>,
    reader: &'a mut Reader,
    pipeline: &'a Pipeline,
}

impl<'a> Receiver<'a> {
    pub(super) fn new(
        entry: &'a Rc<Entry>,
        reader: &'a mut Reader,
        pipeline: &'a Pipeline,
    ) -> Self {
        Self {
            entry,
            reader,
            pipeline,
        }
    }

    /// Reads and starts requests until none is pending or the client disconnects.
    pub(super) async fn run(mut self) -> Disposition {
        loop {
            match self.wait_for_bytes().await {
                Input::Bytes => {}
                Input::Idle => return Disposition::KeepAlive,
                Input::Closed => return Disposition::Abort,
            }
            let Err(stop) = self.start_next().await else {
                continue;
            };
            if let Stop::Refused(reply) = stop {
                self.pipeline.push(ready(reply), true);
                // With no request ahead of it, the refusal is sent even to a client that has closed
                // its sending side.
                if self.wait_until(|pipeline| pipeline.len() <= 1).await {
                    std::future::pending::<()>().await;
                }
            } else if matches!(stop, Stop::CloseRequested) {
                wait_for_disconnect(self.reader).await;
            }
            return Disposition::Abort;
        }
    }

    async fn wait_for_bytes(&mut self) -> Input {
        while self.reader.buffered() == 0 {
            let idle = std::pin::pin!(self.pipeline.wait_until(|pipeline| pipeline.len() == 0));
            let fill = std::pin::pin!(self.reader.fill());
            match select(fill, idle).await {
                Either::Left((Ok(count), _)) if count > 0 => {}
                Either::Left(_) => return Input::Closed,
                Either::Right(_) => return Input::Idle,
            }
        }
        Input::Bytes
    }

    /// Waits until `condition` holds; returns false if the client disconnects first.
    async fn wait_until(&mut self, condition: impl Fn(&Pipeline) -> bool) -> bool {
        let holds = std::pin::pin!(self.pipeline.wait_until(condition));
        let leaving = std::pin::pin!(wait_for_disconnect(self.reader));
        matches!(select(holds, leaving).await, Either::Left(_))
    }

    /// Reads one request and starts it once the pipeline allows.
    async fn start_next(&mut self) -> Result<(), Stop> {
        let held = Guard::new(&self.entry.in_flight);
        let limits = self.entry.limits();
        let bytes = self.read_head(limits).await?;
        let received_at = self.reader.last_arrival().unwrap_or_else(Instant::now);
        let mut incoming = self.parse(&bytes, received_at)?;
        let is_idempotent = incoming.route.is_idempotent();
        if !self.pipeline.can_start(is_idempotent) {
            self.pipeline.set_has_more(true);
            if !self
                .wait_until(|pipeline| pipeline.can_start(is_idempotent))
                .await
            {
                return Err(Stop::Disconnected);
            }
            // The client's key may have been revoked in the meantime.
            incoming = self.parse(&bytes, received_at)?;
        }
        let permit = self.pipeline.permit(held, bytes.len());
        let has_body = incoming.framing != Framing::None;
        let keeps_alive = incoming.head.keeps_alive();
        let is_exclusive = !is_idempotent || self.entry.long_answers.are_expected(&incoming.route);
        let entry = Rc::clone(self.entry);
        match self.entry.check_credential(&incoming) {
            Err(Denial::Credential(refusal)) => {
                let reply = Reply::Unauthorized(Box::new(incoming), refusal);
                return Err(Stop::Refused(reply));
            }
            Err(Denial::Retry(response)) => self.reject_for_now(incoming, *response, permit)?,
            Ok(()) if has_body => {
                let (incoming, admission, permit) =
                    Box::pin(self.admit_with_body(incoming, permit, limits)).await?;
                self.start(
                    run_admitted(entry, incoming, admission, permit),
                    is_exclusive,
                );
            }
            Ok(()) => self.start(admit_and_run(entry, incoming, permit), is_exclusive),
        }
        if keeps_alive {
            Ok(())
        } else {
            Err(Stop::CloseRequested)
        }
    }

    /// Rejects a request that may be retried. Its body is not read, so a request with a body closes
    /// the connection.
    fn reject_for_now(
        &self,
        incoming: Incoming,
        response: Response,
        permit: Permit,
    ) -> Result<(), Stop> {
        let has_body = incoming.framing != Framing::None;
        let reply = reject(incoming, response, permit, has_body);
        if has_body {
            return Err(Stop::Refused(reply));
        }
        self.pipeline.set_has_more(self.reader.buffered() > 0);
        self.pipeline.push(ready(reply), false);
        Ok(())
    }

    fn start(&self, exchange: impl Future<Output = Reply> + 'static, is_exclusive: bool) {
        self.pipeline.set_has_more(self.reader.buffered() > 0);
        self.pipeline.push(exchange, is_exclusive);
        let depth = self.pipeline.len();
        if depth > 1 {
            self.entry.metrics.record_pipelined(depth);
        }
    }

    /// Reads a request head within the limits for its size and time.
    async fn read_head(&mut self, limits: ClientLimits) -> Result<Bytes, Stop> {
        let head = self.reader.request_head(limits.head_bytes);
        match timeout(limits.head_time, head).await {
            Ok(Ok(head)) => Ok(head),
            Ok(Err(MessageError::Head(HeadError::TooLarge))) => {
                Err(Stop::refused(Refusal::HeadTooLarge))
            }
            Ok(Err(MessageError::Head(_))) => Err(Stop::refused(Refusal::Malformed)),
            Ok(Err(_)) => Err(Stop::Disconnected),
            Err(_) => Err(Stop::refused(Refusal::Timeout)),
        }
    }

    /// Parses a request head by the configuration in force.
    fn parse(&self, head: &Bytes, received_at: Instant) -> Result<Incoming, Stop> {
        let Some(configuration) = self.entry.current.get() else {
            let reply = Reply::Rejected(Refusal::NotRun, Some(UNCONFIGURED_RETRY_AFTER));
            return Err(Stop::Refused(reply));
        };
        let fields = self.entry.dialect.fields();
        Incoming::read(
            head,
            fields,
            &configuration,
            &self.entry.contexts,
            received_at,
        )
        .map_err(Stop::refused)
    }
}

/// Waits until the client closes its connection; input that arrives meanwhile stays buffered.
async fn wait_for_disconnect(reader: &mut Reader) {
    while reader.buffered() < MAX_READ_AHEAD {
        if !matches!(reader.fill().await, Ok(count) if count > 0) {
            return;
        }
    }
    std::future::pending::<()>().await;
}
