//! Reads heads and bodies off a connection, within bounds.

use std::io;
use std::time::Instant;

use bytes::{Bytes, BytesMut};
use displaydoc::Display;
use futures::FutureExt as _;
use memchr::memmem;
use monoio::io::{AsyncReadRent as _, OwnedReadHalf};
use monoio::net::TcpStream;

use crate::transparent::arrivals::Arrivals;
use crate::transparent::chunked::Decoder;
use crate::transparent::framing::Framing;
use crate::transparent::head::HeadError;

/// The bytes asked for in the first read of a message; most heads fit into it. A connection that
/// waits holds this much: with 8 KiB a node with a thousand idle clients held 8 MiB for nothing.
const FIRST_READ: usize = 1024;
/// The most bytes asked for in one read.
const MOST_READ: usize = 16 * 1024;
/// How every answer begins.
const ANSWER_START: &[u8] = b"HTTP/1.";
/// The end of a head.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Why no head came.
#[derive(Debug, Display)]
pub enum MessageError {
    /// the connection ended between two messages
    Ended,
    /// the connection ended within a head
    Cut,
    /// the connection failed: {0}
    Io(io::Error),
    /// {0}
    Head(HeadError),
}

impl std::error::Error for MessageError {}

/// Why no whole body came.
#[derive(Debug, Display)]
pub enum BodyError {
    /// the connection ended within the body
    Cut,
    /// the connection failed: {0}
    Io(io::Error),
    /// the chunks of the body are malformed
    Malformed,
    /// the body is larger than the bound
    TooLarge,
}

impl std::error::Error for BodyError {}

/// What is still to come of a body.
#[derive(Debug)]
pub struct BodyRest(Rest);

#[derive(Debug)]
enum Rest {
    Ended,
    Fixed(u64),
    Chunked(Decoder),
    UntilClose,
}

impl BodyRest {
    /// Returns a body of which nothing has been read.
    #[must_use]
    pub fn new(framing: Framing) -> Self {
        Self(match framing {
            Framing::None => Rest::Ended,
            Framing::Length(length) => Rest::Fixed(length),
            Framing::Chunked => Rest::Chunked(Decoder::new()),
            Framing::UntilClose => Rest::UntilClose,
        })
    }

    /// Returns true if it is known that nothing is missing.
    #[must_use]
    pub fn is_ended(&self) -> bool {
        matches!(self.0, Rest::Ended | Rest::Fixed(0))
    }
}

/// Reads messages off one connection.
pub struct Reader {
    stream: OwnedReadHalf<TcpStream>,
    buffer: BytesMut,
    arrivals: Arrivals,
    /// The read buffer; taken away by a read that is dropped before it ends.
    space: Vec<u8>,
}

impl Reader {
    /// Returns a reader at the start of a connection.
    #[must_use]
    pub fn new(stream: OwnedReadHalf<TcpStream>) -> Self {
        Self {
            stream,
            buffer: BytesMut::new(),
            arrivals: Arrivals::default(),
            space: Vec::new(),
        }
    }

    /// Returns how many bytes have come that belong to no message read so far.
    #[must_use]
    pub fn buffered(&self) -> usize {
        self.buffer.len()
    }

    /// Returns when the last byte came that was taken off the connection.
    ///
    /// A message that was read late had come before, and its sender waits since then.
    #[must_use]
    pub fn last_arrival(&self) -> Option<Instant> {
        self.arrivals.last_taken(self.buffer.len())
    }

    /// Drops the bytes that have come.
    pub fn discard(&mut self) {
        self.buffer.clear();
    }

    /// Reads once; returns how many bytes came, zero at the end of the stream.
    ///
    /// Dropping the future loses no bytes: a read takes bytes only when it ends.
    pub async fn fill(&mut self) -> io::Result<usize> {
        let into = (&mut self.buffer, &mut self.arrivals);
        fill(&mut self.stream, into, &mut self.space).await
    }

    /// Returns true if the other side has neither closed nor sent anything unasked.
    pub fn is_quiet(&mut self) -> bool {
        self.buffer.is_empty() && self.fill().now_or_never().is_none()
    }

    /// Returns the bytes of the head of the next request, with the empty line at its end.
    ///
    /// Empty lines before it are passed over, as HTTP asks of servers.
    pub async fn request_head(&mut self, limit: usize) -> Result<Bytes, MessageError> {
        self.head(limit, b"").await
    }

    /// Returns the bytes of the head of the next answer, with the empty line at its end.
    ///
    /// Bytes that cannot begin an answer are refused as they come; waiting for
    /// the end of such a head would last until the deadline.
    pub async fn response_head(&mut self, limit: usize) -> Result<Bytes, MessageError> {
        self.head(limit, ANSWER_START).await
    }

