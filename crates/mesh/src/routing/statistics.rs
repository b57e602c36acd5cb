//! What a node has learned about the services that it sends requests to.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use sailtrack_placement::{Latencies, Shortlist};
use sailtrack_units::ServiceName;

/// The most services of which something is remembered, many times those of a deployment.
const MOST_SERVICES: usize = 512;

/// What is known of one service.
#[derive(Default)]
pub(crate) struct History {
    /// How long its answers take, by kind.
    pub(crate) times: RefCell<Latencies>,
    /// Which of its upstreams were the best lately.
    pub(crate) recent: Shortlist,
}

/// What is known of the services.
#[derive(Default)]
pub(crate) struct Statistics {
    services: RefCell<HashMap<ServiceName, Rc<History>>>,
}

impl Statistics {
    /// Returns what is known of a service.
    pub(crate) fn of(&self, service: &ServiceName) -> Rc<History> {
        let mut services = self.services.borrow_mut();
        if let Some(history) = services.get(service) {
            return Rc::clone(history);
        }
        if services.len() >= MOST_SERVICES {
            services.clear();
        }
        let history = Rc::<History>::default();
        services.insert(service.clone(), Rc::clone(&history));
        history
    }
}
