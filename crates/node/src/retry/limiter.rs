//! Limits the retries to each service to a ratio of its successful calls.

use std::cell::RefCell;
use std::collections::BTreeMap;

use sailtrack_kernel::Service;
use sailtrack_units::{Rank, Ratio, ServiceName};

/// Capacity of a token bucket, in retries.
const MAX_TOKENS: f64 = 20.0;
/// How many of these the least important calls leave to more important ones.
const RESERVED_TOKENS: f64 = 10.0;

/// Keeps a token bucket for each service: successes add a fraction of a token, each retry takes
/// one.
pub(crate) struct Limiter {
    ratio: Ratio,
    tokens: RefCell<BTreeMap<ServiceName, f64>>,
}

impl Service for Limiter {
    const NAME: &'static str = "retry-ratio";
}

impl Limiter {
    pub(crate) fn new(ratio: Ratio) -> Self {
        Self {
            ratio,
            tokens: RefCell::default(),
        }
    }

    /// Records a success, which adds a fraction of a retry.
    pub(crate) fn record_success(&self, service: &ServiceName) {
        let mut tokens = self.tokens.borrow_mut();
        if let Some(available) = tokens.get_mut(service) {
            *available = (*available + self.ratio.0).min(MAX_TOKENS);
        }
    }

    /// Takes one retry; returns false if only those are left that are reserved for more important
    /// calls.
    pub(crate) fn try_acquire(&self, service: &ServiceName, rank: Rank) -> bool {
        let mut tokens = self.tokens.borrow_mut();
        let available = tokens.entry(service.clone()).or_insert(MAX_TOKENS);
        if *available < 1.0 + reserved(rank) {
            return false;
        }
        *available -= 1.0;
        true
    }
}

/// Returns how many tokens calls of this rank leave to more important ones.
fn reserved(rank: Rank) -> f64 {
    let relative_rank = f64::from(rank.index()) / f64::from(Rank::HIGHEST.index());
    RESERVED_TOKENS * (1.0 - relative_rank)
}
