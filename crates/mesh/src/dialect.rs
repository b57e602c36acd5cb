//! What differs between the places where a mesh runs: names and formats.
//!
//! An implementation translates and decides nothing.

use std::net::SocketAddr;
use std::time::Duration;

use displaydoc::Display;
use sailtrack_net::http::Request;
use sailtrack_units::{Pace, ServiceName};

use crate::configuration::Configuration;
use crate::key::UpstreamKey;

/// The names of the header fields that the mesh reads and sets.
#[derive(Debug, Clone, Copy)]
pub struct FieldNames {
    /// Identifies one attempt of a client, on requests and answers.
    pub attempt: &'static str,
    /// How many whole milliseconds the caller still waits.
    pub time_left_ms: &'static str,
    /// The only upstream that may run the request.
    pub expected_upstream: &'static str,
    /// The service of the instance where the request began.
    pub caller: &'static str,
    /// The key of a client's workspace, on requests of clients only.
    pub credential: &'static str,
    /// The name of the workspace on whose behalf a request is made, on requests to upstreams only.
    pub workspace: &'static str,
    /// Present on answers of an upstream that did not run the request.
    pub not_run: &'static str,
    /// Present on answers that an upstream made.
    pub signature: &'static str,
    /// What an upstream says about its load.
    pub load: &'static str,
    /// This life of an upstream, on the answer to the question whether it is healthy.
    pub upstream: &'static str,
}

/// Whether an upstream takes requests, as it says itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Readiness {
    /// It takes requests.
    Ready,
    /// It will end soon and must get nothing new.
    Draining,
}

/// What an upstream says about itself from time to time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// This life of the upstream.
    pub upstream: UpstreamKey,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Where it can be reached.
    pub address: SocketAddr,
    /// Whether it takes requests.
    pub readiness: Readiness,
    /// Grows with each beat, so that a late one can be told.
    pub sequence: u64,
    /// How many requests it works on at once.
    pub slots: u32,
    /// How much longer it is slow after its start.
    pub warm_up: Duration,
}

/// One message of an upstream to its node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Announcement {
    /// It tells its state.
    Heartbeat(Heartbeat),
    /// It leaves and tells nothing more.
    Deregistration(UpstreamKey),
}

/// Why a message of an upstream or a configuration cannot be read.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum DialectError {
    /// there is nothing at this path
    NotFound,
    /// {place}: {reason}
    Malformed {
        /// Where the mistake stands.
        place: String,
        /// What is wrong, and what is allowed.
        reason: String,
    },
}

impl std::error::Error for DialectError {}

/// What an upstream says about its load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// The requests that it works on.
    pub running: u32,
    /// The requests that wait in it.
    pub waiting: u32,
    /// How many it works on at once.
    pub slots: u32,
    /// How long work takes on its instance at this moment, if it tells that.
    pub pace: Option<Pace>,
    /// Whether all that it told could be read.
    pub is_complete: bool,
}

impl Load {
    /// Returns how many requests it works on and holds in its queue.
    #[must_use]
    pub fn requests(&self) -> usize {
        (self.running as usize).saturating_add(self.waiting as usize)
    }
}

/// The names and formats of the place where a mesh runs.
pub trait Dialect {
    /// Returns the names of the header fields.
    fn fields(&self) -> &FieldNames;

    /// Reads a message of an upstream.
    fn announcement(&self, request: &Request) -> Result<Announcement, DialectError>;

    /// Returns the body that acknowledges a message of an upstream.
    fn acknowledgement(&self) -> String;

    /// Returns true if the request asks whether the node is ready.
    fn is_readiness_probe(&self, request: &Request) -> bool;

    /// Reads a configuration.
    fn configuration(&self, text: &str) -> Result<Configuration, DialectError>;

    /// Reads what an upstream says about its load.
    fn load(&self, value: &str) -> Option<Load>;
}
