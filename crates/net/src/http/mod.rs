//! HTTP/1.1 through `monoio-http`, with the limits that its decoder lacks.

mod bounded;
mod client;
mod limits;
mod message;
mod reader;
mod server;

pub use client::{ExchangeError, Pool};
pub use limits::Limits;
pub use message::{Request, Response};
pub use server::{Handler, Port, serve};
