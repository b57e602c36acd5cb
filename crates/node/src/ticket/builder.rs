//! Builds the ticket store of one incarnation of a node.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use sailtrack_units::{ByteSize, Clock, Incarnation, NodeName};

use crate::ticket::Tickets;

/// Default lifetime of a ticket.
const DEFAULT_LIFETIME: Duration = Duration::from_mins(5);
/// Default limit on the memory for tickets.
const DEFAULT_MEMORY: ByteSize = ByteSize(16 << 20);

/// Builds the ticket store of one incarnation of a node.
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

    /// Sets the lifetime of a ticket.
    pub(crate) fn lifetime(self, lifetime: Duration) -> Self {
        Self { lifetime, ..self }
    }

    /// Sets the memory limit for recorded tickets and their answers.
    pub(crate) fn memory(self, memory: ByteSize) -> Self {
        Self { memory, ..self }
    }

    /// Returns an empty ticket store.
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
