//! Reads INI files completely and strictly, and says where each mistake stands.
//!
//! A [`Document`] hands out typed values. Every mistake is collected as a
//! [`Problem`] with file, line, section, key and what is allowed, so that one
//! reading reports all of them.

mod document;
mod identity;
mod line;
mod problem;
mod section;

pub use document::Document;
pub use identity::Identity;
pub use problem::{Fault, Problem, Problems};
pub use section::Section;
