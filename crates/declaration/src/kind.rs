//! Kinds of requests.

use std::fmt;
use std::str::FromStr;

use displaydoc::Display;
use sailtrack_units::{Allowance, Importance, KindName, Period, Ratio, ServiceName};

/// Whether a request may be retried after an attempt that may have run it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Repeat {
    /// retry
    Retry,
    /// once
    Once,
    /// never
    Never,
}

/// repeat must be one of: retry (may run again), once (one attempt), never (at most once, by ticket)
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub struct RepeatError;

impl std::error::Error for RepeatError {}

impl FromStr for Repeat {
    type Err = RepeatError;

    fn from_str(text: &str) -> Result<Self, RepeatError> {
        match text {
            "retry" => Ok(Self::Retry),
            "once" => Ok(Self::Once),
            "never" => Ok(Self::Never),
            _ => Err(RepeatError),
        }
    }
}

/// The method and path prefix that identify a kind of request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// The HTTP method, in capitals.
    pub method: String,
    /// The prefix of the request's path; it matches whole segments only.
    pub prefix: String,
}

/// a route is a method and a path, such as POST /disbursements
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub struct RouteError;

impl std::error::Error for RouteError {}

impl Route {
    /// Returns true if a request with this method and path matches the route.
    #[must_use]
    pub fn matches(&self, method: &str, path: &str) -> bool {
        let Some(rest) = path.strip_prefix(&self.prefix) else {
            return false;
        };
        let ends_at_segment = rest.is_empty() || rest.starts_with(['/', '?']);
        self.method == method && ends_at_segment
    }
}

impl fmt::Display for Route {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.method, self.prefix)
    }
}

impl FromStr for Route {
    type Err = RouteError;

    fn from_str(text: &str) -> Result<Self, RouteError> {
        let (method, prefix) = text.split_once(' ').ok_or(RouteError)?;
        let is_valid_method = !method.is_empty() && method.chars().all(|c| c.is_ascii_uppercase());
        if !is_valid_method || !prefix.starts_with('/') || prefix.contains(char::is_whitespace) {
            return Err(RouteError);
        }
        Ok(Self {
            method: method.to_owned(),
            prefix: prefix.to_owned(),
        })
    }
}

/// A declared kind of request.
#[derive(Debug, Clone, PartialEq)]
pub struct Kind {
    /// Its name, unique in the declaration.
    pub name: KindName,
    /// The service that runs it.
    pub service: ServiceName,
    /// The method and path prefix of its requests.
    pub route: Route,
    /// Whether its requests may be retried.
    pub repeat: Repeat,
    /// The maximum number of retries that one request may cause in total.
    pub allowance: Allowance,
    /// Its priority: less important requests are shed first.
    pub importance: Importance,
    /// The timeout of requests whose client sets none.
    pub timeout: Period,
    /// The service level objective: the share of requests that should complete during an event.
    pub objective: Ratio,
}
