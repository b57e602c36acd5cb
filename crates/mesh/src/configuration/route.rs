//! Routes: which services handle the requests under a path prefix.

use std::time::Duration;

use sailtrack_declaration::Repeat;
use sailtrack_units::{Importance, KindName, ServiceName};

/// Timeout of a request unless configured otherwise.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum number of upstreams that a request is sent to unless configured otherwise.
const DEFAULT_ATTEMPTS: u32 = 1;

/// The share of a route's requests that goes to one service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Share {
    /// The service.
    pub service: ServiceName,
    /// Its weight relative to the other shares.
    pub weight: u32,
}

/// The services and the request settings for one path prefix.
#[derive(Debug, Clone)]
pub struct Route {
    /// The name, which is also the kind of its requests.
    pub name: KindName,
    /// The path prefix; starts and ends with a slash.
    pub prefix: String,
    /// Whether its requests need no workspace key.
    pub is_public: bool,
    /// Whether its requests may be executed more than once.
    pub repeat: Repeat,
    /// The importance of its requests.
    pub importance: Importance,
    /// The request timeout.
    pub timeout: Duration,
    /// Maximum number of upstreams that one request is sent to.
    pub attempts: u32,
    /// Whether its answers are expected to be long.
    pub has_long_answers: bool,
    /// The services that handle its requests, with their weights.
    pub split: Vec<Share>,
}

impl Route {
    /// Returns a builder for a route; by default its requests are not repeated.
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
            has_long_answers: false,
            split: Vec::new(),
        })
    }

    /// Returns true if its requests may be executed more than once.
    #[must_use]
    pub fn is_idempotent(&self) -> bool {
        self.repeat == Repeat::Retry
    }
}

/// Builds a route.
#[derive(Debug, Clone)]
pub struct RouteBuilder(Route);

impl RouteBuilder {
    /// Sets whether requests are accepted without a workspace key.
    #[must_use]
    pub fn public(mut self, is_public: bool) -> Self {
        self.0.is_public = is_public;
        self
    }

    /// Sets whether requests may be executed more than once.
    #[must_use]
    pub fn repeat(mut self, repeat: Repeat) -> Self {
        self.0.repeat = repeat;
        self
    }

    /// Sets the importance of requests.
    #[must_use]
    pub fn importance(mut self, importance: Importance) -> Self {
        self.0.importance = importance;
        self
    }

    /// Sets the request timeout.
    #[must_use]
    pub fn timeout(mut self, timeout: Duration) -> Self {
        self.0.timeout = timeout;
        self
    }

    /// Sets the maximum number of upstreams that one request is sent to.
    #[must_use]
    pub fn attempts(mut self, attempts: u32) -> Self {
        self.0.attempts = attempts;
        self
    }

    /// Sets whether long answers are expected.
    #[must_use]
    pub fn long_answers(mut self, has_long_answers: bool) -> Self {
        self.0.has_long_answers = has_long_answers;
        self
    }

    /// Adds a service that handles a share of the requests.
    #[must_use]
    pub fn share(mut self, service: ServiceName, weight: u32) -> Self {
        self.0.split.push(Share { service, weight });
        self
    }

    /// Builds the route.
    #[must_use]
    pub fn build(self) -> Route {
        self.0
    }
}
