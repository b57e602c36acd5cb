//! Reads heads and bodies off a connection, within bounds.

use std::io;

use bytes::{Bytes, BytesMut};
use displaydoc::Display;
use futures::FutureExt as _;
use memchr::memmem;
use monoio::io::{AsyncReadRent as _, OwnedReadHalf};
use monoio::net::TcpStream;

use crate::transparent::chunked::Decoder;
use crate::transparent::framing::Framing;
use crate::transparent::head::HeadError;

/// The bytes asked for in one read; most messages fit into one.
const READ_SIZE: usize = 8 * 1024;
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

/// Reads messages off one connection.
pub struct Reader {
    stream: OwnedReadHalf<TcpStream>,
    buffer: BytesMut,
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
            space: Vec::new(),
        }
    }

    /// Returns how many bytes have come that belong to no message read so far.
    #[must_use]
    pub fn buffered(&self) -> usize {
        self.buffer.len()
    }

    /// Drops the bytes that have come.
    pub fn discard(&mut self) {
        self.buffer.clear();
    }

    /// Reads once; returns how many bytes came, zero at the end of the stream.
    ///
    /// Dropping the future loses no bytes: a read takes bytes only when it ends.
    pub async fn fill(&mut self) -> io::Result<usize> {
        let mut space = std::mem::take(&mut self.space);
        space.resize(READ_SIZE, 0);
        let (result, space) = self.stream.read(space).await;
        let count = result?;
        self.buffer.extend_from_slice(&space[..count]);
        self.space = space;
        Ok(count)
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
        match framing {
            Framing::None => Ok(Bytes::new()),
            Framing::Length(length) => self.fixed(length, limit).await,
            Framing::Chunked => self.chunked(limit).await,
            Framing::UntilClose => self.until_close(limit).await,
        }
    }

    async fn fixed(&mut self, length: u64, limit: usize) -> Result<Bytes, BodyError> {
        let length = usize::try_from(length).unwrap_or(usize::MAX);
        if length > limit {
            return Err(BodyError::TooLarge);
        }
        while self.buffer.len() < length {
            self.more().await?;
        }
        Ok(self.buffer.split_to(length).freeze())
    }

    async fn chunked(&mut self, limit: usize) -> Result<Bytes, BodyError> {
        let mut decoder = Decoder::new();
        let mut body = BytesMut::new();
        loop {
            let advanced = decoder.advance(&mut self.buffer, &mut body);
            let ended = advanced.map_err(|_| BodyError::Malformed)?;
            if body.len() > limit {
                return Err(BodyError::TooLarge);
            }
            if ended {
                return Ok(body.freeze());
            }
            self.more().await?;
        }
    }

    async fn until_close(&mut self, limit: usize) -> Result<Bytes, BodyError> {
        loop {
            if self.buffer.len() > limit {
                return Err(BodyError::TooLarge);
            }
            if self.fill().await.map_err(BodyError::Io)? == 0 {
                return Ok(std::mem::take(&mut self.buffer).freeze());
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
