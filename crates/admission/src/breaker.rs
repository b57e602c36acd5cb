//! A circuit breaker for each kind of request, opened when a service that the kind calls, directly
//! or through others, has no upstream.
//!
//! While such a service is unreachable, every request that needs it wastes work in all services that
//! it passes and then fails, where an early refusal would let the client retry. The circuit opens
//! after a few such failures in a row. While it is open, one request per `PROBE_INTERVAL` is let
//! through as a probe, so that the kind recovers soon after the service does.

#[cfg(test)]
mod tests;

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::{Duration, Instant};

use sailtrack_units::KindName;

/// The consecutive failures for lack of an upstream that open the circuit. One or two can occur
/// when a node has just left and another one takes over.
const FAILURES_TO_OPEN: u32 = 3;
/// The time between two probes. A probe fails while the service is unreachable: at 20 requests a
/// second at one gate, that is one request in five. The kind recovers at most this long after the
/// service does.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// The circuit of one kind.
#[derive(Debug, Clone, Copy, Default)]
struct Circuit {
    /// Consecutive failures because a called service had no upstream.
    failures: u32,
    next_probe: Option<Instant>,
}

/// The circuit breakers of all kinds of requests that start at this node.
#[derive(Debug, Default)]
pub(crate) struct Breaker {
    circuits: RefCell<HashMap<KindName, Circuit>>,
}

impl Breaker {
    /// Returns true if a request of the kind may start; while the circuit is open, as a probe.
    pub(crate) fn allows(&self, kind: &KindName, now: Instant) -> bool {
        let mut circuits = self.circuits.borrow_mut();
        let Some(circuit) = circuits.get_mut(kind) else {
            return true;
        };
        if circuit.failures < FAILURES_TO_OPEN {
            return true;
        }
        if circuit.next_probe.is_some_and(|next| now < next) {
            return false;
        }
        circuit.next_probe = Some(now + PROBE_INTERVAL);
        true
    }

    /// Records that a request of the kind ended, and whether a called service had no upstream.
    pub(crate) fn record(&self, kind: &KindName, now: Instant, no_upstream: bool) {
        let mut circuits = self.circuits.borrow_mut();
        if !no_upstream {
            circuits.remove(kind);
            return;
        }
        let circuit = circuits.entry(kind.clone()).or_default();
        circuit.failures = circuit.failures.saturating_add(1);
        if circuit.failures == FAILURES_TO_OPEN {
            circuit.next_probe = Some(now + PROBE_INTERVAL);
        }
    }
}
