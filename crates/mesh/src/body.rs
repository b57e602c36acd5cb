//! Bodies of answers: whole, or streamed because they are long.

use std::any::Any;
use std::fmt;

use bytes::Bytes;
use displaydoc::Display;
use futures::future::LocalBoxFuture;

/// the rest of the body was lost
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(crate) struct Truncated;

impl std::error::Error for Truncated {}

/// Where the rest of a streamed body comes from; each piece is read only when it is asked for.
pub(crate) trait Source {
    /// Returns the next bytes, or nothing once the body is whole.
    fn next(&mut self) -> LocalBoxFuture<'_, Result<Option<Bytes>, Truncated>>;
}

/// A body that is passed on while it is read.
pub(crate) struct Stream {
    /// The length of the whole body, if it is known.
    pub(crate) length: Option<u64>,
    source: Box<dyn Source>,
    /// What must live as long as the body is read, such as the slot at the upstream.
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

    /// Returns the next bytes, or nothing once the body is whole.
    pub(crate) async fn next(&mut self) -> Result<Option<Bytes>, Truncated> {
        self.source.next().await
    }
}

/// The body of an answer.
pub(crate) enum Body {
    /// It is all there.
    Whole(Bytes),
    /// It is long and comes in pieces.
    Stream(Stream),
}

impl Body {
    /// Returns the body if it is all there.
    pub(crate) fn whole(&self) -> Option<&Bytes> {
        match self {
            Self::Whole(bytes) => Some(bytes),
            Self::Stream(_) => None,
        }
    }

    /// Keeps `guard` for as long as the body is read; one that is all there needs none.
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
