//! The declaration of one deployment.

use std::collections::BTreeSet;

use sailtrack_units::{KindName, NodeName, ServiceName};

use crate::event::Event;
use crate::kind::Kind;
use crate::service::{Limit, Service};

/// The services, request kinds and events of one deployment.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Declaration {
    /// The services that nodes run.
    pub services: Vec<Service>,
    /// The kinds of requests.
    pub kinds: Vec<Kind>,
    /// The planned surges in demand.
    pub events: Vec<Event>,
    /// The nodes whose upstreams operators took out of service.
    pub drained: BTreeSet<NodeName>,
}

impl Declaration {
    /// Returns the kind of a request to `service`; the longest matching path prefix wins.
    #[must_use]
    pub fn kind_of(&self, service: &ServiceName, method: &str, path: &str) -> Option<&Kind> {
        self.kinds
            .iter()
            .filter(|kind| kind.service == *service && kind.route.matches(method, path))
            .max_by_key(|kind| kind.route.prefix.len())
    }

    /// Returns the kind of a client's request, whose service isn't known yet; the longest matching
    /// path prefix over all services wins.
    #[must_use]
    pub fn entry_kind(&self, method: &str, path: &str) -> Option<&Kind> {
        self.kinds
            .iter()
            .filter(|kind| kind.route.matches(method, path))
            .max_by_key(|kind| kind.route.prefix.len())
    }

    /// Returns the kind with this name.
    #[must_use]
    pub fn kind(&self, name: &KindName) -> Option<&Kind> {
        self.kinds.iter().find(|kind| kind.name == *name)
    }

    /// Returns the limit declared for a service, `Limit::Auto` if the service is not declared.
    #[must_use]
    pub fn limit(&self, service: &ServiceName) -> Limit {
        let service = self
            .services
            .iter()
            .find(|declared| declared.name == *service);
        service.map_or(Limit::Auto, |service| service.limit)
    }
}
