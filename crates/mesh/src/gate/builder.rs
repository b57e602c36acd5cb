//! Builder of the gate.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use sailtrack_admission::{Admission, Throttle, Windows};
use sailtrack_net::task;
use sailtrack_units::ServiceName;

use super::crash::Detector;
use super::kinds::Kinds;
use super::lock::Lock;
use super::pool::Pool;
use super::slots::Slots;
use super::{Gate, Records, Upstream};
use crate::contexts::Contexts;
use crate::dialect::Dialect;
use crate::events::Events;
use crate::memory::Memory;
use crate::metrics::Metrics;
use crate::quarantine::Quarantine;
use crate::suspension;

/// Builds a gate from the services that it uses.
pub(crate) struct Builder {
    gate: Gate,
}

impl Builder {
    /// Creates a builder with the required services.
    pub(crate) fn new(
        service: ServiceName,
        target: SocketAddr,
        dialect: Rc<dyn Dialect>,
        upstream: Rc<Upstream>,
        (quarantine, suspension): (Rc<Quarantine>, Rc<suspension::Detector>),
        memory: Rc<Memory>,
    ) -> Self {
        let rules = crate::node::ADMISSION_CONFIG;
        let (slots, retentions) = Slots::new();
        task::spawn("slot expiry", Rc::clone(&slots).release_expired(retentions));
        let gate = Gate {
            dialect,
            service,
            upstream,
            admission: Rc::new(Admission::new(rules, Instant::now())),
            throttle: Throttle::new(Rc::default()),
            contexts: Rc::default(),
            records: Rc::default(),
            events: Rc::default(),
            metrics: Rc::new(Metrics::new()),
            max_request_time: Cell::default(),
            kinds: Kinds::default(),
            slots,
            pool: Pool::new(target),
            memory,
            detector: Rc::new(Detector::new(target)),
            quarantine,
            suspension,
            trials: Lock::default(),
            in_flight: Rc::default(),
        };
        Self { gate }
    }

    /// Sets the counter of requests that are in flight on this node.
    pub(crate) fn in_flight(mut self, in_flight: Rc<Cell<usize>>) -> Self {
        self.gate.in_flight = in_flight;
        self
    }

    /// Sets the admission control of the local upstream.
    pub(crate) fn admission(mut self, admission: Rc<Admission>, windows: Rc<Windows>) -> Self {
        self.gate.admission = admission;
        self.gate.throttle = Throttle::new(windows);
        self
    }

    /// Sets the tables of running requests and of execution records.
    pub(crate) fn tables(mut self, contexts: Rc<Contexts>, records: Rc<Records>) -> Self {
        self.gate.contexts = contexts;
        self.gate.records = records;
        self
    }

    /// Sets where decisions are logged and counted.
    pub(crate) fn telemetry(mut self, events: Rc<Events>, metrics: Rc<Metrics>) -> Self {
        self.gate.events = events;
        self.gate.metrics = metrics;
        self
    }

    /// Returns the gate.
    pub(crate) fn build(self) -> Gate {
        self.gate
    }
}
