//! Length-delimited frames and datagrams of limited size.

use bytes::{Bytes, BytesMut};
use displaydoc::Display;
use prost::Message as _;
use tokio_util::codec::{Decoder as _, Encoder as _, LengthDelimitedCodec};

use crate::generated::{Datagram, Frame};

/// The protocol version, sent in the first frame of a connection.
pub const VERSION: u32 = 1;

/// The maximum size of a frame, in bytes: a request body of 1 MiB and its head.
pub const MAX_FRAME: usize = 1024 * 1024 + 16 * 1024;

/// The maximum size of the first frame of a connection, in bytes: a hello, before which nobody knows
/// who the peer is.
pub const MAX_HELLO: usize = 16 * 1024;

/// The maximum size of a datagram, in bytes, so that it fits into one Ethernet frame.
pub const MAX_DATAGRAM: usize = 1400;

/// Why a frame or datagram was rejected.
#[derive(Debug, Display)]
pub enum FrameError {
    /// the frame exceeds the size limit or its length is corrupt: {0}
    Length(std::io::Error),
    /// the message cannot be decoded: {0}
    Message(prost::DecodeError),
    /// the frame contains no message
    Empty,
    /// the peer uses protocol version {0}, this node uses version 1
    Version(u32),
    /// the first frame is not a hello
    NoHello,
}

impl std::error::Error for FrameError {}

/// Encodes messages as length-delimited frames and decodes them.
#[derive(Debug)]
pub struct Codec {
    delimiter: LengthDelimitedCodec,
}

impl Default for Codec {
    fn default() -> Self {
        let delimiter = LengthDelimitedCodec::builder()
            .max_frame_length(MAX_FRAME)
            .new_codec();
        Self { delimiter }
    }
}

impl Codec {
    /// Accepts frames of up to this many bytes from now on.
    pub fn set_max_frame(&mut self, bytes: usize) {
        self.delimiter.set_max_frame_length(bytes);
    }

    /// Removes and returns the next complete frame of `buffer`, or `None` if more bytes are needed.
    pub fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<Frame>, FrameError> {
        let Some(bytes) = self.delimiter.decode(buffer).map_err(FrameError::Length)? else {
            return Ok(None);
        };
        let frame = Frame::decode(bytes.freeze()).map_err(FrameError::Message)?;
        if frame.body.is_none() {
            return Err(FrameError::Empty);
        }
        Ok(Some(frame))
    }

    /// Appends the encoded `frame` to `buffer`.
    pub fn encode(&mut self, frame: &Frame, buffer: &mut BytesMut) -> Result<(), FrameError> {
        let bytes = Bytes::from(frame.encode_to_vec());
        self.delimiter
            .encode(bytes, buffer)
            .map_err(FrameError::Length)
    }
}

/// Encodes a datagram.
#[must_use]
pub fn encode_datagram(datagram: &Datagram) -> Vec<u8> {
    datagram.encode_to_vec()
}

/// Decodes a datagram.
pub fn decode_datagram(bytes: &[u8]) -> Result<Datagram, FrameError> {
    Datagram::decode(bytes).map_err(FrameError::Message)
}
