//! The query and command language of operators; see `docs/LANGUAGE.md`.

mod command;
mod condition;
mod parse;
mod subject;

pub use command::{Command, Verdict};
pub use condition::{Comparison, Condition};
pub use parse::{SyntaxError, parse};
pub use subject::Subject;
