//! Stand-ins for the review's cases: the platform's store, backends and clients, and a launcher for
//! the nodes. They run in threads and listen on loopback addresses of their own.

pub mod backend;
pub mod client;
pub mod deployment;
pub mod http;
pub mod node;
pub mod proxy;
pub mod record;
pub mod settings;
pub mod store;

use std::net::Ipv4Addr;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

static NEXT_ADDRESS: AtomicU8 = AtomicU8::new(1);

/// Returns a loopback address that nothing else in this run uses.
pub fn own_address() -> Ipv4Addr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let last = NEXT_ADDRESS.fetch_add(1, Ordering::Relaxed);
    assert!(last < u8::MAX, "too many addresses");
    Ipv4Addr::new(127, 128 | (high & 63), low, last)
}

/// Waits until `condition` holds; returns false after `limit`.
pub fn wait_until(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let began = Instant::now();
    while !condition() {
        if began.elapsed() > limit {
            return false;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    true
}

/// The exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;
