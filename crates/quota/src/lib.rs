//! Token buckets, and rate limits of workspaces, enforced by all nodes together without a
//! coordinator.
//!
//! Each workspace has a token bucket. Every failure domain has a share of it
//! ([`Shares`]), managed by one node there, the allocator ([`Allocator`]). The
//! other nodes of the domain fetch tokens from it as needed ([`Cache`]). A token
//! is in one place at a time: in the allocator's pool, in the cache of one node,
//! or used. The allocator counts the tokens it has granted as outstanding until
//! it learns that they are used, and tokens in a cache expire before the
//! allocator stops counting them. So the total stays within the limit through
//! partitions, node losses and restarts, and a decision never needs more than a
//! node in the same domain.
//!
//! Does no I/O and reads no clock.

mod allocator;
mod bucket;
mod cache;
mod limit;
mod meter;
mod shares;

pub use allocator::{Allocator, Grant, Holder, Want};
pub use bucket::Bucket;
pub use cache::{Acquisition, Cache};
pub use limit::{Limit, Tolerance};
pub use shares::{Claim, Domain, Holding, LEASE_DURATION, LEASE_GRACE, Lease, Now, Shares};
