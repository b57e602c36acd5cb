//! Limits of workspaces, kept by all nodes together without a coordinator.
//!
//! What a workspace may ask is a bucket of tokens. Each failure domain has a
//! part of it ([`Parts`]), looked after by one node there, the keeper
//! ([`Keeper`]), from which the other nodes of the domain fetch tokens as
//! they need them ([`Purse`]). A token is in one place at a time: in the
//! keeper's pool, in the purse of one node, or used. The keeper counts what
//! it has handed out as still there until it hears that it is not, and what
//! is in a purse becomes void before the keeper stops counting it. So the sum
//! holds whoever is cut off, lost or restarted, and nobody has to be asked
//! but a node nearby.
//!
//! Nothing here knows a network or reads a clock.

mod keeper;
mod limit;
mod meter;
mod parts;
mod purse;

pub use keeper::{Grant, Holder, Keeper, Want};
pub use limit::{Limit, Tolerance};
pub use parts::{Claim, Domain, LAPSED, LEASE, Lease, Now, Parts};
pub use purse::{Purse, Taken};
