//! Creates the services of a mesh node, installs them in the service table and starts their tasks.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use futures::channel::mpsc;
use monoio::net::TcpListener;
use sailtrack_admission::{Admission, Windows};
use sailtrack_kernel::{Error, Joining, Lifecycle, Missing, Table};
use sailtrack_net::http::{Limits, Port, serve};
use sailtrack_net::task;

use crate::announcement::{Announcements, Endpoint, Rows};
use crate::configuration::{Current, Provider, Splitter};
use crate::contexts::Contexts;
use crate::directory::{Directory, Member, Observer};
use crate::dispatch::Dispatcher;
use crate::entry::{Entry, Lengths, LongAnswers};
use crate::events::Events;
use crate::freshness::Freshness;
use crate::gate::{Builder as GateBuilder, Gate, Records, Upstream};
use crate::gossip::Handler;
use crate::incarnation;
use crate::memory::Memory;
use crate::metrics::Metrics;
use crate::node::{ADMISSION_CONFIG, Environment, store, tasks};
use crate::peer::{Acceptor, Delegate, Peers};
use crate::quarantine::Quarantine;
use crate::quota::{Node as QuotaNode, Quotas};
use crate::ready;
use crate::reload::Reload;
use crate::retired::Retired;
use crate::retry::Budget;
use crate::routing::{Routing, Statistics};
use crate::scrape;
use crate::settings::Settings;
use crate::shutdown::Shutdown;
use crate::status::Status;
use crate::store::{Clock, Reachability};
use crate::suspension;
use crate::watch::Watch;

/// The most nodes with a newer configuration that are queued for a fetch.
const MAX_PROVIDERS: usize = 16;

/// The sockets of a node, all of which are opened before any service starts.
struct Sockets {
    entry: TcpListener,
    peer: TcpListener,
    ready: Port,
    announcements: Port,
    metrics: Option<Port>,
}

/// Installs and starts all services of a node.
pub(super) fn start(
    table: &Rc<Table>,
    settings: &Settings,
    environment: &Environment,
    lifecycle: &Lifecycle<Joining>,
    in_flight: &Rc<Cell<usize>>,
) -> Result<(), Error> {
    let sockets = open(settings)?;
    let (token_requests, token_request_receiver) = mpsc::channel(1);
    install_state(table, settings, environment, lifecycle, token_requests)?;
    let providers = install_network(table, settings)?;
    install_forwarding(table, settings, environment, in_flight)?;
    install_receivers(table, settings, environment, lifecycle, in_flight)?;
    tasks::connect_services(table, settings)?;
    tasks::watch_settings(table)?;
    tasks::start_quotas(table, environment, token_request_receiver)?;
    tasks::ramp_up_after_mass_start(table)?;
    store::start(table, settings, environment)?;
    tasks::start_peer_tasks(table, providers)?;
    start_ports(table, environment, lifecycle, sockets)
}

/// Publishes the status of this node to other nodes immediately.
pub(super) fn publish(table: &Table) -> Result<(), Missing> {
    table.find::<Status>()?.publish();
    Ok(())
}

fn open(settings: &Settings) -> Result<Sockets, Error> {
    let ports = settings.ports;
    let announcements = Port::open("announcements", ports.announcements, Limits::few_callers());
    Ok(Sockets {
        entry: listen("entry", ports.entry)?,
        peer: listen("peer", ports.peer)?,
        ready: Port::open("ready", ports.ready, Limits::few_callers())
            .map_err(|error| port_error("ready", ports.ready, error))?,
        announcements: announcements
            .map_err(|error| port_error("announcements", ports.announcements, error))?,
        metrics: match ports.metrics {
            Some(address) => Some(
                Port::open("metrics", address, Limits::few_callers())
                    .map_err(|error| port_error("metrics", address, error))?,
            ),
            None => None,
        },
    })
}

fn listen(port: &'static str, address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address).map_err(|error| port_error(port, address, error))
}

fn port_error(port: &'static str, address: SocketAddr, error: io::Error) -> Error {
    Error::Port {
        port,
        address,
        error,
    }
}

