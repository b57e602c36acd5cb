//! The basis of every sailtrack process: a table in which services find each
//! other by name, the lifecycle of the process, and the errors that end it.

mod error;
mod lifecycle;
mod table;

pub use error::Error;
pub use lifecycle::{Draining, Joining, Lifecycle, Phase, Serving, Stopped};
pub use table::{Missing, Service, Table};
