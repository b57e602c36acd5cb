//! The identity of a node, as given in its settings.

use std::fmt;

use sailtrack_units::{DomainName, NodeName, ServiceName};

use crate::section::Section;

/// The allowed names, for messages.
const NAME: &str = "a name of a-z, 0-9, '-', '_' and '.'";

/// The identity of a node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// Its name, unique among all nodes.
    pub name: NodeName,
    /// The service of its local upstream.
    pub service: ServiceName,
    /// The failure domain that it belongs to.
    pub domain: DomainName,
}

impl Identity {
    /// Reads the keys `name`, `service` and `domain`; reports those that are missing or invalid.
    #[must_use]
    pub fn read(section: &Section<'_>) -> Option<Self> {
        let name = section.required("name", NAME);
        let service = section.required("service", NAME);
        let domain = section.required("domain", NAME);
        Some(Self {
            name: name?,
            service: service?,
            domain: domain?,
        })
    }
}

impl fmt::Display for Identity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({} in {})", self.name, self.service, self.domain)
    }
}
