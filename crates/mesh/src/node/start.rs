//! Makes the services of a mesh node, installs them in the table and starts their tasks.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::StreamExt as _;
use futures::channel::mpsc;
use monoio::net::TcpListener;
use monoio::time::{sleep, timeout};
use rand::Rng as _;
use sailtrack_admission::{Admission, Windows};
use sailtrack_kernel::{Joining, Life, Missing, Table};
use sailtrack_log::{catalogue, emit};
use sailtrack_net::http::{Limits, Port, serve};
use sailtrack_net::task;
use sailtrack_units::{Incarnation, NodeName, Timestamp};

use crate::announcement::{AnnouncementPort, Announcements};
use crate::cleanup::remove_dead;
use crate::configuration::{Current, Source, Splitter};
use crate::contexts::Contexts;
use crate::directory::{Directory, Member, Observer};
use crate::dispatch::Dispatcher;
use crate::entry::{Entry, Room};
use crate::error::Error;
use crate::events::Events;
use crate::gate::{Builder as GateBuilder, Gate, Records, Upstream};
use crate::metrics::Metrics;
use crate::news::{Listener, keep_telling};
use crate::node::{ADMISSION_RULES, Surroundings};
use crate::peer::{Acceptor, News, Peers};
use crate::ready::ReadyPort;
use crate::retired::Retired;
use crate::retry::Budget;
use crate::routing::Routing;
use crate::scrape::MetricsPort;
use crate::settings::Settings;
use crate::status::Status;
use crate::store::{Follower, Reach, Row, Store, Table as StoreTable, follow};

/// How many nodes with a newer configuration wait to be asked.
const NEWER_CAPACITY: usize = 4;
/// How long a node may take to give its configuration.
const FETCH_TIME: Duration = Duration::from_millis(700);
/// How long the store is given to bring a version that another node has already: asking the
/// other node as well would move each configuration twice.
const STORE_HEAD_START: Duration = Duration::from_millis(250);
/// The bodies of requests may take up one part in so many of the memory. Each stands there up to
/// twice, at the entry and on its way to another node; the rest is for answers and connections.
const BODY_SHARE: usize = 6;
/// The pause after the own row could not be written.
const ROW_PAUSE: Duration = Duration::from_millis(500);
/// The bits of a life that are drawn at random.
const LIFE_RANDOM_BITS: u32 = 12;

/// The sockets of a node, all open before anything is started.
struct Sockets {
    entry: TcpListener,
    peer: TcpListener,
    ready: Port,
    announcements: Port,
    metrics: Option<Port>,
}

/// Starts all services of a node.
pub(super) fn start(
    table: &Rc<Table>,
    settings: &Settings,
    surroundings: &Surroundings,
    life: &Life<Joining>,
    in_flight: &Rc<Cell<usize>>,
) -> Result<(), Error> {
    let sockets = open(settings)?;
    install_state(table, settings, surroundings, life)?;
    let newer = install_network(table, settings)?;
    install_path(table, settings, surroundings, life, in_flight)?;
    start_store_tasks(table, surroundings)?;
    let cleanup = remove_dead(
        Rc::clone(&surroundings.store),
        table.find()?,
        table.find()?,
        settings.forget_after.0,
    );
    task::spawn("cleanup", cleanup);
    if !settings.first_start {
        let announcements = table.find::<Announcements>()?;
        task::spawn("upstream probe", announcements.ask_upstream(table.find()?));
    }
    start_peer_tasks(table, newer)?;
    start_ports(table, surroundings, life, sockets)
}

/// Tells other nodes at once what this one is like.
pub(super) fn publish(table: &Table) -> Result<(), Missing> {
    table.find::<Status>()?.publish();
    Ok(())
}

fn open(settings: &Settings) -> Result<Sockets, Error> {
    let ports = settings.ports;
    let announcements = Port::open("announcements", ports.announcements, Limits::server());
    Ok(Sockets {
        entry: listen("entry", ports.entry)?,
        peer: listen("peer", ports.peer)?,
        ready: Port::open("ready", ports.ready, Limits::server())
            .map_err(|error| failed("ready", ports.ready, error))?,
        announcements: announcements
            .map_err(|error| failed("announcements", ports.announcements, error))?,
        metrics: match ports.metrics {
            Some(address) => Some(
                Port::open("metrics", address, Limits::server())
                    .map_err(|error| failed("metrics", address, error))?,
            ),
            None => None,
        },
    })
}

