//! Where the clients on this instance and the own upstream bring their requests.

mod answer;
mod caller;
mod connection;
mod request;
mod room;

use std::cell::Cell;
use std::rc::Rc;

use monoio::net::TcpListener;
use sailtrack_kernel::{Phase, Service};
use sailtrack_net::accept::{Bounds, accept};
use sailtrack_units::ServiceName;

use crate::configuration::{Current, Splitter};
use crate::contexts::Contexts;
use crate::dialect::Dialect;
use crate::dispatch::Dispatcher;
use crate::events::Events;
use crate::freshness::Freshness;
use crate::metrics::Metrics;
use crate::quota::Quotas;
pub(crate) use caller::KeyRefusal;
pub(crate) use room::Room;

/// The most client connections open at once: each has a descriptor, of which an instance has some
/// thousand, and up to some 20 KiB of memory.
const MOST_CONNECTIONS: usize = 1500;
/// From this many on the answer to a request that was refused ends its connection: its client
/// comes back on a new one, and the old ones stood unused until the node took no more. With a
/// retry storm of 60 refusals a second that was reached in 13 s.
const CROWDED: usize = MOST_CONNECTIONS / 2;
/// From this many on every answer does.
const FULL: usize = MOST_CONNECTIONS * 3 / 4;

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
    pub(crate) room: Room,
    /// Set once the rest of a planned stop is needed for what is in flight.
    pub(crate) closed: Cell<bool>,
    /// The connections of clients that are open.
    pub(crate) connections: Rc<Cell<usize>>,
}

impl Service for Entry {
    const NAME: &'static str = "entry";
}

impl Entry {
    /// Refuses new requests of clients from now on; calls of the own upstream are still taken.
    pub(crate) fn close(&self) {
        self.closed.set(true);
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

    /// Returns true if a connection is to end with its answer, to make room for others.
    fn wants_room(&self, was_refused: bool) -> bool {
        let open = self.connections.get();
        open >= FULL || (was_refused && open >= CROWDED)
    }
}
