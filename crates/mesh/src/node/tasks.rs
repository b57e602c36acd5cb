//! The tasks that follow the store and other nodes.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::StreamExt as _;
use futures::channel::mpsc;
use monoio::time::{sleep, timeout};
use rand::Rng as _;
use sailtrack_admission::Windows;
use sailtrack_kernel::{Error, Table};
use sailtrack_log::{catalogue, emit};
use sailtrack_net::task;
use sailtrack_units::NodeName;

use crate::announcement::Announcements;
use crate::cleanup::remove_dead;
use crate::configuration::{Current, Source};
use crate::directory::{Directory, Member};
use crate::gate::{Gate, Upstream};
use crate::metrics::Metrics;
use crate::news::keep_telling;
use crate::node::Surroundings;
use crate::peer::Peers;
use crate::settings::Settings;
use crate::status::Status;
use crate::store::{Content, Follower, Reach, Row, Store, Table as StoreTable, follow};

/// A node that has run for no longer, among others that have run for no longer, is one of many
/// that were started at once, and their clients come back at once. One that is started anew while
/// the others serve takes its usual share: beginning small there refused 1.4 % of the requests of
/// a day with stops in turn.
const YOUNG_TIME: Duration = Duration::from_secs(5);
/// How often the ages of the other nodes are looked at.
const AGE_LOOK: Duration = Duration::from_millis(20);
/// How long a node may take to give its configuration.
const FETCH_TIME: Duration = Duration::from_millis(700);
/// How long the store is given to bring a version that another node has already: asking the
/// other node as well would move each configuration twice.
const STORE_HEAD_START: Duration = Duration::from_millis(250);
/// The pause after the own row could not be written.
const ROW_PAUSE: Duration = Duration::from_millis(500);

/// Offers the rows of the configuration table to the configuration in force.
struct ConfigurationRows(Rc<Current>);

impl Follower for ConfigurationRows {
    fn reset(&self, rows: &[Row]) {
        self.change(rows);
    }

    fn change(&self, rows: &[Row]) {
        for row in rows {
            match &row.content {
                // What cannot be read is logged there, and the present version stays in force.
                Content::Text(text) => drop(self.0.offer(text, Source::Store)),
                Content::Unreadable(reason) => self.0.refuse(reason),
                Content::Removed => {}
            }
        }
    }
}

/// Starts what follows the store.
pub(super) fn follow_store(
    table: &Table,
    settings: &Settings,
    surroundings: &Surroundings,
) -> Result<(), Error> {
    listen(table, settings)?;
    ramp_up_together(table)?;
    keep_own_row(table, surroundings)?;
    let store = &surroundings.store;
    let reach = table.find::<Reach>()?;
    let rows: Rc<dyn Follower> = Rc::new(ConfigurationRows(table.find()?));
    let configuration = follow(
        Rc::clone(store),
        StoreTable::Configuration,
        Rc::clone(&reach),
        rows,
    );
    task::spawn("configuration", configuration);
    let directory = table.find::<Directory>()?;
    let members = follow(Rc::clone(store), StoreTable::Members, reach, directory);
    task::spawn("members", members);
    let cleanup = remove_dead(
        Rc::clone(store),
        table.find()?,
        table.find()?,
        settings.forget_after.0,
    );
    task::spawn("cleanup", cleanup);
    if !settings.first_start {
        let announcements = table.find::<Announcements>()?;
        task::spawn("upstream probe", announcements.ask_upstream(table.find()?));
    }
    Ok(())
}

/// Tells the parts of the node when the configuration or the own upstream changes.
fn listen(table: &Table, settings: &Settings) -> Result<(), Error> {
    let current = table.find::<Current>()?;
    let gate = table.find::<Gate>()?;
    let service = settings.identity.service.clone();
    let bounded = Rc::clone(&current);
    current.listen(move || {
        let configuration = bounded.get();
        let rules = configuration
            .as_ref()
            .and_then(|known| known.service(&service));
        if let Some(rules) = rules {
            gate.bound_connections(rules.connections);
        }
    });
    let gate = table.find::<Gate>()?;
    let upstream = table.find::<Upstream>()?;
    upstream.listen_to_new(move || gate.forget_connections());
    let metrics = table.find::<Metrics>()?;
    let counted = Rc::clone(&current);
    current.listen(move || {
        metrics.bound(counted.get().map_or(0, |current| current.route_count()));
    });
    let status = table.find::<Status>()?;
    let told = Rc::clone(&status);
    current.listen(move || told.publish());
    upstream.listen(move || status.publish());
    Ok(())
}

/// Lets windows begin small while this node and most others have just been started.
fn ramp_up_together(table: &Table) -> Result<(), Error> {
    let windows = table.find::<Windows>()?;
    let upstream = table.find::<Upstream>()?;
    let peers = table.find::<Peers>()?;
    let life = table.find::<Status>()?.life;
    let started = Instant::now();
    table.find::<Upstream>()?.listen_to_new(move || {
        if started.elapsed() > YOUNG_TIME {
            return;
        }
        windows.ramp_up(Instant::now(), upstream.slots());
        let (windows, peers) = (Rc::clone(&windows), Rc::clone(&peers));
        task::spawn("ramp up", async move {
            while started.elapsed() < YOUNG_TIME {
                if peers.are_older(life, YOUNG_TIME) {
                    windows.end_ramp_up();
                    return;
                }
                sleep(AGE_LOOK).await;
            }
        });
    });
    Ok(())
}

/// Writes the own row whenever it is missing.
fn keep_own_row(table: &Table, surroundings: &Surroundings) -> Result<(), Error> {
    let directory = table.find::<Directory>()?;
    let (lost, mut losses) = mpsc::channel(1);
    let lost = RefCell::new(lost);
    directory.when_own_row_lost(move || {
        // A full channel holds the same news.
        let _ = lost.borrow_mut().try_send(());
    });
    let store = Rc::clone(&surroundings.store);
    task::spawn("own row", async move {
        while losses.next().await.is_some() {
            write_row(&*store, directory.own()).await;
        }
    });
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

/// Starts what tells other nodes and asks them.
pub(super) fn meet_peers(table: &Table, newer: mpsc::Receiver<NodeName>) -> Result<(), Error> {
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
