//! Who a node is, as its settings say.

use std::fmt;

use sailtrack_units::{DomainName, NodeName, ServiceName};

use crate::section::Section;

/// What a name may be.
const NAME: &str = "a name of a-z, 0-9, '-', '_' and '.'";

/// Who a node is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// Its name, unique among all nodes.
    pub name: NodeName,
    /// The service of the upstream beside it.
    pub service: ServiceName,
    /// The failure domain that it stands in.
    pub domain: DomainName,
}

impl Identity {
    /// Reads the keys `name`, `service` and `domain`, and reports those that are missing.
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
