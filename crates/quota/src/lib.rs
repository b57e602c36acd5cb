//! Limits of workspaces, kept by all nodes together without a coordinator.
//!
//! What a workspace may ask is a bucket of tokens. Each failure domain has a
//! part of it ([`Parts`]), looked after by one node there, the allocator
//! ([`Allocator`]), from which the other nodes of the domain fetch tokens as
//! they need them ([`Cache`]). A token is in one place at a time: in the
//! allocator's pool, in the cache of one node, or used. The allocator counts what
//! it has handed out as still there until it hears that it is not, and what
//! is in a cache becomes void before the allocator stops counting it. So the sum
//! holds whoever is cut off, lost or restarted, and nobody has to be asked
//! but a node nearby.
//!
//! Nothing here knows a network or reads a clock.

mod allocator;
mod cache;
mod limit;
mod meter;
mod shares;

pub use allocator::{Allocator, Grant, Holder, Want};
pub use cache::{Acquisition, Cache};
pub use limit::{Limit, Tolerance};
pub use shares::{Claim, Domain, Holding, LEASE_DURATION, LEASE_GRACE, Lease, Now, Shares};
