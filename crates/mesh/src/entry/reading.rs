//! Reads the requests of a connection and begins them.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::future::{Either, ready, select};
use monoio::time::timeout;
use sailtrack_net::task::Guard;
use sailtrack_net::transparent::{BodyError, Framing, HeadError, MessageError, Reader};
use sailtrack_wire::Reason;

use crate::clock;
use crate::configuration::ClientLimits;
use crate::entry::Entry;
use crate::entry::admission::Denial;
use crate::entry::answer::Refusal;
use crate::entry::connection::Next;
use crate::entry::exchange::{Admitted, Answer, bring, let_in, turned_away};
use crate::entry::pipeline::{Pipeline, Place};
use crate::entry::request::{Incoming, Received};
use crate::request::Response;

/// The most bytes taken in while requests that came before are worked on.
const MOST_READ_AHEAD: usize = 64 * 1024;
/// When a client of a node without a configuration may come back.
const UNCONFIGURED_RETURN: Duration = Duration::from_millis(500);
/// When a client may come back for whose body there was no memory.
const MEMORY_RETURN: Duration = Duration::from_millis(500);

/// What became of waiting for bytes.
enum Came {
    Bytes,
    /// Nothing came, and nothing is left to be answered.
    Nothing,
    End,
}

/// Why no further request is read.
enum Stop {
    /// The client is gone.
    Gone,
    /// It asked for this one to be the last.
    Asked,
    /// It is refused with this.
    Refused(Answer),
}

impl Stop {
    fn refused(refusal: Refusal) -> Self {
        Self::Refused(Answer::Last(refusal, None))
    }
}

/// Reads the requests of a connection.
pub(super) struct Reading<'a> {
    entry: &'a Rc<Entry>,
    reader: &'a mut Reader,
    pipeline: &'a Pipeline,
}

impl<'a> Reading<'a> {
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

    /// Reads and begins requests until none is left, or the client is gone.
    pub(super) async fn run(mut self) -> Next {
        loop {
            match self.wait_for_bytes().await {
                Came::Bytes => {}
                Came::Nothing => return Next::Request,
                Came::End => return Next::Close,
            }
            let Err(stop) = self.begin_next().await else {
                continue;
            };
            if let Stop::Refused(answer) = stop {
                self.pipeline.push(ready(answer), true);
                // With nothing ahead of it the refusal goes out even to a client that has ended
                // its side.
                if self.wait(|pipeline| pipeline.len() <= 1).await {
                    std::future::pending::<()>().await;
                }
            } else if matches!(stop, Stop::Asked) {
                wait_for_end(self.reader).await;
            }
            return Next::Close;
        }
    }

    async fn wait_for_bytes(&mut self) -> Came {
        while self.reader.buffered() == 0 {
            let quiet = std::pin::pin!(self.pipeline.until(|pipeline| pipeline.len() == 0));
            let fill = std::pin::pin!(self.reader.fill());
            match select(fill, quiet).await {
                Either::Left((Ok(count), _)) if count > 0 => {}
                Either::Left(_) => return Came::End,
                Either::Right(_) => return Came::Nothing,
            }
        }
        Came::Bytes
    }

    /// Waits until `condition` holds; returns false if the client leaves before.
    async fn wait(&mut self, condition: impl Fn(&Pipeline) -> bool) -> bool {
        let holds = std::pin::pin!(self.pipeline.until(condition));
        let leaving = std::pin::pin!(wait_for_end(self.reader));
        matches!(select(holds, leaving).await, Either::Left(_))
    }

    /// Reads one request and begins it when its turn has come.
    async fn begin_next(&mut self) -> Result<(), Stop> {
        let held = Guard::new(&self.entry.in_flight);
        let limits = self.entry.limits();
        let bytes = self.head(limits).await?;
        let came = self.reader.last_arrival().unwrap_or_else(Instant::now);
        let mut incoming = self.parse(&bytes, came)?;
        let is_idempotent = incoming.route.is_idempotent();
        if !self.pipeline.has_place(is_idempotent) {
            if !self
                .wait(|pipeline| pipeline.has_place(is_idempotent))
                .await
            {
                return Err(Stop::Gone);
            }
            // Its key may have been taken away meanwhile.
            incoming = self.parse(&bytes, came)?;
        }
        let place = self.pipeline.place(held);
        let has_body = incoming.framing != Framing::None;
        let keeps_alive = incoming.head.keeps_alive();
        let entry = Rc::clone(self.entry);
        match self.entry.check_key(&incoming) {
            Err(Denial::Key(refusal)) => {
                let answer = Answer::NoKey(Box::new(incoming), refusal);
                return Err(Stop::Refused(answer));
            }
            Err(Denial::NotNow(returned)) => self.turn_away(incoming, *returned, place)?,
            Ok(()) if has_body => {
                let (incoming, admitted, place) = self.receive(incoming, place, limits).await?;
                self.begin(bring(entry, incoming, admitted, place), is_idempotent);
            }
            Ok(()) => self.begin(let_in(entry, incoming, place), is_idempotent),
        }
        if keeps_alive {
            Ok(())
        } else {
            Err(Stop::Asked)
        }
    }

