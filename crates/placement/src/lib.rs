//! Decides which of a service's upstreams gets a request.
//!
//! Nothing here knows sockets or reads a clock: what was learned from answers
//! goes in with its time, and a place among the upstreams comes out.

mod candidate;
mod choice;
mod decay;

mod average;
mod estimate;
mod latencies;
mod report;
mod speed;
mod spill;

pub use average::Average;
pub use candidate::Candidate;
pub use choice::{Candidates, Locality, Shortlist, choose};
pub use estimate::Estimate;
pub use latencies::{Latencies, Sample};
pub use report::{LoadReport, PaceReport};
pub use speed::Speed;
