//! The micro-kernel: a table of services that find each other by name, and the
//! life cycle of the process that holds them, with why it fails.

mod error;
mod life;
mod table;

pub use error::Error;
pub use life::{Draining, Joining, Life, Phase, Serving, Stopped};
pub use table::{Missing, Service, Table};
