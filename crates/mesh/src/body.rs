//! Bodies of responses, either buffered or streamed.

use std::any::Any;
use std::fmt;

use bytes::Bytes;
use displaydoc::Display;
use futures::future::LocalBoxFuture;

/// the rest of the body was lost
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(crate) struct Truncated;

impl std::error::Error for Truncated {}

/// The source of a streamed body; each chunk is read only when it is requested.
pub(crate) trait Source {
    /// Returns the next chunk, or `None` at the end of the body.
    fn next(&mut self) -> LocalBoxFuture<'_, Result<Option<Bytes>, Truncated>>;
}

/// A body that is forwarded while it is being read.
pub(crate) struct Stream {
    /// The length of the complete body, if known.
    pub(crate) length: Option<u64>,
    source: Box<dyn Source>,
    /// Values that are dropped with the stream, such as the concurrency slot of the upstream.
    guards: Vec<Box<dyn Any>>,
}

impl Stream {
    pub(crate) fn new(length: Option<u64>, source: Box<dyn Source>) -> Self {
        Self {
            length,
            source,
            guards: Vec::new(),
        }
    }

    /// Returns the next chunk, or `None` at the end of the body.
    pub(crate) async fn next(&mut self) -> Result<Option<Bytes>, Truncated> {
        self.source.next().await
    }
}

/// The body of a response.
pub(crate) enum Body {
    /// A complete body in memory.
    Whole(Bytes),
    /// A long body that arrives in chunks.
    Stream(Stream),
}

impl Body {
    /// Returns the body if it is completely in memory.
    pub(crate) fn whole(&self) -> Option<&Bytes> {
        match self {
            Self::Whole(bytes) => Some(bytes),
            Self::Stream(_) => None,
        }
    }

    /// Keeps `guard` until the body has been read; a buffered body drops it at once.
    pub(crate) fn hold(&mut self, guard: impl Any) {
        if let Self::Stream(stream) = self {
            stream.guards.push(Box::new(guard));
        }
    }
}

impl fmt::Debug for Body {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Whole(bytes) => write!(f, "{} bytes", bytes.len()),
            Self::Stream(stream) => write!(f, "a stream of {:?} bytes", stream.length),
        }
    }
}
