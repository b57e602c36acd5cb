//! The share of calls to a service that retries may add.

use std::cell::RefCell;
use std::collections::BTreeMap;

use sailtrack_kernel::Service;
use sailtrack_units::{Ratio, ServiceName};

/// The most retries that can be saved up for one service.
const MAX_TOKENS: f64 = 20.0;

/// A token bucket for each service, filled by successes and emptied by retries.
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

    /// Notes a success, which allows for a part of a retry.
    pub(crate) fn record_success(&self, service: &ServiceName) {
        let mut tokens = self.tokens.borrow_mut();
        if let Some(available) = tokens.get_mut(service) {
            *available = (*available + self.ratio.0).min(MAX_TOKENS);
        }
    }

    /// Takes one retry; returns false if retries have used up their share.
    pub(crate) fn try_acquire(&self, service: &ServiceName) -> bool {
        let mut tokens = self.tokens.borrow_mut();
        let available = tokens.entry(service.clone()).or_insert(MAX_TOKENS);
        if *available < 1.0 {
            return false;
        }
        *available -= 1.0;
        true
    }
}
