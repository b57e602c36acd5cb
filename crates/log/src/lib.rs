//! Numbered log events with fields, written as JSON lines.
//!
//! [`catalogue::ALL`] lists every event; `docs/EVENTS.md` is checked against it.

mod bounded;
pub mod catalogue;
mod output;

pub use catalogue::Entry;
pub use output::{Destination, Field, emit, finish, install, install_to, set_level};
