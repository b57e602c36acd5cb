//! Configuration of the operators: routes, services, workspaces and limits.

mod current;
mod fetch;
mod route;
mod split;
mod workspace;

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use sailtrack_units::{ConfigVersion, ServiceName};

pub(crate) use current::{Current, Source};
pub(crate) use fetch::{Fetcher, Provider};
pub use route::{Route, RouteBuilder, Share};
pub(crate) use split::Splitter;
pub use workspace::{Credential, Workspace, WorkspaceError, Workspaces};

/// Limits on the requests and connections of clients.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientLimits {
    /// Maximum size of a request head: the request line and the header fields.
    pub head_bytes: usize,
    /// Maximum size of a request body.
    pub body_bytes: usize,
    /// Timeout for a request head, from its first byte to its last.
    pub head_time: Duration,
    /// Timeout for an idle connection.
    pub idle_time: Duration,
}

/// Settings of one service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceRules {
    /// Path of the health check of its upstreams.
    pub health_path: String,
    /// Maximum number of connections that one of its upstreams accepts.
    pub connections: usize,
}

/// One version of the complete configuration.
#[derive(Debug, Clone)]
pub struct Configuration {
    /// The version; a higher one replaces a lower one.
    pub version: ConfigVersion,
    /// Limits on the requests and connections of clients.
    pub limits: ClientLimits,
    /// The workspaces with their keys. If `None`, requests need no key.
    pub workspaces: Option<Workspaces>,
    hosts: HashMap<String, HashMap<String, Rc<Route>>>,
    services: HashMap<ServiceName, ServiceRules>,
}

impl Configuration {
    /// Returns a configuration without routes.
    #[must_use]
    pub fn new(version: ConfigVersion, limits: ClientLimits) -> Self {
        Self {
            version,
            limits,
            workspaces: None,
            hosts: HashMap::new(),
            services: HashMap::new(),
        }
    }

    /// Adds a route for requests to `host`.
    pub fn add_route(&mut self, host: &str, route: Route) {
        let routes = self.hosts.entry(host.to_ascii_lowercase()).or_default();
        routes.insert(route.prefix.clone(), Rc::new(route));
    }

    /// Adds a service.
    pub fn add_service(&mut self, name: ServiceName, rules: ServiceRules) {
        self.services.insert(name, rules);
    }

    /// Returns the settings of a service.
    #[must_use]
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceRules> {
        self.services.get(name)
    }

    /// Returns the number of routes.
    #[must_use]
    pub fn route_count(&self) -> usize {
        self.hosts.values().map(HashMap::len).sum()
    }

    /// Returns the longest request timeout of all routes.
    #[must_use]
    pub fn longest_timeout(&self) -> Duration {
        let routes = self.hosts.values().flat_map(HashMap::values);
        let timeouts = routes.map(|route| route.timeout);
        timeouts.max().unwrap_or_default()
    }

    /// Returns the route of a request: the one with the longest prefix of its path.
    ///
    /// Prefixes end with a slash, so there is one lookup per slash in the path.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let routes = match self.hosts.get(host) {
            Some(routes) => routes,
            None => self.hosts.get(&host.to_ascii_lowercase())?,
        };
        let mut rest = path;
        while let Some(slash) = rest.rfind('/') {
            if let Some(route) = routes.get(&rest[..=slash]) {
                return Some(route);
            }
            rest = &rest[..slash];
        }
        None
    }
}
