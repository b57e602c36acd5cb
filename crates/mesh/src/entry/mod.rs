//! The entry port: accepts requests of local clients and of the node's own upstream.

mod admission;
mod by_kind;
mod caller;
mod connection;
mod exchange;
mod lengths;
mod long_answers;
mod pipeline;
mod receiver;
mod request;
mod response;
mod sender;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use monoio::net::TcpListener;
use sailtrack_kernel::{Phase, Service};
use sailtrack_net::accept::accept;
use sailtrack_net::connections::{Limits, Registry};
use sailtrack_units::ServiceName;

use crate::configuration::{ClientLimits, Current, Splitter};
use crate::contexts::Contexts;
use crate::dialect::Dialect;
use crate::dispatch::Dispatcher;
use crate::events::Events;
use crate::freshness::Freshness;
use crate::memory::Memory;
use crate::metrics::Metrics;
use crate::quota::Quotas;
use crate::settings::Settings;
use crate::shutdown::Shutdown;
pub(crate) use caller::CredentialError;
pub(crate) use lengths::Lengths;
pub(crate) use long_answers::LongAnswers;

/// Each connection costs a file descriptor, of which an instance has a few thousand, and up to
/// about 20 KiB of memory.
const MAX_CONNECTIONS: usize = 1500;
/// From this number of open connections on, a refused request closes its connection: its client
/// reconnects when it retries, and the old connection would stay idle until no new one can be
/// accepted.
const CLOSE_REFUSED_FROM: usize = MAX_CONNECTIONS / 2;
/// From this number of open connections on, every response closes its connection.
const CLOSE_ALL_FROM: usize = MAX_CONNECTIONS * 3 / 4;

/// Limits in force before the first configuration arrives.
const INITIAL_LIMITS: ClientLimits = ClientLimits {
    head_bytes: 16 * 1024,
    body_bytes: 1024 * 1024,
    head_time: Duration::from_secs(3),
    idle_time: Duration::from_secs(15),
};

/// Accepts requests of clients and of the own upstream and dispatches them.
pub(crate) struct Entry {
    pub(crate) dialect: Rc<dyn Dialect>,
    pub(crate) phase: Rc<Cell<Phase>>,
    /// The service of this node's own upstream.
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
    pub(crate) memory: Rc<Memory>,
    /// The lengths of bodies sent without one, by kind.
    pub(crate) lengths: Lengths,
    /// The kinds behind whose requests none is started.
    pub(crate) long_answers: LongAnswers,
    /// No connection starts another pipelined request while this many bytes of answers are held.
    pub(crate) max_pending_response_bytes: Cell<usize>,
    pub(crate) shutdown: Rc<Shutdown>,
    /// The number of connections that wait for their clients to close them.
    pub(crate) closing: Rc<Cell<usize>>,
    /// The open client connections.
    pub(crate) connections: Rc<Registry>,
}

impl Service for Entry {
    const NAME: &'static str = "entry";
}

impl Entry {
    /// Returns the registry of client connections of a process with these settings.
    pub(crate) fn registry(settings: &Settings) -> Rc<Registry> {
        let limits = Limits {
            connections: MAX_CONNECTIONS,
            bytes: settings.client_memory(),
        };
        Registry::new("entry", limits)
    }

    /// Accepts connections until the task is cancelled.
    pub(crate) async fn accept(self: Rc<Self>, listener: TcpListener) {
        let registry = Rc::clone(&self.connections);
        let serve =
            |stream, registration| connection::serve(Rc::clone(&self), stream, registration);
        accept(listener, "client connection", registry, serve).await;
    }

    fn limits(&self) -> ClientLimits {
        let configuration = self.current.get();
        configuration.map_or(INITIAL_LIMITS, |configuration| configuration.limits)
    }

    /// Returns true if connections close with their next response.
    fn is_closing(&self) -> bool {
        self.phase.get() > Phase::Serving || self.is_crowded(false)
    }

    /// Returns true if a connection closes with this response to free its slot for others.
    fn is_crowded(&self, was_refused: bool) -> bool {
        let open = self.connections.len();
        open >= CLOSE_ALL_FROM || (was_refused && open >= CLOSE_REFUSED_FROM)
    }
}