fn install_state(
    table: &Table,
    settings: &Settings,
    environment: &Environment,
    lifecycle: &Lifecycle<Joining>,
    token_requests: mpsc::Sender<()>,
) -> Result<(), Error> {
    let identity = &settings.identity;
    table.install(Reload::new(settings.clone()));
    table.install(Events::default());
    table.install(Metrics::new());
    table.install(Reachability::default());
    table.install(Retired::default());
    table.install(Contexts::default());
    table.install(Records::new(settings.memory));
    table.install(Memory::new(settings.memory));
    table.install(Shutdown::default());
    table.install(Windows::default());
    table.install(Splitter::default());
    table.install(Budget::new(settings.retry));
    table.install(Admission::new(ADMISSION_CONFIG, Instant::now()));
    table.install(Current::new(Rc::clone(&environment.dialect)));
    table.install(Upstream::new(table.find()?, table.find()?));
    table.install(Directory::new(Member {
        name: identity.name.clone(),
        service: identity.service.clone(),
        domain: identity.domain.clone(),
        address: settings.ports.advertise,
    }));
    table.install(Clock::default());
    table.install(Freshness::new(
        table.find()?,
        table.find()?,
        settings.revoke_time.map(|time| time.0),
    ));
    let incarnation = incarnation::generate();
    table.install(Quotas::new(
        QuotaNode {
            name: identity.name.clone(),
            incarnation,
            domain: identity.domain.clone(),
        },
        settings.quota,
        (table.find()?, table.find()?, table.find()?),
        token_requests,
    ));
    table.install(Status {
        incarnation,
        phase: lifecycle.phase(),
        directory: table.find()?,
        upstream: table.find()?,
        admission: table.find()?,
        current: table.find()?,
        retired: table.find()?,
        reachability: table.find()?,
        freshness: table.find()?,
        clock: table.find()?,
        quota_term: Cell::new(0),
        subscribers: RefCell::default(),
    });
    table.install(Quarantine::new(table.find()?, table.find()?, table.find()?));
    Ok(())
}

fn install_network(table: &Table, settings: &Settings) -> Result<mpsc::Receiver<Provider>, Error> {
    let (providers, receiver) = mpsc::channel(MAX_PROVIDERS);
    let delegate: Rc<dyn Delegate> = Rc::new(Handler {
        directory: table.find()?,
        current: table.find()?,
        retired: table.find()?,
        status: table.find()?,
        quarantine: table.find()?,
        freshness: table.find()?,
        clock: table.find()?,
        providers: RefCell::new(providers),
    });
    let domain = settings.identity.domain.clone();
    let peers = Peers::new(settings.ports.peer.ip(), domain, delegate);
    let peers = table.install(peers);
    table.install(suspension::Detector::new(Rc::clone(&peers)));
    let identity = &settings.identity;
    table.install(Watch::new(
        &identity.name,
        identity.domain.clone(),
        Rc::clone(&peers),
        table.find()?,
    ));
    let observer: Rc<dyn Observer> = peers;
    table.find::<Directory>()?.observe(observer);
    Ok(receiver)
}

/// Installs the services that forward requests to upstreams.
fn install_forwarding(
    table: &Table,
    settings: &Settings,
    environment: &Environment,
    in_flight: &Rc<Cell<usize>>,
) -> Result<(), Error> {
    let identity = &settings.identity;
    let dialect = &environment.dialect;
    let gate = GateBuilder::new(
        identity.service.clone(),
        settings.upstream,
        Rc::clone(dialect),
        table.find()?,
        (table.find()?, table.find()?),
        table.find()?,
    );
    let gate = gate
        .in_flight(Rc::clone(in_flight))
        .admission(table.find()?, table.find()?)
        .tables(table.find()?, table.find()?)
        .telemetry(table.find()?, table.find()?);
    table.install(gate.build());
    let peers: Rc<Peers> = table.find()?;
    table.install(Routing {
        name: identity.name.clone(),
        service: identity.service.clone(),
        local_load: peers.local_load(&identity.service),
        peers,
        upstream: table.find()?,
        admission: table.find()?,
        statistics: Statistics::default(),
        metrics: table.find()?,
    });
    table.install(Dispatcher {
        routing: table.find()?,
        gate: table.find()?,
        budget: table.find()?,
        quarantine: table.find()?,
        suspension: table.find()?,
        directory: table.find()?,
        events: table.find()?,
        metrics: table.find()?,
    });
    Ok(())
}

