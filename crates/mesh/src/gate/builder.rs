//! Puts a gate together.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use sailtrack_admission::{Admission, Throttle, Windows};
use sailtrack_net::task;
use sailtrack_units::ServiceName;

use super::crash::Watcher;
use super::kinds::Kinds;
use super::pool::Pool;
use super::room::Room;
use super::single::Single;
use super::{Gate, Records, Upstream};
use crate::contexts::Contexts;
use crate::dialect::Dialect;
use crate::events::Events;
use crate::metrics::Metrics;
use crate::quarantine::Quarantine;
use crate::suspension;

/// Builds a gate from the services that it uses.
pub(crate) struct Builder {
    gate: Gate,
}

impl Builder {
    /// Starts with the services that every gate needs.
    pub(crate) fn new(
        service: ServiceName,
        target: SocketAddr,
        dialect: Rc<dyn Dialect>,
        upstream: Rc<Upstream>,
        (quarantine, suspension): (Rc<Quarantine>, Rc<suspension::Detector>),
    ) -> Self {
        let rules = crate::node::ADMISSION_CONFIG;
        let (room, kept) = Room::new();
        task::spawn("room of the upstream", Rc::clone(&room).free_in_time(kept));
        let gate = Gate {
            dialect,
            service,
            upstream,
            admission: Rc::new(Admission::new(rules, Instant::now())),
            outset: Throttle::new(Rc::default()),
            contexts: Rc::default(),
            records: Rc::default(),
            events: Rc::default(),
            metrics: Rc::new(Metrics::new()),
            longest: Cell::default(),
            kinds: Kinds::default(),
            room,
            pool: Pool::new(target),
            watcher: Watcher::new(target),
            quarantine,
            suspension,
            trials: Single::default(),
            in_flight: Rc::default(),
        };
        Self { gate }
    }

    /// Sets the count of what the node works on.
    pub(crate) fn in_flight(mut self, in_flight: Rc<Cell<usize>>) -> Self {
        self.gate.in_flight = in_flight;
        self
    }

    /// Sets who may enter the upstream.
    pub(crate) fn admission(mut self, admission: Rc<Admission>, windows: Rc<Windows>) -> Self {
        self.gate.admission = admission;
        self.gate.outset = Throttle::new(windows);
        self
    }

    /// Sets what is remembered about requests.
    pub(crate) fn memory(mut self, contexts: Rc<Contexts>, records: Rc<Records>) -> Self {
        self.gate.contexts = contexts;
        self.gate.records = records;
        self
    }

    /// Sets where decisions are logged and counted.
    pub(crate) fn reports(mut self, events: Rc<Events>, metrics: Rc<Metrics>) -> Self {
        self.gate.events = events;
        self.gate.metrics = metrics;
        self
    }

    /// Returns the gate.
    pub(crate) fn build(self) -> Gate {
        self.gate
    }
}
