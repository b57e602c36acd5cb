//! Where requests go and what may be done with them, as operators say.

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

/// The bounds on what a client may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientLimits {
    /// The most bytes of a request line with its fields.
    pub head_bytes: usize,
    /// The most bytes of a body.
    pub body_bytes: usize,
    /// How long a head may take from its first byte to its last.
    pub head_time: Duration,
    /// How long a connection may be unused.
    pub idle_time: Duration,
}

/// What is declared about one service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceRules {
    /// Where its upstreams say whether they are healthy.
    pub health_path: String,
    /// The most connections that one of its upstreams accepts.
    pub connections: usize,
}

/// One version of the whole configuration.
#[derive(Debug, Clone)]
pub struct Configuration {
    /// Its version; a higher one replaces a lower one.
    pub version: ConfigVersion,
    /// The bounds on what a client may send.
    pub limits: ClientLimits,
    /// The workspaces with their keys. Without any, requests need no key.
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

    /// Returns what is declared about a service.
    #[must_use]
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceRules> {
        self.services.get(name)
    }

    /// Returns how many routes there are.
    #[must_use]
    pub fn route_count(&self) -> usize {
        self.hosts.values().map(HashMap::len).sum()
    }

    /// Returns the longest time that any request may take.
    #[must_use]
    pub fn longest_timeout(&self) -> Duration {
        let routes = self.hosts.values().flat_map(HashMap::values);
        let timeouts = routes.map(|route| route.timeout);
        timeouts.max().unwrap_or_default()
    }

    /// Returns the route of a request: the longest prefix that begins its path.
    ///
    /// Each prefix ends with a slash, so only as many are looked up as the path has slashes.
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