    /// Refuses a request for now; it takes no room, so a body is not read and ends the connection.
    fn turn_away(&self, incoming: Incoming, returned: Response, place: Place) -> Result<(), Stop> {
        let has_body = incoming.framing != Framing::None;
        let answer = turned_away(incoming, returned, place, has_body);
        if has_body {
            return Err(Stop::Refused(answer));
        }
        self.pipeline.push(ready(answer), false);
        Ok(())
    }

    fn begin(&self, exchange: impl Future<Output = Answer> + 'static, is_idempotent: bool) {
        self.pipeline.push(exchange, !is_idempotent);
        let depth = self.pipeline.len();
        if depth > 1 {
            self.entry.metrics.note_pipelined(depth);
        }
    }

    /// Reads a head, within its bounds.
    async fn head(&mut self, limits: ClientLimits) -> Result<Bytes, Stop> {
        let head = self.reader.request_head(limits.head_bytes);
        match timeout(limits.head_time, head).await {
            Ok(Ok(head)) => Ok(head),
            Ok(Err(MessageError::Head(HeadError::TooLarge))) => {
                Err(Stop::refused(Refusal::HeadTooLarge))
            }
            Ok(Err(MessageError::Head(_))) => Err(Stop::refused(Refusal::Malformed)),
            Ok(Err(_)) => Err(Stop::Gone),
            Err(_) => Err(Stop::refused(Refusal::TooSlow)),
        }
    }

    /// Reads what a head asks for, by the configuration in force.
    fn parse(&self, head: &Bytes, came: Instant) -> Result<Incoming, Stop> {
        let Some(configuration) = self.entry.current.get() else {
            let answer = Answer::Last(Refusal::NotRun, Some(UNCONFIGURED_RETURN));
            return Err(Stop::Refused(answer));
        };
        let fields = self.entry.dialect.fields();
        Incoming::read(head, fields, &configuration, &self.entry.contexts, came)
            .map_err(Stop::refused)
    }

    /// Lets a request with a body in, and reads it.
    async fn receive(
        &mut self,
        incoming: Incoming,
        place: Place,
        limits: ClientLimits,
    ) -> Result<(Incoming, Admitted, Place), Stop> {
        if let Some(returned) = self.entry.refuse_late(&incoming) {
            let answer = turned_away(incoming, returned, place, true);
            return Err(Stop::Refused(answer));
        }
        let token = match self.entry.take_token(&incoming).await {
            Ok(token) => token,
            Err(returned) => {
                let answer = turned_away(incoming, returned, place, true);
                return Err(Stop::Refused(answer));
            }
        };
        let mut reservation = place.keep(token);
        let memory = self.entry.memory.take(incoming.framing, limits.body_bytes);
        let Some(memory) = memory else {
            reservation.give_back();
            let returned = Response::refused(Reason::Overload).with_retry_after(MEMORY_RETURN);
            let answer = turned_away(incoming, returned, place, true);
            return Err(Stop::Refused(answer));
        };
        match self.body(&incoming, limits.body_bytes).await {
            Ok(received) => {
                let admitted = Admitted {
                    reservation,
                    received,
                    memory,
                };
                Ok((incoming, admitted, place))
            }
            Err(stop) => {
                // Nothing of it runs.
                reservation.give_back();
                Err(stop)
            }
        }
    }

    async fn body(&mut self, incoming: &Incoming, limit: usize) -> Result<Received, Stop> {
        if incoming.expects_continue() && self.reader.buffered() == 0 {
            let is_exclusive = !incoming.route.is_idempotent();
            self.pipeline.push(ready(Answer::GoOn), is_exclusive);
        }
        let mut hasher = incoming.hasher(&self.entry.service);
        let see = |piece: &[u8]| hasher.update(piece);
        let body = self.reader.inspect_body(incoming.framing, limit, see);
        match clock::until(incoming.deadline, body).await {
            Ok(Ok(body)) => Ok(Received {
                body,
                identity: hasher.finish(),
            }),
            Ok(Err(BodyError::TooLarge)) => Err(Stop::refused(Refusal::BodyTooLarge)),
            Ok(Err(BodyError::Malformed)) => Err(Stop::refused(Refusal::Malformed)),
            Ok(Err(BodyError::Cut | BodyError::Io(_))) => Err(Stop::Gone),
            Err(_) => Err(Stop::refused(Refusal::TooSlow)),
        }
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
