//! Reads and writes length-delimited frames on a connection between two nodes.

use bytes::BytesMut;
use displaydoc::Display;
use futures::channel::mpsc;
use futures::stream::{PollNext, select_with_strategy};
use futures::{FutureExt as _, Stream, StreamExt as _};
use monoio::io::{AsyncReadRent as _, AsyncWriteRentExt as _, OwnedReadHalf, OwnedWriteHalf};
use monoio::net::TcpStream;
use sailtrack_wire::{
    Body, Codec, Frame, FrameError, Hello, MAX_FRAME, MAX_HELLO, Member, VERSION,
};

use crate::connections::Registration;
use crate::turn::Turn;

/// The size of one read, in bytes.
const READ_SIZE: usize = 16 * 1024;
/// Frames are batched into one write until it holds this many bytes.
const WRITE_BATCH_SIZE: usize = 64 * 1024;
/// The capacity of the queue of messages to be written.
pub const OUTGOING_CAPACITY: usize = 1024;
/// The capacity of the queue of body parts to be written, beside one for each request.
pub const BULK_CAPACITY: usize = 4;

/// Why a connection between two nodes ended.
#[derive(Debug, Display)]
pub enum ConnectionError {
    /// the other side closed the connection
    Closed,
    /// the connection failed: {0}
    Io(std::io::Error),
    /// {0}
    Frame(FrameError),
    /// the connection could not be opened: {0}
    Dial(crate::dial::DialError),
    /// another node answers at this address: {0}
    UnexpectedPeer(String),
}

impl std::error::Error for ConnectionError {}

/// Reads the frames of one connection.
pub struct FrameReader {
    stream: OwnedReadHalf<TcpStream>,
    codec: Codec,
    buffer: BytesMut,
    read_buffer: Vec<u8>,
    turn: Turn,
    /// What the bytes of incomplete frames count for.
    registration: Option<Registration>,
}

impl FrameReader {
    /// Returns a reader at the start of a connection.
    #[must_use]
    pub fn new(stream: OwnedReadHalf<TcpStream>) -> Self {
        let mut codec = Codec::default();
        codec.set_max_frame(MAX_HELLO);
        Self {
            stream,
            codec,
            buffer: BytesMut::new(),
            read_buffer: vec![0; READ_SIZE],
            turn: Turn::default(),
            registration: None,
        }
    }

    /// Counts what is received for a connection of a port.
    #[must_use]
    pub fn count_for(mut self, registration: Registration) -> Self {
        self.registration = Some(registration);
        self
    }

    /// Returns the message of the next frame.
    pub async fn next(&mut self) -> Result<Body, ConnectionError> {
        loop {
            let frame = self
                .codec
                .decode(&mut self.buffer)
                .map_err(ConnectionError::Frame)?;
            if let Some(body) = frame.and_then(|frame| frame.body) {
                self.record_progress();
                return Ok(body);
            }
            self.fill().await?;
        }
    }

    /// Returns the hello, which must be the first frame and have the protocol version of this node.
    pub async fn hello(&mut self) -> Result<Hello, ConnectionError> {
        match self.next().await? {
            Body::Hello(hello) if hello.version == VERSION => {
                self.codec.set_max_frame(MAX_FRAME);
                Ok(hello)
            }
            Body::Hello(hello) => Err(ConnectionError::Frame(FrameError::Version(hello.version))),
            _ => Err(ConnectionError::Frame(FrameError::NoHello)),
        }
    }

    async fn fill(&mut self) -> Result<(), ConnectionError> {
        let read_buffer = std::mem::take(&mut self.read_buffer);
        let (result, read_buffer) = self.stream.read(read_buffer).await;
        let count = result.map_err(ConnectionError::Io)?;
        if count == 0 {
            return Err(ConnectionError::Closed);
        }
        self.buffer.extend_from_slice(&read_buffer[..count]);
        if let Some(registration) = &self.registration {
            registration.set_input(self.buffer.len());
            registration.wait_for_room().await;
        }
        self.read_buffer = read_buffer;
        self.read_buffer.resize(READ_SIZE, 0);
        self.turn.record_read(count == READ_SIZE).await;
        Ok(())
    }

    /// Records that a frame is complete.
    fn record_progress(&self) {
        if let Some(registration) = &self.registration {
            registration.record_progress();
            registration.set_input(self.buffer.len());
        }
    }
}

/// Returns the messages of two channels; those of `bulk` come only when there are no others.
pub fn prioritize(
    urgent: mpsc::Receiver<Body>,
    bulk: mpsc::Receiver<Body>,
) -> impl Stream<Item = Body> + Unpin {
    select_with_strategy(urgent, bulk, |(): &mut ()| PollNext::Left)
}

/// Writes each message received from `outgoing` as a frame until the channel is closed.
pub async fn write_frames(
    mut stream: OwnedWriteHalf<TcpStream>,
    mut outgoing: impl Stream<Item = Body> + Unpin,
) -> Result<(), ConnectionError> {
    let mut codec = Codec::default();
    let mut buffer = BytesMut::new();
    while let Some(body) = outgoing.next().await {
        encode(&mut codec, body, &mut buffer)?;
        while buffer.len() < WRITE_BATCH_SIZE {
            let Some(Some(body)) = outgoing.next().now_or_never() else {
                break;
            };
            encode(&mut codec, body, &mut buffer)?;
        }
        let (result, written) = stream.write_all(buffer).await;
        result.map_err(ConnectionError::Io)?;
        buffer = written;
        buffer.clear();
    }
    Ok(())
}

fn encode(codec: &mut Codec, body: Body, buffer: &mut BytesMut) -> Result<(), ConnectionError> {
    let frame = Frame { body: Some(body) };
    codec.encode(&frame, buffer).map_err(ConnectionError::Frame)
}

/// Returns the hello that opens a connection, sent by `member`.
#[must_use]
pub fn hello(member: Member) -> Body {
    Body::Hello(Hello {
        version: VERSION,
        member: Some(member),
        hears_overdue: true,
    })
}
