//! Identifiers chosen by clients and upstreams.

mod attempt;
#[cfg(test)]
mod tests;
mod upstream;

pub use attempt::AttemptKey;
pub use upstream::{KeyError, UpstreamKey};