    async fn head(&mut self, limit: usize, start: &[u8]) -> Result<Bytes, MessageError> {
        self.space.truncate(FIRST_READ);
        self.space.shrink_to(FIRST_READ);
        let mut searched = 0;
        loop {
            while start.is_empty() && self.buffer.starts_with(b"\r\n") {
                let _ = self.buffer.split_to(2);
                searched = 0;
            }
            let common = start.len().min(self.buffer.len());
            if self.buffer[..common] != start[..common] {
                return Err(MessageError::Head(HeadError::Malformed));
            }
            let from = searched.min(self.buffer.len());
            if let Some(at) = memmem::find(&self.buffer[from..], HEAD_END) {
                let end = from + at + HEAD_END.len();
                if end > limit {
                    return Err(MessageError::Head(HeadError::TooLarge));
                }
                return Ok(self.buffer.split_to(end).freeze());
            }
            if self.buffer.len() > limit {
                return Err(MessageError::Head(HeadError::TooLarge));
            }
            searched = self.buffer.len().saturating_sub(HEAD_END.len() - 1);
            if self.fill().await.map_err(MessageError::Io)? == 0 {
                return Err(if self.buffer.is_empty() {
                    MessageError::Ended
                } else {
                    MessageError::Cut
                });
            }
        }
    }

    /// Returns the whole body of the message whose head was read last.
    pub async fn body(&mut self, framing: Framing, limit: usize) -> Result<Bytes, BodyError> {
        self.inspect_body(framing, limit, |_| {}).await
    }

    /// Returns the whole body, and shows `see` each piece of it as it comes.
    pub async fn inspect_body(
        &mut self,
        framing: Framing,
        limit: usize,
        mut see: impl FnMut(&[u8]),
    ) -> Result<Bytes, BodyError> {
        if matches!(framing, Framing::Length(length) if length > limit as u64) {
            return Err(BodyError::TooLarge);
        }
        let mut rest = BodyRest::new(framing);
        let mut body = BytesMut::new();
        while let Some(piece) = self.piece(&mut rest).await? {
            if body.len() + piece.len() > limit {
                return Err(BodyError::TooLarge);
            }
            see(&piece);
            body.extend_from_slice(&piece);
        }
        Ok(body.freeze())
    }

    /// Returns the next bytes of a body as they come, or nothing at its end.
    pub async fn piece(&mut self, rest: &mut BodyRest) -> Result<Option<Bytes>, BodyError> {
        match &mut rest.0 {
            Rest::Ended | Rest::Fixed(0) => Ok(None),
            Rest::Fixed(left) => {
                if self.buffer.is_empty() {
                    self.more().await?;
                }
                let here = usize::try_from(*left).unwrap_or(usize::MAX);
                let piece = self.buffer.split_to(here.min(self.buffer.len()));
                *left -= piece.len() as u64;
                Ok(Some(piece.freeze()))
            }
            Rest::Chunked(decoder) => {
                let mut body = BytesMut::new();
                loop {
                    let advanced = decoder.advance(&mut self.buffer, &mut body);
                    let ended = advanced.map_err(|_| BodyError::Malformed)?;
                    if ended || !body.is_empty() {
                        if ended {
                            rest.0 = Rest::Ended;
                        }
                        return Ok((!body.is_empty()).then(|| body.freeze()));
                    }
                    // Only this field is borrowed by the decoder.
                    let into = (&mut self.buffer, &mut self.arrivals);
                    let filled = fill(&mut self.stream, into, &mut self.space).await;
                    if filled.map_err(BodyError::Io)? == 0 {
                        return Err(BodyError::Cut);
                    }
                }
            }
            Rest::UntilClose => {
                if self.buffer.is_empty() && self.fill().await.map_err(BodyError::Io)? == 0 {
                    rest.0 = Rest::Ended;
                    return Ok(None);
                }
                Ok(Some(std::mem::take(&mut self.buffer).freeze()))
            }
        }
    }

    async fn more(&mut self) -> Result<(), BodyError> {
        match self.fill().await.map_err(BodyError::Io)? {
            0 => Err(BodyError::Cut),
            _ => Ok(()),
        }
    }
}

async fn fill(
    stream: &mut OwnedReadHalf<TcpStream>,
    (buffer, arrivals): (&mut BytesMut, &mut Arrivals),
    kept: &mut Vec<u8>,
) -> io::Result<usize> {
    let mut space = std::mem::take(kept);
    if space.is_empty() {
        space.resize(FIRST_READ, 0);
    }
    let (result, mut space) = stream.read(space).await;
    let count = result?;
    arrivals.note(count, buffer.len(), Instant::now());
    buffer.extend_from_slice(&space[..count]);
    if count == space.len() && count < MOST_READ {
        // More has come than was asked for.
        space.resize(count * 4, 0);
    }
    *kept = space;
    Ok(count)
}
