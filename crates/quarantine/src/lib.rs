//! Detection and quarantine of requests that crash the upstreams that run them.
//!
//! Computes request identities, records which requests were in flight at each crash, and derives
//! from that how a request is handled. Does no I/O and reads no clock.

mod identity;
mod ledger;
mod recent;
mod standing;

pub use identity::{Caller, Hasher, IDENTITY_BYTES, Identity, IdentityError};
pub use ledger::{Crash, Execution, Ledger, Record};
pub use standing::Standing;
