//! Admission levels of the services called by the own upstream, by kind of root request.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Instant;

use sailtrack_kernel::Service;
use sailtrack_units::{KindName, Rank};

use crate::routing::decay::Level;

/// The admission levels that executions in the own upstream met downstream.
#[derive(Default)]
pub(crate) struct Downstream {
    levels: RefCell<HashMap<KindName, Level>>,
}

impl Service for Downstream {
    const NAME: &'static str = "levels-below";
}

impl Downstream {
    /// Records the highest level that an execution met.
    pub(crate) fn record(&self, now: Instant, root_kind: &KindName, level: Rank) {
        let reported = Level::new(level, now);
        let mut levels = self.levels.borrow_mut();
        match levels.get_mut(root_kind) {
            Some(entry) => *entry = reported,
            None => {
                levels.insert(root_kind.clone(), reported);
            }
        }
    }

    /// Returns the rank that a request of this kind needs to be admitted downstream.
    pub(crate) fn level(&self, now: Instant, root_kind: &KindName) -> Rank {
        let levels = self.levels.borrow();
        levels
            .get(root_kind)
            .map_or(Rank::LOWEST, |level| level.at(now))
    }
}
