//! One request on its way through the graph.

use std::time::Instant;

use sailtrack_admission::{Permit, ThrottlePermit, Waiting};
use sailtrack_units::Rank;

/// The place of a request among those that are under way.
pub(crate) type RunId = usize;
/// The place of a client's request among all.
pub(crate) type ClientId = usize;

/// Who made a request.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Maker {
    /// A client.
    Client(ClientId),
    /// An upstream, while it works on another request.
    Run(RunId),
}

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum End {
    /// It ran, and so did all its calls.
    Done,
    /// It has not run.
    Refused,
    /// It ran or may have run, without an answer that its caller can use.
    Failed,
}

/// A client's request over all its tries.
#[derive(Debug, Clone)]
pub(crate) struct Client {
    pub(crate) kind: usize,
    pub(crate) domain: usize,
    pub(crate) first: Instant,
    pub(crate) tries: u32,
}

/// One request under way.
pub(crate) struct Run {
    pub(crate) kind: usize,
    pub(crate) maker: Maker,
    pub(crate) rank: Rank,
    pub(crate) deadline: Instant,
    /// The failure domain that it comes from.
    pub(crate) domain: usize,
    /// The upstreams that refused it.
    pub(crate) refused_by: Vec<usize>,
    /// The upstream that it is at, by its place among all.
    pub(crate) gate: usize,
    pub(crate) permit: Option<Permit>,
    pub(crate) place: Option<ThrottlePermit>,
    pub(crate) waiting: Option<Waiting>,
    pub(crate) entered: Instant,
    /// The time of its own upstream, in seconds.
    pub(crate) own_time: f64,
    pub(crate) light: bool,
    /// How many of its calls have been made.
    pub(crate) calls_made: u32,
    /// The greatest pressure that its calls met.
    pub(crate) below: f64,
    /// A call found no upstream of its service.
    pub(crate) found_nobody: bool,
}
