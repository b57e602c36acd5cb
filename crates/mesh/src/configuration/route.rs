//! One route.

use std::time::Duration;

use sailtrack_declaration::Repeat;
use sailtrack_units::{Importance, KindName, ServiceName};

/// How long a request may take if nothing is declared.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);
/// How many upstreams a request may be sent to if nothing is declared.
const DEFAULT_ATTEMPTS: u32 = 1;

/// The part of a route's requests that goes to one service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Share {
    /// The service.
    pub service: ServiceName,
    /// Its weight among those of all parts.
    pub weight: u32,
}

/// Where the requests under one prefix go, and what may be done with them.
#[derive(Debug, Clone)]
pub struct Route {
    /// Its name, which stands for the kind of its requests.
    pub name: KindName,
    /// What the paths of its requests begin with; begins and ends with a slash.
    pub prefix: String,
    /// Whether its requests need no key of a workspace.
    pub is_public: bool,
    /// Whether its requests may run again.
    pub repeat: Repeat,
    /// How much its requests matter.
    pub importance: Importance,
    /// How long a request may be kept waiting.
    pub timeout: Duration,
    /// The most upstreams to which one request may be sent.
    pub attempts: u32,
    /// The services that share its requests.
    pub split: Vec<Share>,
}

impl Route {
    /// Starts to build a route; nothing may run again unless it is said.
    #[must_use]
    pub fn builder(name: KindName, prefix: impl Into<String>) -> RouteBuilder {
        RouteBuilder(Self {
            name,
            prefix: prefix.into(),
            is_public: false,
            repeat: Repeat::Never,
            importance: Importance::Normal,
            timeout: DEFAULT_TIMEOUT,
            attempts: DEFAULT_ATTEMPTS,
            split: Vec::new(),
        })
    }

    /// Returns true if its requests may run more than once.
    #[must_use]
    pub fn is_idempotent(&self) -> bool {
        self.repeat == Repeat::Retry
    }
}

/// Builds a route.
#[derive(Debug, Clone)]
pub struct RouteBuilder(Route);

impl RouteBuilder {
    /// Lets requests in without the key of a workspace.
    #[must_use]
    pub fn public(mut self, is_public: bool) -> Self {
        self.0.is_public = is_public;
        self
    }

    /// Sets whether requests may run again.
    #[must_use]
    pub fn repeat(mut self, repeat: Repeat) -> Self {
        self.0.repeat = repeat;
        self
    }

    /// Sets how much requests matter.
    #[must_use]
    pub fn importance(mut self, importance: Importance) -> Self {
        self.0.importance = importance;
        self
    }

    /// Sets how long a request may be kept waiting.
    #[must_use]
    pub fn timeout(mut self, timeout: Duration) -> Self {
        self.0.timeout = timeout;
        self
    }

    /// Sets the most upstreams to which one request may be sent.
    #[must_use]
    pub fn attempts(mut self, attempts: u32) -> Self {
        self.0.attempts = attempts;
        self
    }

    /// Adds a service that shares the requests.
    #[must_use]
    pub fn share(mut self, service: ServiceName, weight: u32) -> Self {
        self.0.split.push(Share { service, weight });
        self
    }

    /// Returns the route.
    #[must_use]
    pub fn build(self) -> Route {
        self.0
    }
}
