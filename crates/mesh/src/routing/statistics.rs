//! Statistics about the services to which this node sends requests.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use sailtrack_placement::{Latencies, Shortlist};
use sailtrack_units::ServiceName;

/// The most services for which statistics are kept, many times as many as a deployment has.
const MAX_SERVICES: usize = 512;

/// The statistics of one service.
#[derive(Default)]
pub(crate) struct History {
    /// Latencies by kind of request.
    pub(crate) latencies: RefCell<Latencies>,
    /// Upstreams recently selected as the best ones.
    pub(crate) shortlist: Shortlist,
}

/// The statistics of all services.
#[derive(Default)]
pub(crate) struct Statistics {
    services: RefCell<HashMap<ServiceName, Rc<History>>>,
}

impl Statistics {
    /// Returns the statistics of a service, which are created if there are none.
    pub(crate) fn of(&self, service: &ServiceName) -> Rc<History> {
        let mut services = self.services.borrow_mut();
        if let Some(history) = services.get(service) {
            return Rc::clone(history);
        }
        if services.len() >= MAX_SERVICES {
            services.clear();
        }
        let history = Rc::<History>::default();
        services.insert(service.clone(), Rc::clone(&history));
        history
    }
}
