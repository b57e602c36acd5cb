//! The rig for tests and trials: it starts the real binaries on loopback
//! addresses, puts faults between them and looks at what becomes of calls.
//!
//! The rig is not a part of the product; only it starts processes.

pub mod capacity;
pub mod demo;
pub mod deployment;
pub mod error;
pub mod experiment;
pub mod hop;
pub mod http;
pub mod model;
pub mod net;
pub mod process;
pub mod relay;
pub mod scenario;
pub mod world;

pub use deployment::Deployment;
pub use error::RigError;
pub use world::World;
