//! What every stand-in has in common: its command line, its settings file and its runtime.

mod error;
mod frame;

pub use error::Error;
pub use frame::{Name, run};
