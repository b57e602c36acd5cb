//! Creates the services of a node, installs them in the table and starts their tasks.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use futures::channel::mpsc;
use monoio::net::TcpListener;
use monoio::net::udp::UdpSocket;
use rand::Rng as _;
use sailtrack_kernel::{Error, Joining, Lifecycle, Table};
use sailtrack_net::http::{Limits, Port, serve};
use sailtrack_net::task;
use sailtrack_units::{Incarnation, Timestamp};
use sailtrack_wire::{Member, State};

use crate::accountant::Accountant;
use crate::burn::Burn;
use crate::configuration::{Acceptor as ConfigAcceptor, Configuration, Fetcher};
use crate::context::Contexts;
use crate::dispatch::Dispatcher;
use crate::execute::Executor;
use crate::membership::{Gossip, Membership};
use crate::metrics::Metrics;
use crate::node::maintenance::Maintenance;
use crate::operator::Operator;
use crate::peer::{Acceptor as PeerAcceptor, Peers};
use crate::platform::Platform;
use crate::port::{ClientPort, LocalPort, OperatorPort};
use crate::retry::Limiter;
use crate::routing::{Downstream, Routing};
use crate::settings::Settings;
use crate::ticket::Tickets;
use crate::unknown::Unknowns;
use crate::upstream::Upstream;
use sailtrack_admission::{Admission, Windows};

/// Number of reported newer versions that may wait to be fetched.
const NEWER_VERSIONS_CAPACITY: usize = 4;
/// Number of random bits in an incarnation number.
const INCARNATION_RANDOM_BITS: u32 = 12;

/// The sockets of a node, all opened before any task starts.
struct Sockets {
    client: Port,
    local: Port,
    operator: Port,
    peer: TcpListener,
    gossip: UdpSocket,
}

/// Starts all services of a node.
pub(crate) fn start(
    table: &Rc<Table>,
    settings: &Settings,
    lifecycle: &Lifecycle<Joining>,
    in_flight: &Rc<Cell<usize>>,
) -> Result<(), Error> {
    let sockets = open(settings)?;
    install_state(table, settings);
    let Sockets {
        client,
        local,
        operator,
        peer,
        gossip,
    } = sockets;
    install_network(table, settings, gossip)?;
    install_decisions(table, settings, lifecycle, in_flight)?;
    start_peer_tasks(table, settings, peer)?;
    start_ports(
        table,
        settings,
        lifecycle,
        in_flight,
        [client, local, operator],
    )
}

fn open(settings: &Settings) -> Result<Sockets, Error> {
    let ports = settings.ports;
    Ok(Sockets {
        client: open_port("client", ports.client)?,
        local: open_port("local", ports.local)?,
        operator: open_port("operator", ports.operator)?,
        peer: TcpListener::bind(ports.peer)
            .map_err(|error| port_error("peer", ports.peer, error))?,
        gossip: UdpSocket::bind(ports.peer)
            .map_err(|error| port_error("peer", ports.peer, error))?,
    })
}

fn open_port(name: &'static str, address: SocketAddr) -> Result<Port, Error> {
    Port::open(name, address, Limits::server()).map_err(|error| port_error(name, address, error))
}

fn port_error(port: &'static str, address: SocketAddr, error: std::io::Error) -> Error {
    Error::Port {
        port,
        address,
        error,
    }
}

/// Returns an incarnation number that is higher than that of any earlier incarnation.
fn new_incarnation() -> Incarnation {
    let random = rand::rng().random_range(0..1 << INCARNATION_RANDOM_BITS);
    Incarnation(Timestamp::now().0 << INCARNATION_RANDOM_BITS | random)
}

