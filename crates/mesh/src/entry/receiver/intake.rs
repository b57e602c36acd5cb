//! Admits requests with a body and reads the body.

use sailtrack_net::transparent::{BodyError, BodyRest, Framing};
use sailtrack_wire::Reason;

use crate::clock;
use crate::configuration::ClientLimits;
use crate::entry::exchange::{Admission, Reply, reject};
use crate::entry::pipeline::Permit;
use crate::entry::receiver::{Receiver, Stop};
use crate::entry::request::{Incoming, Payload};
use crate::entry::response::Refusal;
use crate::memory::{Assembly, Charge, Exhausted, patience};
use crate::request::Response;
use crate::retry_after;

/// How much is charged at a time when a body is longer than expected.
const GROWTH_BYTES: usize = 256 * 1024;

/// Why a body was not read.
enum Failure {
    /// The connection failed, or the body is invalid or too long.
    Body(BodyError),
    /// There is no memory for it.
    Memory,
    /// The deadline passed before it was complete.
    Timeout,
}

impl From<BodyError> for Failure {
    fn from(error: BodyError) -> Self {
        Self::Body(error)
    }
}

impl From<Exhausted> for Failure {
    fn from(_: Exhausted) -> Self {
        Self::Memory
    }
}

impl Receiver<'_> {
    /// Admits a request with a body and reads the body. Whether there is memory for it is decided
    /// before it is read.
    pub(super) async fn admit_with_body(
        &mut self,
        incoming: Incoming,
        permit: Permit,
        limits: ClientLimits,
    ) -> Result<(Incoming, Admission, Permit), Stop> {
        if let Some(response) = self.entry.refuse_if_stopping(&incoming) {
            let reply = reject(incoming, response, permit, true);
            return Err(Stop::Refused(reply));
        }
        if matches!(incoming.framing, Framing::Length(length) if length > limits.body_bytes as u64)
        {
            return Err(Stop::refused(Refusal::BodyTooLarge));
        }
        let token = match self.entry.acquire_token(&incoming).await {
            Ok(token) => token,
            Err(response) => {
                let reply = reject(incoming, response, permit, true);
                return Err(Stop::Refused(reply));
            }
        };
        let mut reservation = permit.reserve(token);
        let failure = match self.read_admitted(&incoming, limits.body_bytes).await {
            Ok(payload) => {
                let admission = Admission {
                    reservation,
                    payload,
                };
                return Ok((incoming, admission, permit));
            }
            Err(failure) => failure,
        };
        // The request will not run.
        reservation.refund();
        Err(match failure {
            Failure::Memory => {
                let response = Response::refused(Reason::Overload);
                let response = response.with_retry_after(retry_after::memory());
                Stop::Refused(reject(incoming, response, permit, true))
            }
            Failure::Body(BodyError::TooLarge) => Stop::refused(Refusal::BodyTooLarge),
            Failure::Body(BodyError::Malformed) => Stop::refused(Refusal::Malformed),
            Failure::Body(BodyError::Cut | BodyError::Io(_)) => Stop::Disconnected,
            Failure::Timeout => Stop::refused(Refusal::Timeout),
        })
    }

    /// Reads a body once there is memory for it.
    async fn read_admitted(
        &mut self,
        incoming: &Incoming,
        limit: usize,
    ) -> Result<Payload, Failure> {
        let bytes = self.expected_bytes(incoming, limit);
        let patience = patience(incoming.time_left());
        let budget = &self.entry.memory.clients;
        let charge = budget.acquire(incoming.owner(), bytes, patience).await?;
        if incoming.expects_continue() && self.reader.buffered() == 0 {
            let is_exclusive = !incoming.route.is_idempotent();
            self.pipeline
                .push(std::future::ready(Reply::Continue), is_exclusive);
        }
        // Boxed, since each of the enclosing futures would otherwise reserve space for its state.
        let reading = Box::pin(self.read_body(incoming, charge, limit));
        let payload = clock::timeout_at(incoming.deadline, reading).await;
        payload.unwrap_or(Err(Failure::Timeout))
    }

    /// Returns how much memory is charged for a body before it is read.
    fn expected_bytes(&self, incoming: &Incoming, limit: usize) -> usize {
        match incoming.framing {
            Framing::None => 0,
            Framing::Length(length) => usize::try_from(length).unwrap_or(usize::MAX).min(limit),
            Framing::Chunked | Framing::UntilClose => {
                self.entry.lengths.expected(&incoming.route.name).min(limit)
            }
        }
    }

    async fn read_body(
        &mut self,
        incoming: &Incoming,
        charge: Charge,
        limit: usize,
    ) -> Result<Payload, Failure> {
        let mut hasher = incoming.hasher(&self.entry.service);
        let mut assembly = Assembly::new(charge);
        let mut rest = BodyRest::new(incoming.framing);
        while let Some(piece) = self.reader.piece(&mut rest).await? {
            let length = assembly.len() + piece.len();
            if length > limit {
                return Err(BodyError::TooLarge.into());
            }
            let missing = length.saturating_sub(assembly.charge().bytes());
            if missing > 0 {
                let extra = GROWTH_BYTES.min(limit - length + missing).max(missing);
                let patience = patience(incoming.time_left());
                assembly.charge().grow(extra, patience).await?;
            }
            hasher.update(&piece);
            assembly.push(&piece);
        }
        if incoming.framing == Framing::Chunked {
            let kind = &incoming.route.name;
            self.entry.lengths.record(kind, assembly.len());
        }
        Ok(Payload {
            body: assembly.finish(),
            identity: hasher.finish(),
        })
    }
}