fn listen(port: &'static str, address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address).map_err(|error| failed(port, address, error))
}

fn failed(port: &'static str, address: SocketAddr, error: io::Error) -> Error {
    Error::Port {
        port,
        address,
        error,
    }
}

/// Returns a number that no other life of this node has.
fn new_life() -> Incarnation {
    let random = rand::rng().random_range(0..1 << LIFE_RANDOM_BITS);
    Incarnation(Timestamp::now().0 << LIFE_RANDOM_BITS | random)
}

fn install_state(
    table: &Table,
    settings: &Settings,
    surroundings: &Surroundings,
    life: &Life<Joining>,
) -> Result<(), Error> {
    let identity = &settings.identity;
    table.install(Events::default());
    table.install(Metrics::new());
    table.install(Reach::default());
    table.install(Retired::default());
    table.install(Contexts::default());
    table.install(Records::default());
    table.install(Windows::default());
    table.install(Splitter::default());
    table.install(Budget::new(settings.retry));
    table.install(Admission::new(ADMISSION_RULES, Instant::now()));
    table.install(Current::new(Rc::clone(&surroundings.dialect)));
    table.install(Upstream::new(table.find()?, table.find()?));
    table.install(Directory::new(Member {
        name: identity.name.clone(),
        service: identity.service.clone(),
        domain: identity.domain.clone(),
        address: settings.ports.peer,
    }));
    table.install(Status {
        life: new_life(),
        phase: life.watch(),
        directory: table.find()?,
        upstream: table.find()?,
        admission: table.find()?,
        current: table.find()?,
        retired: table.find()?,
        subscribers: RefCell::default(),
    });
    Ok(())
}

fn install_network(table: &Table, settings: &Settings) -> Result<mpsc::Receiver<NodeName>, Error> {
    let (newer, receiver) = mpsc::channel(NEWER_CAPACITY);
    let listener: Rc<dyn News> = Rc::new(Listener {
        directory: table.find()?,
        current: table.find()?,
        retired: table.find()?,
        status: table.find()?,
        newer: RefCell::new(newer),
        last: Cell::new(0),
    });
    let peers = table.install(Peers::new(settings.ports.peer.ip(), listener));
    let observer: Rc<dyn Observer> = peers;
    table.find::<Directory>()?.observe(observer);
    Ok(receiver)
}

fn install_path(
    table: &Table,
    settings: &Settings,
    surroundings: &Surroundings,
    life: &Life<Joining>,
    in_flight: &Rc<Cell<usize>>,
) -> Result<(), Error> {
    let identity = &settings.identity;
    let dialect = &surroundings.dialect;
    let gate = GateBuilder::new(
        identity.service.clone(),
        settings.upstream,
        Rc::clone(dialect),
        table.find()?,
    );
    let gate = gate
        .in_flight(Rc::clone(in_flight))
        .admission(table.find()?, table.find()?)
        .memory(table.find()?, table.find()?)
        .reports(table.find()?, table.find()?);
    table.install(gate.build());
    table.install(Routing {
        name: identity.name.clone(),
        service: identity.service.clone(),
        domain: identity.domain.clone(),
        peers: table.find()?,
        upstream: table.find()?,
        admission: table.find()?,
        local: Rc::default(),
    });
    table.install(Dispatcher {
        routing: table.find()?,
        gate: table.find()?,
        budget: table.find()?,
        directory: table.find()?,
        events: table.find()?,
        metrics: table.find()?,
    });
    table.install(Entry {
        dialect: Rc::clone(dialect),
        phase: life.watch(),
        service: identity.service.clone(),
        current: table.find()?,
        splitter: table.find()?,
        contexts: table.find()?,
        dispatcher: table.find()?,
        events: table.find()?,
        metrics: table.find()?,
        in_flight: Rc::clone(in_flight),
        room: Room::new(settings.memory.as_usize() / BODY_SHARE),
        closed: Cell::new(false),
    });
    table.install(Acceptor {
        gate: table.find::<Gate>()?,
        status: table.find()?,
        directory: table.find()?,
        retired: table.find()?,
        current: table.find()?,
    });
    table.install(Announcements {
        dialect: Rc::clone(dialect),
        store: Rc::clone(&surroundings.store),
        upstream: table.find()?,
        retired: table.find()?,
        peers: table.find()?,
        service: identity.service.clone(),
        address: settings.upstream,
        started: Instant::now(),
        looking: Cell::new(false),
    });
    Ok(())
}

