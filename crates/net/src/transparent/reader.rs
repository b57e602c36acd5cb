//! Reads the heads and bodies of messages from a connection, within size limits.

use std::io;
use std::time::Instant;

use bytes::{Bytes, BytesMut};
use displaydoc::Display;
use futures::FutureExt as _;
use memchr::memmem;
use monoio::io::{AsyncReadRent as _, OwnedReadHalf};
use monoio::net::TcpStream;

use crate::connections::Registration;
use crate::transparent::arrivals::Arrivals;
use crate::transparent::chunked::Decoder;
use crate::transparent::framing::Framing;
use crate::transparent::head::HeadError;
use crate::turn::Turn;

/// The size of the first read of a message, in bytes; most heads fit into it. An idle connection
/// keeps a buffer of this size: with 8 KiB, a thousand idle clients took up 8 MiB.
const INITIAL_READ_SIZE: usize = 1024;
/// The maximum size of one read, in bytes.
const MAX_READ_SIZE: usize = 16 * 1024;
/// The bytes that every response begins with.
const RESPONSE_PREFIX: &[u8] = b"HTTP/1.";
/// The bytes that end a head: a line break and an empty line.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Why no head could be read.
#[derive(Debug, Display)]
pub enum MessageError {
    /// the connection ended between two messages
    Ended,
    /// the connection ended within the head of a message
    Cut,
    /// the connection failed: {0}
    Io(io::Error),
    /// {0}
    Head(HeadError),
}

impl std::error::Error for MessageError {}

/// Why no complete body could be read.
#[derive(Debug, Display)]
pub enum BodyError {
    /// the connection ended within the body
    Cut,
    /// the connection failed: {0}
    Io(io::Error),
    /// the chunked body is malformed
    Malformed,
    /// the body exceeds the size limit
    TooLarge,
}

impl std::error::Error for BodyError {}

/// The part of a body that has not been read yet.
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
    /// Returns the state of a body of which nothing has been read.
    #[must_use]
    pub fn new(framing: Framing) -> Self {
        Self(match framing {
            Framing::None => Rest::Ended,
            Framing::Length(length) => Rest::Fixed(length),
            Framing::Chunked => Rest::Chunked(Decoder::new()),
            Framing::UntilClose => Rest::UntilClose,
        })
    }

    /// Returns true if the body is known to be complete.
    #[must_use]
    pub fn is_ended(&self) -> bool {
        matches!(self.0, Rest::Ended | Rest::Fixed(0))
    }
}

/// Reads the messages of one connection.
pub struct Reader {
    stream: OwnedReadHalf<TcpStream>,
    buffer: BytesMut,
    arrivals: Arrivals,
    turn: Turn,
    /// The buffer for the next read; empty after a read was dropped before it completed.
    read_buffer: Vec<u8>,
    /// Is told how much memory the buffers take up.
    registration: Option<Registration>,
}

impl Reader {
    /// Returns a reader at the start of a connection.
    #[must_use]
    pub fn new(stream: OwnedReadHalf<TcpStream>) -> Self {
        Self {
            stream,
            buffer: BytesMut::new(),
            arrivals: Arrivals::default(),
            turn: Turn::default(),
            read_buffer: Vec::new(),
            registration: None,
        }
    }

    /// Counts what is received for a connection of a port.
    #[must_use]
    pub fn count_for(mut self, registration: Registration) -> Self {
        self.registration = Some(registration);
        self
    }

    /// Returns the number of bytes that were received but belong to no message read so far.
    #[must_use]
    pub fn buffered(&self) -> usize {
        self.buffer.len()
    }

    /// Returns when the last byte read from the buffer arrived.
    ///
    /// A message may be read from the buffer long after it arrived, and its sender has been waiting
    /// since then.
    #[must_use]
    pub fn last_arrival(&self) -> Option<Instant> {
        self.arrivals.last_consumed(self.buffer.len())
    }

    /// Discards the buffered bytes.
    pub fn discard(&mut self) {
        self.buffer.clear();
        self.record_size();
    }

    /// Releases what was needed to read the last message and not for those that wait.
    pub fn shrink(&mut self) {
        self.read_buffer.truncate(INITIAL_READ_SIZE);
        self.read_buffer.shrink_to(INITIAL_READ_SIZE);
        if self.buffer.is_empty() && self.buffer.capacity() > MAX_READ_SIZE {
            self.buffer = BytesMut::new();
        }
        self.record_size();
    }

    /// Records how much memory the buffers take up, beyond that of a connection without input.
    fn record_size(&self) {
        if let Some(registration) = &self.registration {
            let reading = self.read_buffer.len().saturating_sub(INITIAL_READ_SIZE);
            registration.set_input(self.buffer.len() + reading);
        }
    }

