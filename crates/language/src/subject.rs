//! Subjects of queries and the fields of their rows.

use std::fmt;

/// The subject of a query: what each row of the result describes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Subject {
    /// The declared events.
    Events,
    /// The upstreams with their nodes.
    Upstreams,
    /// The services.
    Services,
    /// The kinds of requests.
    Kinds,
    /// The requests whose outcome is unknown.
    UnknownRequests,
    /// The accepted changes of the configuration.
    History,
    /// The calls that this node served and refused, by kind.
    Calls,
}

impl Subject {
    /// All subjects.
    pub const ALL: [Self; 7] = [
        Self::Events,
        Self::Upstreams,
        Self::Services,
        Self::Kinds,
        Self::UnknownRequests,
        Self::History,
        Self::Calls,
    ];

    /// Returns its keywords in the language.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Events => "events",
            Self::Upstreams => "upstreams",
            Self::Services => "services",
            Self::Kinds => "kinds",
            Self::UnknownRequests => "requests unknown",
            Self::History => "history",
            Self::Calls => "calls",
        }
    }

    /// Returns the names of the fields of each row, in the order of the table's columns.
    #[must_use]
    pub fn fields(self) -> &'static [&'static str] {
        match self {
            Self::Events => &["event", "state", "start", "window", "services"],
            Self::Upstreams => &[
                "node", "service", "domain", "state", "slots", "address", "version",
            ],
            Self::Services => &["service", "limit", "upstreams", "serving", "level"],
            Self::Kinds => &[
                "kind",
                "service",
                "route",
                "repeat",
                "allowance",
                "importance",
                "timeout",
                "objective",
            ],
            Self::UnknownRequests => &["ticket", "request", "kind", "reason", "since", "node"],
            Self::History => &["version", "operator", "command", "at", "summary"],
            Self::Calls => &["kind", "importance", "done", "not-run", "unknown", "shed"],
        }
    }
}

impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
