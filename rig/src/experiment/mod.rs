//! Experiments: a deployment, a demand, a trigger and several policies side by side.

mod capacity;
mod measure;
mod plan;
mod run;
mod table;

pub use measure::Measures;
pub use plan::Plan;
pub use run::run;