    /// Reads once; returns the number of bytes received, zero at the end of the stream.
    ///
    /// Cancel-safe: a read consumes bytes only when it completes.
    pub async fn fill(&mut self) -> io::Result<usize> {
        let mut read_buffer = std::mem::take(&mut self.read_buffer);
        if read_buffer.is_empty() {
            read_buffer.resize(INITIAL_READ_SIZE, 0);
        }
        let (result, mut read_buffer) = self.stream.read(read_buffer).await;
        let count = result?;
        self.arrivals
            .record(count, self.buffer.len(), Instant::now());
        self.buffer.extend_from_slice(&read_buffer[..count]);
        let was_full = count == read_buffer.len();
        if was_full && count < MAX_READ_SIZE {
            // The read filled the buffer, so more bytes may be waiting.
            read_buffer.resize(count * 4, 0);
        }
        self.read_buffer = read_buffer;
        self.record_size();
        if let Some(registration) = &self.registration {
            registration.wait_for_room().await;
        }
        if count > 0 {
            self.turn.record_read(was_full).await;
        }
        Ok(count)
    }

    /// Returns true if the peer has neither closed the connection nor sent unsolicited data.
    pub fn is_quiet(&mut self) -> bool {
        // A read may have completed although the future has not.
        self.buffer.is_empty() && self.fill().now_or_never().is_none() && self.buffer.is_empty()
    }

    /// Returns the bytes of the head of the next request, including the empty line at its end.
    ///
    /// Skips empty lines before the request line, as HTTP recommends for servers.
    pub async fn request_head(&mut self, limit: usize) -> Result<Bytes, MessageError> {
        self.head(limit, b"").await
    }

    /// Returns the bytes of the head of the next response, including the empty line at its end.
    ///
    /// Bytes that cannot begin a response are rejected as soon as they arrive, since waiting for
    /// the end of the head would last until the deadline.
    pub async fn response_head(&mut self, limit: usize) -> Result<Bytes, MessageError> {
        self.head(limit, RESPONSE_PREFIX).await
    }

    async fn head(&mut self, limit: usize, start: &[u8]) -> Result<Bytes, MessageError> {
        self.shrink();
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
                let head = self.buffer.split_to(end).freeze();
                self.record_size();
                return Ok(head);
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

    /// Returns the complete body of the message whose head was read last.
    pub async fn body(&mut self, framing: Framing, limit: usize) -> Result<Bytes, BodyError> {
        self.inspect_body(framing, limit, |_| {}).await
    }

    /// Returns the complete body and calls `inspect` with each piece of it as it arrives.
    pub async fn inspect_body(
        &mut self,
        framing: Framing,
        limit: usize,
        mut inspect: impl FnMut(&[u8]),
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
            inspect(&piece);
            body.extend_from_slice(&piece);
        }
        Ok(body.freeze())
    }

    /// Reads the body of the message whose head was read last, and keeps none of it.
    pub async fn skip_body(&mut self, framing: Framing, limit: usize) -> Result<(), BodyError> {
        if matches!(framing, Framing::Length(length) if length > limit as u64) {
            return Err(BodyError::TooLarge);
        }
        let mut rest = BodyRest::new(framing);
        let mut skipped = 0;
        while let Some(piece) = self.piece(&mut rest).await? {
            skipped += piece.len();
            if skipped > limit {
                return Err(BodyError::TooLarge);
            }
        }
        Ok(())
    }

    /// Returns the next bytes of a body as they arrive, or `None` at its end.
    pub async fn piece(&mut self, rest: &mut BodyRest) -> Result<Option<Bytes>, BodyError> {
        match &mut rest.0 {
            Rest::Ended | Rest::Fixed(0) => Ok(None),
            Rest::Fixed(left) => {
                if self.buffer.is_empty() {
                    self.fill_body().await?;
                }
                let count = usize::try_from(*left).unwrap_or(usize::MAX);
                let piece = self.buffer.split_to(count.min(self.buffer.len()));
                *left -= piece.len() as u64;
                self.record_size();
                Ok(Some(piece.freeze()))
            }
            Rest::Chunked(decoder) => {
                let mut body = BytesMut::new();
                loop {
                    let advanced = decoder.advance(&mut self.buffer, &mut body);
                    let ended = advanced.map_err(|_| BodyError::Malformed)?;
                    self.record_size();
                    if ended || !body.is_empty() {
                        if ended {
                            rest.0 = Rest::Ended;
                        }
                        return Ok((!body.is_empty()).then(|| body.freeze()));
                    }
                    self.fill_body().await?;
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

    async fn fill_body(&mut self) -> Result<(), BodyError> {
        match self.fill().await.map_err(BodyError::Io)? {
            0 => Err(BodyError::Cut),
            _ => Ok(()),
        }
    }
}
