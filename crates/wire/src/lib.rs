//! The protocol between nodes: Protocol Buffers messages in length-delimited frames over TCP, and
//! one message per datagram over UDP.

mod convert;
mod frame;
#[allow(missing_docs, clippy::pedantic)]
#[rustfmt::skip]
mod generated;

pub use convert::WireError;
pub use frame::{
    Codec, FrameError, MAX_DATAGRAM, MAX_FRAME, MAX_HELLO, VERSION, decode_datagram,
    encode_datagram,
};
pub use generated::frame::Body;
pub use generated::{
    Answer, Call, Cancel, Chunk, Config, Datagram, Demands, Evidence, Fetch, Forward, Frame, Grant,
    Handover, Held, Hello, Kept, Leaving, Member, Outcome, Ping, Pong, Presence, Purpose, Ran,
    RateLimit, Reason, Recall, Reply, Retire, Retired, State, Ticket, TokenAnswer, TokenGrant,
    TokenQuestion, TokenWant,
};
