//! The tasks that tell the parts of a node, and other nodes, what changes.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::channel::mpsc;
use monoio::time::sleep;
use sailtrack_admission::Windows;
use sailtrack_kernel::{Error, Table};
use sailtrack_net::task;

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
use crate::settings::Settings;
use crate::status::Status;
use crate::suspension;

/// A node that has run for no longer, among others that have run for no longer, is one of many
/// that were started at once, and their clients come back at once. One that is started anew while
/// the others serve takes its usual share: beginning small there would refuse requests at
/// each planned stop.
const YOUNG_TIME: Duration = Duration::from_secs(5);
/// How often the ages of the other nodes are looked at.
const AGE_LOOK: Duration = Duration::from_millis(20);

/// Tells the parts of the node when the configuration or the own upstream changes.
pub(super) fn listen(table: &Table, settings: &Settings) -> Result<(), Error> {
    let current = table.find::<Current>()?;
    let gate = table.find::<Gate>()?;
    let service = settings.identity.service.clone();
    let bounded = Rc::clone(&current);
    current.on_change(move || {
        let configuration = bounded.get();
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
    upstream.on_new_incarnation(move || gate.handle_new_incarnation());
    let metrics = table.find::<Metrics>()?;
    let counted = Rc::clone(&current);
    current.on_change(move || {
        metrics.limit_kinds(counted.get().map_or(0, |current| current.route_count()));
    });
    let status = table.find::<Status>()?;
    let told = Rc::clone(&status);
    current.on_change(move || told.publish());
    upstream.on_availability_change(move || status.publish());
    Ok(())
}

/// Starts what follows the settings file.
pub(super) fn follow_settings(table: &Table) -> Result<(), Error> {
    let reload = table.find::<Reload>()?;
    reload.set_components(Components {
        budget: table.find()?,
        entry: table.find()?,
        freshness: table.find()?,
        quotas: table.find()?,
    });
    task::spawn("settings", reload.run());
    Ok(())
}

/// Starts what keeps the limits of workspaces.
pub(super) fn keep_quotas(
    table: &Table,
    environment: &Environment,
    wishes: mpsc::Receiver<()>,
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
    task::spawn("token questions", fetcher.run(wishes));
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

/// Lets windows begin small while this node and most others have just been started.
pub(super) fn ramp_up_together(table: &Table) -> Result<(), Error> {
    let windows = table.find::<Windows>()?;
    let upstream = table.find::<Upstream>()?;
    let peers = table.find::<Peers>()?;
    let incarnation = table.find::<Status>()?.incarnation;
    let started = Instant::now();
    table.find::<Upstream>()?.on_new_incarnation(move || {
        if started.elapsed() > YOUNG_TIME {
            return;
        }
        windows.ramp_up(Instant::now(), upstream.slots());
        let (windows, peers) = (Rc::clone(&windows), Rc::clone(&peers));
        task::spawn("ramp up", async move {
            while started.elapsed() < YOUNG_TIME {
                if peers.majority_started_before(incarnation, YOUNG_TIME) {
                    windows.end_ramp_up();
                    return;
                }
                sleep(AGE_LOOK).await;
            }
        });
    });
    Ok(())
}

/// Starts what tells other nodes and asks them.
pub(super) fn meet_peers(table: &Table, providers: mpsc::Receiver<Provider>) -> Result<(), Error> {
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
