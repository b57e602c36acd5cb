//! Numbered log events with fields, written as JSON lines.
//!
//! [`catalogue::ALL`] lists every event; `docs/EVENTS.md` is checked against it.

pub mod catalogue;
mod output;

pub use catalogue::Entry;
pub use output::{Destination, Field, emit, install, install_to};
