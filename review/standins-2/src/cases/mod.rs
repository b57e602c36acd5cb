//! The cases, each with its own check.

mod broken_stream;
mod ended_body;
mod forgotten_leaving;
mod held_bodies;
mod stalled_stream;

use std::sync::Arc;

use crate::deployment::{Failure, Handler};
use crate::record::Record;

/// How a case ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
}

/// Runs a case, with or without its disruption.
pub fn run(name: &str, trouble: bool, record: &Record) -> Result<Verdict, Failure> {
    match name {
        "broken_stream" => broken_stream::run(trouble, record),
        "ended_body" => ended_body::run(trouble, record),
        "forgotten_leaving" => forgotten_leaving::run(trouble, record),
        "held_bodies" => held_bodies::run(trouble, record),
        "stalled_stream" => stalled_stream::run(trouble, record),
        _ => Err(format!("there is no case {name}").into()),
    }
}

/// Returns the handler of this name for an upstream that is a process of its own.
pub fn handler(name: &str) -> Option<Arc<Handler>> {
    match name {
        "ended_body" => Some(ended_body::handler()),
        _ => None,
    }
}
