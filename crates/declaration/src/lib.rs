//! Services, request kinds and events as operators declare them.
//!
//! A [`Declaration`] is parsed from INI text, validated, and written back as
//! INI text. Operators keep this text under version control, and nodes pass it
//! on to each other.

mod check;
mod declaration;
mod event;
mod kind;
mod read;
mod service;
mod write;

pub use declaration::Declaration;
pub use event::Event;
pub use kind::{Kind, Repeat, RepeatError, Route, RouteError};
pub use service::{Limit, LimitError, Service};
