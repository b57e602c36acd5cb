//! A load model for the decisions: a service graph under a clock of its own.
//!
//! It drives the code of admission, windows and breakers that nodes run, over
//! services, upstreams and kinds of requests that are described or drawn at
//! random, and tells what callers get. It models decisions, not machines:
//! nothing is sent, connections and processors cost nothing, and the choice of
//! an upstream is a simple one of its own (two drawn, the emptier one taken).

mod bound;
mod clock;
mod crashes;
mod draw;
mod graph;
mod process;
mod rate;
mod rules;
mod run;
mod tally;

pub use bound::bound;
pub use crashes::{Crashes, Load, play_crashes};
pub use draw::draw;
pub use graph::{Call, Graph, Kind, Service, Trouble, Upstream};
pub use rate::{Keeping, Limited, Usage, play_limited};
pub use rules::{Mechanism, Rules};
pub use run::play;
pub use tally::{GroupTally, Tally};
