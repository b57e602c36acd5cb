//! Reads the part of a body that is kept before it is passed on: all of it, unless it is long.
//!
//! What is kept is counted together with that of all other requests. Without room a body is passed
//! on as it comes, so that no more of it is read than its caller takes.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use sailtrack_net::transparent::{BodyRest, Framing};

use crate::gate::exchange::{Exchange, ExchangeError};
use crate::gate::pool::Connection;
use crate::memory::Charge;

/// Longer bodies are streamed. A response that breaks off within this limit can be retried or
/// refused.
const MAX_BUFFERED_BYTES: usize = 128 * 1024;
/// A body of up to this many bytes is not counted: requests in flight are few enough. Of one without
/// a length, so much is counted at a time.
const STEP_BYTES: usize = 16 * 1024;
/// How long a body waits for room while its upstream is not read.
const PATIENCE: Duration = Duration::from_millis(250);

/// The part of a body that was read.
pub(super) struct Prefix {
    pub(super) bytes: Bytes,
    pub(super) charge: Option<Charge>,
}

impl Exchange<'_> {
    /// Reads a body to its end, or as far as it is kept.
    pub(super) async fn read_prefix(
        &self,
        connection: &mut Connection,
        rest: &mut BodyRest,
        framing: Framing,
    ) -> Result<Prefix, ExchangeError> {
        let Framing::Length(length) = framing else {
            return self.read_unknown(connection, rest).await;
        };
        let length = usize::try_from(length).unwrap_or(usize::MAX);
        let expected = length.min(MAX_BUFFERED_BYTES);
        let charge = self.count(expected).await;
        let is_kept = charge.is_some() || expected <= STEP_BYTES;
        let mut body = BytesMut::new();
        while is_kept && body.len() < expected {
            let piece = connection.reader.piece(rest).await;
            match piece.map_err(ExchangeError::Body)? {
                Some(piece) if piece.len() == length => {
                    return Ok(Prefix {
                        bytes: piece,
                        charge,
                    });
                }
                Some(piece) => {
                    body.reserve(expected.saturating_sub(body.len()));
                    body.extend_from_slice(&piece);
                }
                None => break,
            }
        }
        Ok(Prefix {
            bytes: body.freeze(),
            charge,
        })
    }

    /// Counts a body that is not short, once there is room for it; returns `None` otherwise.
    async fn count(&self, bytes: usize) -> Option<Charge> {
        if bytes <= STEP_BYTES {
            return None;
        }
        let caller = &self.request.caller;
        if let Some(charge) = self.answers.try_acquire(caller, bytes) {
            return Some(charge);
        }
        let waiting = self.answers.acquire(caller.clone(), bytes, PATIENCE);
        waiting.await.ok()
    }

    /// Reads a body whose length is not known.
    async fn read_unknown(
        &self,
        connection: &mut Connection,
        rest: &mut BodyRest,
    ) -> Result<Prefix, ExchangeError> {
        let mut body = BytesMut::new();
        let mut charge: Option<Charge> = None;
        while body.len() < MAX_BUFFERED_BYTES {
            let counted = charge.as_ref().map_or(STEP_BYTES, Charge::bytes);
            if body.len() >= counted && !self.count_more(&mut charge) {
                break;
            }
            let piece = connection.reader.piece(rest).await;
            match piece.map_err(ExchangeError::Body)? {
                Some(piece) => body.extend_from_slice(&piece),
                None => break,
            }
        }
        Ok(Prefix {
            bytes: body.freeze(),
            charge,
        })
    }

    /// Counts a further part of a body, if there is room for it.
    fn count_more(&self, charge: &mut Option<Charge>) -> bool {
        let bytes = if charge.is_some() {
            STEP_BYTES
        } else {
            2 * STEP_BYTES
        };
        let Some(more) = self.answers.try_acquire(&self.request.caller, bytes) else {
            return false;
        };
        match charge {
            Some(charge) => charge.join(more),
            None => *charge = Some(more),
        }
        true
    }
}
