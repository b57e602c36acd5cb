//! Load balancing: decides which upstream of a service gets a request.
//!
//! The crate does no I/O and reads no clock. Its inputs are measurements taken from answers, with
//! their times; its output is the index of an upstream.

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
