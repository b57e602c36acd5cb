//! Networking: the runtime, signals, outgoing connections, node-to-node frames and HTTP/1.1.
//!
//! The decoder of `monoio-http` is only used behind the limits of [`http`], which reject input that
//! would make it crash or use memory without bound.

pub mod accept;
pub mod connections;
pub mod dial;
pub mod frames;
pub mod http;
pub mod runtime;
pub mod signal;
pub mod task;
pub mod transparent;
mod turn;
pub mod wakeup;
