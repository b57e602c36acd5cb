//! A long body that comes over a link.

use std::rc::Weak;

use bytes::Bytes;
use futures::channel::mpsc;
use futures::future::LocalBoxFuture;
use futures::{FutureExt as _, StreamExt as _};
use sailtrack_wire::Chunk;

use crate::body::{Source, Truncated};
use crate::peer::link::Link;

/// A body that another node sends as it is asked for.
pub(super) struct LinkSource {
    link: Weak<Link>,
    exchange: u64,
    chunks: mpsc::UnboundedReceiver<Chunk>,
    ended: bool,
}

impl LinkSource {
    pub(super) fn new(
        link: Weak<Link>,
        exchange: u64,
        chunks: mpsc::UnboundedReceiver<Chunk>,
    ) -> Self {
        Self {
            link,
            exchange,
            chunks,
            ended: false,
        }
    }
}

impl Source for LinkSource {
    fn next(&mut self) -> LocalBoxFuture<'_, Result<Option<Bytes>, Truncated>> {
        async {
            let Some(chunk) = self.chunks.next().await else {
                return Err(Truncated);
            };
            self.ended = chunk.last || chunk.broken;
            if chunk.broken {
                return Err(Truncated);
            }
            if chunk.last {
                return Ok(None);
            }
            if let Some(link) = self.link.upgrade() {
                link.grant(self.exchange);
            }
            Ok(Some(chunk.data))
        }
        .boxed_local()
    }
}

impl Drop for LinkSource {
    fn drop(&mut self) {
        let Some(link) = self.link.upgrade() else {
            return;
        };
        link.end_stream(self.exchange, self.ended);
    }
}
