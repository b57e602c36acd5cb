//! The small test language in which failures are scripted; see `docs/SCENARIOS.md`.

mod check;
mod parse;
mod run;
mod step;

pub use parse::{ParseError, parse};
pub use run::run;
pub use step::{Comparison, Outcome, Step};