fn install_state(table: &Table, settings: &Settings) {
    let identity = &settings.identity;
    let tuning = settings.tuning;
    let incarnation = new_incarnation();
    table.install(Metrics::new());
    table.install(Burn::default());
    table.install(Configuration::new());
    table.install(Contexts::default());
    table.install(Upstream::default());
    table.install(Downstream::default());
    table.install(Windows::default());
    table.install(Admission::new(tuning.admission, Instant::now()));
    table.install(Limiter::new(tuning.retry_ratio));
    table.install(Unknowns::new(identity.name.clone()));
    table.install(Platform::new(
        settings.platform.address,
        settings.ports.peer.ip(),
    ));
    let tickets = Tickets::builder(identity.name.clone(), incarnation)
        .lifetime(tuning.ticket_lifetime.0)
        .memory(tuning.ticket_memory);
    table.install(tickets.build());
    table.install(Membership::new(Member {
        node: identity.name.to_string(),
        incarnation: incarnation.0,
        revision: 0,
        service: identity.service.to_string(),
        domain: identity.domain.to_string(),
        address: settings.ports.advertise.to_string(),
        state: State::Joining.into(),
        slots: 0,
        demands: None,
    }));
}

fn install_network(table: &Table, settings: &Settings, socket: UdpSocket) -> Result<(), Error> {
    let membership = table.find::<Membership>()?;
    let metrics = table.find::<Metrics>()?;
    table.install(Peers::new(
        settings.ports.peer.ip(),
        Rc::clone(&membership),
        Rc::clone(&metrics),
    ));
    table.install(Gossip::new(
        settings.detector,
        socket,
        membership,
        table.find()?,
        metrics,
    ));
    table.install(ConfigAcceptor {
        configuration: table.find()?,
        platform: table.find()?,
    });
    Ok(())
}

fn install_decisions(
    table: &Table,
    settings: &Settings,
    lifecycle: &Lifecycle<Joining>,
    in_flight: &Rc<Cell<usize>>,
) -> Result<(), Error> {
    let policy = settings.tuning.admission.policy;
    table.install(Executor {
        policy,
        phase: lifecycle.phase(),
        admission: table.find()?,
        windows: table.find()?,
        downstream: table.find()?,
        upstream: table.find()?,
        contexts: table.find()?,
        tickets: table.find()?,
        metrics: table.find()?,
        in_flight: Rc::clone(in_flight),
        last_draining_refusal: Cell::default(),
    });
    table.install(Routing {
        policy,
        identity: settings.identity.clone(),
        membership: table.find()?,
        configuration: table.find()?,
        admission: table.find()?,
        upstream: table.find()?,
        downstream: table.find()?,
        loads: RefCell::default(),
    });
    table.install(Dispatcher {
        policy,
        identity: settings.identity.clone(),
        membership: table.find()?,
        routing: table.find()?,
        peers: table.find()?,
        executor: table.find()?,
        retry_limiter: table.find()?,
        tickets: table.find()?,
        unknowns: table.find()?,
        metrics: table.find()?,
        burn: table.find()?,
    });
    table.install(Accountant::new(table.find()?, table.find()?, table.find()?));
    table.install(PeerAcceptor {
        membership: table.find()?,
        configuration: table.find()?,
        executor: table.find()?,
        accountant: table.find()?,
        tickets: table.find()?,
    });
    table.install(Maintenance {
        identity: settings.identity.clone(),
        phase: lifecycle.phase(),
        renew: settings.platform.renew.0,
        advertise: settings.ports.advertise,
        seeds: settings.seeds.clone(),
        configuration: table.find()?,
        platform: table.find()?,
        membership: table.find()?,
        gossip: table.find()?,
        peers: table.find()?,
        admission: table.find()?,
        upstream: table.find()?,
        unknowns: table.find()?,
    });
    Ok(())
}

