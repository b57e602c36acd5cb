//! Connects the services of a node to each other's changes, and starts background tasks.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::channel::mpsc;
use monoio::time::sleep;
use sailtrack_admission::Windows;
use sailtrack_kernel::{Error, Table};
use sailtrack_net::task;

use crate::announcement::Announcements;
use crate::clock;
use crate::configuration::{Current, Fetcher, Provider};
use crate::directory::Directory;
use crate::freshness::Freshness;
use crate::gate::{Gate, Upstream};
use crate::gossip::publish_periodically;
use crate::metrics::Metrics;
use crate::node::Environment;
use crate::peer::Peers;
use crate::quota::{Election, Fetcher as TokenFetcher, Quotas};
use crate::reload::{Components, Reload};
use crate::retired::Retired;
use crate::settings::Settings;
use crate::status::Status;
use crate::suspension;

/// Nodes that have all run for less than this were started together, and all their clients return
/// at once, so admission windows start small. A node that restarts while the others keep serving
/// takes its usual share at once, since small windows would refuse requests at each planned
/// restart.
const MASS_START_TIME: Duration = Duration::from_secs(5);
/// How often the ages of the other nodes are checked.
const AGE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Registers callbacks for changes of the configuration and of the own upstream.
pub(super) fn connect_services(table: &Table, settings: &Settings) -> Result<(), Error> {
    let current = table.find::<Current>()?;
    let gate = table.find::<Gate>()?;
    let service = settings.identity.service.clone();
    let limited = Rc::clone(&current);
    current.on_change(move || {
        let configuration = limited.get();
        let rules = configuration
            .as_ref()
            .and_then(|known| known.service(&service));
        if let Some(rules) = rules {
            gate.limit_connections(rules.connections);
        }
        if let Some(known) = &configuration {
            gate.limit_request_time(known.longest_timeout());
        }
    });
    let gate = table.find::<Gate>()?;
    let upstream = table.find::<Upstream>()?;
    let sweeping = Rc::clone(&gate);
    task::spawn("idle connections", sweeping.sweep_connections());
    upstream.on_new_incarnation(move || gate.handle_new_incarnation());
    let metrics = table.find::<Metrics>()?;
    let counted = Rc::clone(&current);
    current.on_change(move || {
        metrics.limit_kinds(counted.get().map_or(0, |current| current.route_count()));
    });
    let status = table.find::<Status>()?;
    let publisher = Rc::clone(&status);
    current.on_change(move || publisher.publish());
    upstream.on_availability_change(move || status.publish());
    let announcements = table.find::<Announcements>()?;
    upstream.on_leaving(move |upstream| announcements.handle_leaving(upstream));
    connect_retirements(table)
}

/// Registers the callbacks by which a retirement takes effect, whenever this node learns of it.
fn connect_retirements(table: &Table) -> Result<(), Error> {
    let retired = table.find::<Retired>()?;
    let peers = table.find::<Peers>()?;
    retired.on_added(move |upstream, _| peers.handle_retirement(upstream));
    let announcements = table.find::<Announcements>()?;
    retired.on_added(move |upstream, reason| announcements.handle_retired(upstream, reason));
    Ok(())
}

/// Starts the task that reloads the settings file.
pub(super) fn watch_settings(table: &Table) -> Result<(), Error> {
    let reload = table.find::<Reload>()?;
    reload.set_components(Components {
        budget: table.find()?,
        entry: table.find()?,
        freshness: table.find()?,
        peer_port: table.find()?,
        quotas: table.find()?,
        records: table.find()?,
    });
    task::spawn("settings", reload.run());
    Ok(())
}

/// Starts the tasks that enforce the quotas of workspaces.
pub(super) fn start_quotas(
    table: &Table,
    environment: &Environment,
    token_requests: mpsc::Receiver<()>,
) -> Result<(), Error> {
    let current = table.find::<Current>()?;
    let quotas = table.find::<Quotas>()?;
    let freshness = table.find::<Freshness>()?;
    let changed = Rc::clone(&current);
    current.on_change(move || {
        quotas.set_limits(changed.get().as_deref());
        freshness.apply_version(changed.version(), clock::now());
    });
    let fetcher = TokenFetcher {
        quotas: table.find()?,
        peers: table.find()?,
    };
    task::spawn("token questions", fetcher.run(token_requests));
    let election = table.install(Election {
        quotas: table.find()?,
        peers: table.find()?,
        watch: table.find()?,
        status: table.find()?,
        store: Rc::clone(&environment.store),
        started: Instant::now(),
        last_renewal: Cell::default(),
        missing_since: Cell::default(),
        unreadable_since: Cell::default(),
        has_resigned: Cell::new(false),
    });
    task::spawn("token allocation", election.run());
    Ok(())
}

/// Starts with small admission windows if most nodes were started together with this one.
pub(super) fn ramp_up_after_mass_start(table: &Table) -> Result<(), Error> {
    let windows = table.find::<Windows>()?;
    let upstream = table.find::<Upstream>()?;
    let peers = table.find::<Peers>()?;
    let incarnation = table.find::<Status>()?.incarnation;
    let started = Instant::now();
    table.find::<Upstream>()?.on_new_incarnation(move || {
        if started.elapsed() > MASS_START_TIME {
            return;
        }
        windows.ramp_up(Instant::now(), upstream.slots());
        let (windows, peers) = (Rc::clone(&windows), Rc::clone(&peers));
        task::spawn("ramp up", async move {
            while started.elapsed() < MASS_START_TIME {
                if peers.majority_started_before(incarnation, MASS_START_TIME) {
                    windows.end_ramp_up();
                    return;
                }
                sleep(AGE_CHECK_INTERVAL).await;
            }
        });
    });
    Ok(())
}

/// Starts the tasks that exchange status and configuration with other nodes.
pub(super) fn start_peer_tasks(
    table: &Table,
    providers: mpsc::Receiver<Provider>,
) -> Result<(), Error> {
    let status = table.find::<Status>()?;
    let directory = table.find::<Directory>()?;
    task::spawn("presence", publish_periodically(status, directory));
    task::spawn("wake", table.find::<suspension::Detector>()?.run());
    let fetch = Fetcher {
        peers: table.find()?,
        current: table.find()?,
        watch: table.find()?,
    };
    task::spawn("configuration fetch", fetch.run(providers));
    Ok(())
}
