//! The micro-kernel: a table of services that find each other by name, and the
//! life cycle of the process that holds them, with why it fails.

mod error;
mod lifecycle;
mod table;

pub use error::Error;
pub use lifecycle::{Draining, Joining, Lifecycle, Phase, Serving, Stopped};
pub use table::{Missing, Service, Table};
