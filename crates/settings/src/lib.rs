//! Strict reading of INI settings files, with the place of every mistake.
//!
//! A [`Document`] returns typed values and collects every mistake as a [`Problem`] with file, line,
//! section, key and the allowed values, so that all mistakes of a file are reported at once.

mod document;
mod identity;
mod line;
mod problem;
mod section;

pub use document::Document;
pub use identity::Identity;
pub use problem::{Fault, Problem, Problems};
pub use section::Section;
