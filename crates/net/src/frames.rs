//! Reads and writes the frames of a connection between two nodes.

use bytes::BytesMut;
use displaydoc::Display;
use futures::StreamExt as _;
use futures::channel::mpsc;
use monoio::io::{AsyncReadRent as _, AsyncWriteRentExt as _, OwnedReadHalf, OwnedWriteHalf};
use monoio::net::TcpStream;
use sailtrack_wire::{Body, Codec, Frame, FrameError, Hello, Member, VERSION};

/// The bytes asked for in one read.
const READ_SIZE: usize = 16 * 1024;
/// Frames are gathered into one write up to this many bytes.
const GATHER_SIZE: usize = 64 * 1024;
/// The most frames that wait to be written.
pub const OUTGOING_CAPACITY: usize = 1024;

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

/// Reads frames.
pub struct FrameReader {
    stream: OwnedReadHalf<TcpStream>,
    codec: Codec,
    buffer: BytesMut,
    space: Vec<u8>,
}

impl FrameReader {
    /// Returns a reader at the start of a connection.
    #[must_use]
    pub fn new(stream: OwnedReadHalf<TcpStream>) -> Self {
        Self {
            stream,
            codec: Codec::default(),
            buffer: BytesMut::new(),
            space: vec![0; READ_SIZE],
        }
    }

    /// Returns the message of the next frame.
    pub async fn next(&mut self) -> Result<Body, ConnectionError> {
        loop {
            let frame = self
                .codec
                .decode(&mut self.buffer)
                .map_err(ConnectionError::Frame)?;
            if let Some(body) = frame.and_then(|frame| frame.body) {
                return Ok(body);
            }
            self.fill().await?;
        }
    }

    /// Returns the hello that must be the first frame.
    pub async fn hello(&mut self) -> Result<Hello, ConnectionError> {
        match self.next().await? {
            Body::Hello(hello) if hello.version == VERSION => Ok(hello),
            Body::Hello(hello) => Err(ConnectionError::Frame(FrameError::Version(hello.version))),
            _ => Err(ConnectionError::Frame(FrameError::NoHello)),
        }
    }

    async fn fill(&mut self) -> Result<(), ConnectionError> {
        let space = std::mem::take(&mut self.space);
        let (result, space) = self.stream.read(space).await;
        let count = result.map_err(ConnectionError::Io)?;
        if count == 0 {
            return Err(ConnectionError::Closed);
        }
        self.buffer.extend_from_slice(&space[..count]);
        self.space = space;
        self.space.resize(READ_SIZE, 0);
        Ok(())
    }
}

/// Writes the frames that come through `outgoing` until it is closed.
pub async fn write_frames(
    mut stream: OwnedWriteHalf<TcpStream>,
    mut outgoing: mpsc::Receiver<Body>,
) -> Result<(), ConnectionError> {
    let mut codec = Codec::default();
    let mut buffer = BytesMut::new();
    while let Some(body) = outgoing.next().await {
        encode(&mut codec, body, &mut buffer)?;
        while buffer.len() < GATHER_SIZE {
            let Ok(body) = outgoing.try_recv() else {
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

/// Returns the first message of a connection.
#[must_use]
pub fn hello(member: Member) -> Body {
    Body::Hello(Hello {
        version: VERSION,
        member: Some(member),
    })
}