fn start_peer_tasks(
    table: &Rc<Table>,
    settings: &Settings,
    listener: TcpListener,
) -> Result<(), Error> {
    let gossip = table.find::<Gossip>()?;
    let peers = table.find::<Peers>()?;
    task::spawn("peer port", table.find::<PeerAcceptor>()?.accept(listener));
    task::spawn("gossip", Rc::clone(&gossip).receive());
    let links = Rc::clone(&peers);
    let probe = Rc::clone(&gossip).probe(move |peer| links.disconnect(&peer.name));
    task::spawn("probe", probe);
    start_configuration_tasks(table, settings, gossip, peers)?;
    let maintenance = table.find::<Maintenance>()?;
    task::spawn("refresh", Rc::clone(&maintenance).run_refresh());
    task::spawn("renewal", Rc::clone(&maintenance).run_renewal());
    task::spawn("discovery", Rc::clone(&maintenance).run_discovery());
    task::spawn("seeds", Rc::clone(&maintenance).run_seed_pings());
    task::spawn(
        "preparation",
        Rc::clone(&maintenance).run_event_preparation(),
    );
    task::spawn("unknown outcomes", maintenance.run_unknown_saving());
    Ok(())
}

fn start_configuration_tasks(
    table: &Table,
    settings: &Settings,
    gossip: Rc<Gossip>,
    peers: Rc<Peers>,
) -> Result<(), Error> {
    let configuration = table.find::<Configuration>()?;
    let (sender, newer_versions) = mpsc::channel(NEWER_VERSIONS_CAPACITY);
    configuration.send_newer_to(sender);
    let admission = table.find::<Admission>()?;
    let upstream = table.find::<Upstream>()?;
    let identity = settings.identity.clone();
    configuration.on_change(move |version| {
        let declaration = &version.declaration;
        admission.declare_limit(declaration.limit(&identity.service));
        upstream.set_drained(declaration.drained.contains(&identity.name));
    });
    let fetcher = Rc::new(Fetcher {
        configuration,
        platform: table.find()?,
        peers,
        gossip,
        poll: settings.platform.poll.0,
    });
    task::spawn("configuration poll", Rc::clone(&fetcher).poll());
    task::spawn("configuration fetch", fetcher.fetch(newer_versions));
    Ok(())
}

fn start_ports(
    table: &Rc<Table>,
    settings: &Settings,
    lifecycle: &Lifecycle<Joining>,
    in_flight: &Rc<Cell<usize>>,
    [client, local, operator]: [Port; 3],
) -> Result<(), Error> {
    let client_port = Rc::new(ClientPort {
        policy: settings.tuning.admission.policy,
        phase: lifecycle.phase(),
        configuration: table.find()?,
        dispatcher: table.find()?,
        accountant: table.find()?,
        routing: table.find()?,
        tickets: table.find()?,
        platform: table.find()?,
        in_flight: Rc::clone(in_flight),
    });
    let maintenance = table.find::<Maintenance>()?;
    let local_port = Rc::new(LocalPort {
        policy: settings.tuning.admission.policy,
        identity: settings.identity.clone(),
        configuration: table.find()?,
        contexts: table.find()?,
        dispatcher: table.find()?,
        upstream: table.find()?,
        admission: table.find()?,
        in_flight: Rc::clone(in_flight),
        on_announcement: Box::new(move || {
            maintenance.apply_reminder();
            let maintenance = Rc::clone(&maintenance);
            task::spawn("announcement", async move { maintenance.refresh().await });
        }),
    });
    let service = table.install(operator_service(table, settings, lifecycle)?);
    let operator_port = Rc::new(OperatorPort { operator: service });
    task::spawn("client port", serve(client, client_port));
    task::spawn("local port", serve(local, local_port));
    task::spawn("operator port", serve(operator, operator_port));
    Ok(())
}

fn operator_service(
    table: &Table,
    settings: &Settings,
    lifecycle: &Lifecycle<Joining>,
) -> Result<Operator, Error> {
    Ok(Operator {
        identity: settings.identity.clone(),
        phase: lifecycle.phase(),
        configuration: table.find()?,
        acceptor: table.find()?,
        platform: table.find()?,
        membership: table.find()?,
        gossip: table.find()?,
        admission: table.find()?,
        routing: table.find()?,
        peers: table.find()?,
        tickets: table.find()?,
        unknowns: table.find()?,
        upstream: table.find()?,
        metrics: table.find()?,
        burn: table.find()?,
        accountant: table.find()?,
    })
}
