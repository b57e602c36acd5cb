//! HTTP/1.1 messages that are forwarded without changing their fields.
//!
//! [`crate::http`] handles complete messages whose form is known. Here the header fields keep their
//! order and case, a body may be chunked or end with the connection, and the bytes that follow a
//! message stay available to the caller.

mod arrivals;
mod chunked;
mod fields;
mod framing;
mod head;
mod reader;

pub use fields::{Field, Fields};
pub use framing::{Framing, request_framing, response_framing};
pub use head::{HeadError, RequestHead, ResponseHead, is_status};
pub use reader::{BodyError, BodyRest, MessageError, Reader};
