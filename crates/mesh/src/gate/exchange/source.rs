//! The rest of a long response, read as it is passed on.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt as _;
use futures::future::LocalBoxFuture;
use monoio::time::timeout;
use sailtrack_net::transparent::BodyRest;

use crate::body::{Source, Truncated};
use crate::gate::crash::Detector;
use crate::gate::exchange::prefix::Prefix;
use crate::gate::pool::Connection;

/// The maximum pause of an upstream within a streamed body.
const BODY_READ_TIMEOUT: Duration = Duration::from_secs(30);

/// The remainder of a streamed body on the connection to the upstream.
pub(super) struct UpstreamSource {
    pub(super) detector: Rc<Detector>,
    /// The end of the connection is the end of the body.
    pub(super) ends_with_connection: bool,
    pub(super) connection: Connection,
    pub(super) first_piece: Option<Prefix>,
    pub(super) rest: BodyRest,
}

impl Source for UpstreamSource {
    fn next(&mut self) -> LocalBoxFuture<'_, Result<Option<Bytes>, Truncated>> {
        async {
            if let Some(first_piece) = self.first_piece.take() {
                return Ok(Some(first_piece.bytes));
            }
            let piece = self.connection.reader.piece(&mut self.rest);
            match timeout(BODY_READ_TIMEOUT, piece).await {
                Ok(Ok(None)) if self.ends_with_connection => {
                    let is_complete = !self.detector.has_ended().await;
                    is_complete.then_some(None).ok_or(Truncated)
                }
                Ok(Ok(piece)) => Ok(piece),
                Ok(Err(_)) | Err(_) => Err(Truncated),
            }
        }
        .boxed_local()
    }
}
