//! Makes the tickets of one incarnation of a node.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use sailtrack_units::{ByteSize, Clock, Incarnation, NodeName};

use crate::ticket::Tickets;

/// How long a ticket can be used if nothing is said.
const DEFAULT_LIFETIME: Duration = Duration::from_mins(5);
/// The most memory for tickets if nothing is said.
const DEFAULT_MEMORY: ByteSize = ByteSize(16 << 20);

/// Makes the tickets of one incarnation of a node.
pub(crate) struct Builder {
    home: NodeName,
    incarnation: Incarnation,
    lifetime: Duration,
    memory: ByteSize,
}

impl Builder {
    pub(super) fn new(home: NodeName, incarnation: Incarnation) -> Self {
        Self {
            home,
            incarnation,
            lifetime: DEFAULT_LIFETIME,
            memory: DEFAULT_MEMORY,
        }
    }

    /// Sets how long a ticket can be used.
    pub(crate) fn lifetime(self, lifetime: Duration) -> Self {
        Self { lifetime, ..self }
    }

    /// Sets the most memory for remembered tickets and their answers.
    pub(crate) fn memory(self, memory: ByteSize) -> Self {
        Self { memory, ..self }
    }

    /// Returns the tickets, none of which is known yet.
    pub(crate) fn build(self) -> Tickets {
        Tickets {
            home: self.home,
            incarnation: self.incarnation,
            lifetime: self.lifetime,
            memory: self.memory,
            clock: Clock::default(),
            records: RefCell::default(),
            by_arrival: RefCell::default(),
            used_bytes: Cell::new(0),
            archive: RefCell::default(),
        }
    }
}
