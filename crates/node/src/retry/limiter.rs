//! The share of calls to a service that retries may add.

use std::cell::RefCell;
use std::collections::BTreeMap;

use sailtrack_kernel::Service;
use sailtrack_units::{Ratio, ServiceName};

/// The most retries that can be saved up for one service.
const MAX_TOKENS: f64 = 20.0;

/// A token bucket for each service, filled by successes and emptied by retries.
pub(crate) struct Limiter {
    share: Ratio,
    tokens: RefCell<BTreeMap<ServiceName, f64>>,
}

impl Service for Limiter {
    const NAME: &'static str = "retry-ratio";
}

impl Limiter {
    pub(crate) fn new(share: Ratio) -> Self {
        Self {
            share,
            tokens: RefCell::default(),
        }
    }

    /// Notes a success, which allows for a part of a retry.
    pub(crate) fn note_success(&self, service: &ServiceName) {
        let mut tokens = self.tokens.borrow_mut();
        if let Some(saved) = tokens.get_mut(service) {
            *saved = (*saved + self.share.0).min(MAX_TOKENS);
        }
    }

    /// Takes one retry; returns false if retries have used up their share.
    pub(crate) fn take(&self, service: &ServiceName) -> bool {
        let mut tokens = self.tokens.borrow_mut();
        let saved = tokens.entry(service.clone()).or_insert(MAX_TOKENS);
        if *saved < 1.0 {
            return false;
        }
        *saved -= 1.0;
        true
    }
}