/// Offers the rows of the configuration table to the configuration in force.
struct ConfigurationRows(Rc<Current>);

impl Follower for ConfigurationRows {
    fn reset(&self, rows: &[Row]) {
        self.change(rows);
    }

    fn change(&self, rows: &[Row]) {
        for value in rows.iter().filter_map(|row| row.value.as_ref()) {
            // What cannot be read is logged there, and the present version stays in force.
            let _ = self.0.offer(value, Source::Store);
        }
    }
}

fn start_store_tasks(table: &Table, surroundings: &Surroundings) -> Result<(), Error> {
    let reach = table.find::<Reach>()?;
    let current = table.find::<Current>()?;
    let directory = table.find::<Directory>()?;
    let (lost, mut losses) = mpsc::channel(1);
    let lost = RefCell::new(lost);
    directory.when_own_row_lost(move || {
        // A full channel holds the same news.
        let _ = lost.borrow_mut().try_send(());
    });
    let store = Rc::clone(&surroundings.store);
    let row_directory = Rc::clone(&directory);
    task::spawn("own row", async move {
        while losses.next().await.is_some() {
            write_row(&*store, row_directory.own()).await;
        }
    });
    let rows: Rc<dyn Follower> = Rc::new(ConfigurationRows(Rc::clone(&current)));
    let store = &surroundings.store;
    let configuration = follow(
        Rc::clone(store),
        StoreTable::Configuration,
        Rc::clone(&reach),
        rows,
    );
    task::spawn("configuration", configuration);
    let members = follow(Rc::clone(store), StoreTable::Members, reach, directory);
    task::spawn("members", members);
    let status = table.find::<Status>()?;
    let upstream = table.find::<Upstream>()?;
    let metrics = table.find::<Metrics>()?;
    let counted = Rc::clone(&current);
    current.listen(move || {
        metrics.bound(counted.get().map_or(0, |current| current.route_count()));
    });
    let told = Rc::clone(&status);
    current.listen(move || told.publish());
    upstream.listen(move || status.publish());
    Ok(())
}

/// Writes the row by which other nodes find this one.
async fn write_row(store: &dyn Store, own: &Member) {
    let row = own.to_row();
    while let Err(error) = store
        .put(StoreTable::Members, own.name.as_str(), &row)
        .await
    {
        emit(
            &catalogue::STORE_FAILED,
            &[("operation", &"write own row"), ("reason", &error)],
        );
        sleep(ROW_PAUSE.mul_f64(rand::rng().random_range(1.0..2.0))).await;
    }
}

fn start_peer_tasks(table: &Table, newer: mpsc::Receiver<NodeName>) -> Result<(), Error> {
    let status = table.find::<Status>()?;
    let directory = table.find::<Directory>()?;
    task::spawn("presence", keep_telling(status, directory));
    let peers = table.find::<Peers>()?;
    let current = table.find::<Current>()?;
    task::spawn("configuration fetch", fetch(newer, peers, current));
    Ok(())
}

/// Asks other nodes for a configuration that the store does not bring.
async fn fetch(mut newer: mpsc::Receiver<NodeName>, peers: Rc<Peers>, current: Rc<Current>) {
    while let Some(name) = newer.next().await {
        let before = current.version();
        if current.get().is_some() {
            sleep(STORE_HEAD_START).await;
        }
        if current.version() > before {
            continue;
        }
        let Some(link) = peers.get(&name) else {
            continue;
        };
        if let Ok(Some(config)) = timeout(FETCH_TIME, link.fetch(before)).await {
            // What cannot be read is logged there, and the present version stays in force.
            let _ = current.offer(&config.text, Source::Peer);
        }
    }
}

fn start_ports(
    table: &Table,
    surroundings: &Surroundings,
    life: &Life<Joining>,
    sockets: Sockets,
) -> Result<(), Error> {
    let ready = Rc::new(ReadyPort {
        dialect: Rc::clone(&surroundings.dialect),
        phase: life.watch(),
        current: table.find()?,
    });
    let announcements = Rc::new(AnnouncementPort(table.find()?));
    if let Some(port) = sockets.metrics {
        let metrics = Rc::new(MetricsPort {
            metrics: table.find()?,
            contexts: table.find()?,
            admission: table.find()?,
            upstream: table.find()?,
            records: table.find()?,
            directory: table.find()?,
            peers: table.find()?,
            current: table.find()?,
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
