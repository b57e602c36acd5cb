//! Declared events.

use sailtrack_units::{EventName, Period, ServiceName, Timestamp};

/// A planned surge in demand.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Its name, unique in the declaration.
    pub name: EventName,
    /// When the surge starts.
    pub start: Timestamp,
    /// How long the surge lasts.
    pub window: Period,
    /// How long before the start nodes begin to prepare.
    pub prepare: Period,
    /// The services that receive the load.
    pub services: Vec<ServiceName>,
}

impl Event {
    /// Returns the time at which the event ends, which is no longer part of it.
    #[must_use]
    pub fn end(&self) -> Timestamp {
        self.start.after(self.window.0)
    }

    /// Returns true from the start to the end of the event.
    #[must_use]
    pub fn is_active(&self, now: Timestamp) -> bool {
        (self.start..self.end()).contains(&now)
    }

    /// Returns true from the start of the preparation to the end of the event.
    #[must_use]
    pub fn is_preparing_or_active(&self, now: Timestamp) -> bool {
        now.after(self.prepare.0) >= self.start && now < self.end()
    }
}