/// Installs the services that receive requests, messages of other nodes, and announcements of the
/// own upstream.
fn install_receivers(
    table: &Table,
    settings: &Settings,
    environment: &Environment,
    lifecycle: &Lifecycle<Joining>,
    in_flight: &Rc<Cell<usize>>,
) -> Result<(), Error> {
    let identity = &settings.identity;
    let dialect = &environment.dialect;
    table.install(Entry {
        dialect: Rc::clone(dialect),
        phase: lifecycle.phase(),
        service: identity.service.clone(),
        current: table.find()?,
        splitter: table.find()?,
        contexts: table.find()?,
        freshness: table.find()?,
        quotas: table.find()?,
        dispatcher: table.find()?,
        events: table.find()?,
        metrics: table.find()?,
        in_flight: Rc::clone(in_flight),
        memory: table.find()?,
        lengths: Lengths::default(),
        long_answers: LongAnswers::default(),
        shutdown: table.find()?,
        max_pending_response_bytes: Cell::new(settings.pending_response_memory()),
        closing: Rc::default(),
        connections: Entry::registry(settings),
    });
    table.install(Acceptor {
        gate: table.find::<Gate>()?,
        memory: table.find()?,
        upstream: table.find()?,
        status: table.find()?,
        directory: table.find()?,
        retired: table.find()?,
        current: table.find()?,
        quarantine: table.find()?,
        quotas: table.find()?,
        clock: table.find()?,
        shutdown: table.find()?,
        connections: Acceptor::registry(settings),
    });
    table.install(Announcements {
        dialect: Rc::clone(dialect),
        store: Rc::clone(&environment.store),
        upstream: table.find()?,
        retired: table.find()?,
        peers: table.find()?,
        metrics: table.find()?,
        service: identity.service.clone(),
        address: settings.upstream,
        first_start: settings.first_start,
        started: Instant::now(),
        incarnation: table.find::<Status>()?.incarnation,
        current: table.find()?,
        directory: table.find()?,
        is_looking_up: Cell::new(false),
        evidence: RefCell::default(),
        named: RefCell::default(),
        rows: Rows::new(Rc::clone(&environment.store)),
    });
    Ok(())
}

fn start_ports(
    table: &Table,
    environment: &Environment,
    lifecycle: &Lifecycle<Joining>,
    sockets: Sockets,
) -> Result<(), Error> {
    let ready = Rc::new(ready::Endpoint {
        dialect: Rc::clone(&environment.dialect),
        phase: lifecycle.phase(),
        current: table.find()?,
    });
    let announcements = Rc::new(Endpoint(table.find()?));
    if let Some(port) = sockets.metrics {
        let metrics = Rc::new(scrape::Endpoint {
            metrics: table.find()?,
            contexts: table.find()?,
            admission: table.find()?,
            upstream: table.find()?,
            records: table.find()?,
            directory: table.find()?,
            peers: table.find()?,
            current: table.find()?,
            watch: table.find()?,
            quarantine: table.find()?,
            entry: table.find()?,
            memory: table.find()?,
            freshness: table.find()?,
            status: table.find()?,
        });
        task::spawn("metrics port", serve(port, metrics));
    }
    task::spawn("ready port", serve(sockets.ready, ready));
    task::spawn(
        "announcement port",
        serve(sockets.announcements, announcements),
    );
    task::spawn("entry port", table.find::<Entry>()?.accept(sockets.entry));
    task::spawn("peer port", table.find::<Acceptor>()?.accept(sockets.peer));
    Ok(())
}
