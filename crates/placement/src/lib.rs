//! Decides which of a service's upstreams gets a request.
//!
//! Nothing here knows sockets or reads a clock: what was learned from answers
//! goes in with its time, and a place among the upstreams comes out.

mod candidate;
mod choice;
mod decay;

mod level;
mod need;
mod news;
mod speed;
mod spill;
mod times;

pub use candidate::Candidate;
pub use choice::{Recent, Side, Sides, choose};
pub use level::Level;
pub use need::Need;
pub use news::{News, PaceNews};
pub use speed::Speed;
pub use times::{Sample, Times};
