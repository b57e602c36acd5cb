//! HTTP/1.1 messages that are passed on as they came.
//!
//! [`crate::http`] holds whole messages of known kinds. Here the fields of a
//! head keep their order and case, bodies may be chunked or end with their
//! connection, and every byte that follows a message is accounted for.

mod arrivals;
mod chunked;
mod fields;
mod framing;
mod head;
mod reader;

pub use fields::{Field, Fields};
pub use framing::{Framing, request_framing, response_framing};
pub use head::{HeadError, RequestHead, ResponseHead};
pub use reader::{BodyError, BodyRest, MessageError, Reader};
