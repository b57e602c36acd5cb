//! Where the clients on this instance and the own upstream bring their requests.

mod admission;
mod answer;
mod answering;
mod caller;
mod connection;
mod exchange;
mod memory;
mod pipeline;
mod reading;
mod request;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use monoio::net::TcpListener;
use sailtrack_kernel::{Phase, Service};
use sailtrack_net::accept::{Bounds, accept};
use sailtrack_units::ServiceName;

use crate::configuration::{ClientLimits, Current, Splitter};
use crate::contexts::Contexts;
use crate::dialect::Dialect;
use crate::dispatch::Dispatcher;
use crate::events::Events;
use crate::freshness::Freshness;
use crate::metrics::Metrics;
use crate::quota::Quotas;
pub(crate) use caller::CredentialError;
pub(crate) use memory::Memory;

/// The most client connections open at once: each has a descriptor, of which an instance has some
/// thousand, and up to some 20 KiB of memory.
const MOST_CONNECTIONS: usize = 1500;
/// From this many on the answer to a request that was refused ends its connection: its client
/// comes back on a new one, and the old one would stand unused until the node takes no more.
const CROWDED: usize = MOST_CONNECTIONS / 2;
/// From this many on every answer does.
const FULL: usize = MOST_CONNECTIONS * 3 / 4;

/// The bounds while there is no configuration.
const FIRST_LIMITS: ClientLimits = ClientLimits {
    head_bytes: 16 * 1024,
    body_bytes: 1024 * 1024,
    head_time: Duration::from_secs(3),
    idle_time: Duration::from_secs(15),
};

/// Where requests come in.
pub(crate) struct Entry {
    pub(crate) dialect: Rc<dyn Dialect>,
    pub(crate) phase: Rc<Cell<Phase>>,
    /// The service beside which requests begin here.
    pub(crate) service: ServiceName,
    pub(crate) current: Rc<Current>,
    pub(crate) splitter: Rc<Splitter>,
    pub(crate) contexts: Rc<Contexts>,
    pub(crate) freshness: Rc<Freshness>,
    pub(crate) quotas: Rc<Quotas>,
    pub(crate) dispatcher: Rc<Dispatcher>,
    pub(crate) events: Rc<Events>,
    pub(crate) metrics: Rc<Metrics>,
    pub(crate) in_flight: Rc<Cell<usize>>,
    pub(crate) memory: Memory,
    /// The bytes of finished answers, most of which wait for those ahead of them,
    pub(crate) pending_response_bytes: Rc<Cell<usize>>,
    /// and from how many on no connection begins a request behind another.
    pub(crate) max_pending_response_bytes: Cell<usize>,
    /// Set once the rest of a planned stop is needed for what is in flight.
    pub(crate) is_closed: Cell<bool>,
    /// The connections of clients that are open.
    pub(crate) connections: Rc<Cell<usize>>,
}

impl Service for Entry {
    const NAME: &'static str = "entry";
}

impl Entry {
    /// Refuses new requests of clients from now on; calls of the own upstream are still taken.
    pub(crate) fn close(&self) {
        self.is_closed.set(true);
    }

    /// Accepts connections for as long as the task lives.
    pub(crate) async fn accept(self: Rc<Self>, listener: TcpListener) {
        let bounds = Bounds {
            port: "entry",
            task: "client connection",
            connections: MOST_CONNECTIONS,
        };
        let serve = |stream| connection::serve(Rc::clone(&self), stream);
        let open = Rc::clone(&self.connections);
        accept(listener, bounds, open, serve).await;
    }

    fn limits(&self) -> ClientLimits {
        let configuration = self.current.get();
        configuration.map_or(FIRST_LIMITS, |configuration| configuration.limits)
    }

    /// Returns true if connections are to end with their next answers.
    fn is_ending(&self) -> bool {
        self.phase.get() > Phase::Serving || self.wants_room(false)
    }

    /// Returns true if a connection is to end with its answer, to make room for others.
    fn wants_room(&self, was_refused: bool) -> bool {
        let open = self.connections.get();
        open >= FULL || (was_refused && open >= CROWDED)
    }
}
