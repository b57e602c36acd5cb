//! Requests that end the upstreams that run them: how one is known again, what is held against it,
//! and what follows from that.
//!
//! Nothing here knows of networks or reads a clock.

mod familiar;
mod identity;
mod ledger;
mod standing;

pub use identity::{Caller, Hasher, IDENTITY_BYTES, Identity, IdentityError};
pub use ledger::{Crash, Execution, Ledger, Record};
pub use standing::Standing;
