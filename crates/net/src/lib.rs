//! Everything that touches sockets: the runtime, signals, dialing and HTTP/1.1.
//!
//! The HTTP decoder of the library is only met through the bounds in [`http`],
//! which refuse what it would crash or grow on.

pub mod accept;
pub mod dial;
pub mod frames;
pub mod http;
pub mod runtime;
pub mod signal;
pub mod task;
pub mod transparent;
pub mod wakeup;
