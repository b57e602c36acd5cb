//! The tasks that follow the store.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use futures::StreamExt as _;
use futures::channel::mpsc;
use monoio::time::{sleep, timeout};
use rand::Rng as _;
use sailtrack_kernel::{Error, Table};
use sailtrack_log::{catalogue, emit};
use sailtrack_net::task;
use sailtrack_units::{Era, Moment};

use crate::announcement::Announcements;
use crate::cleanup::remove_dead;
use crate::clock;
use crate::configuration::{Current, Source};
use crate::directory::{Directory, Member};
use crate::freshness::Freshness;
use crate::node::Environment;
use crate::settings::Settings;
use crate::status::Status;
use crate::store::{
    self, Clock, Content, Debounce, Follower, Reachability, Row, Store, StoreTime,
    Table as StoreTable, follow,
};
use crate::watch::Watch;

/// How long changes of members are gathered. Nodes that start together write their rows within
/// some 0.3 s. Later a new node connects to those that it finds, so others know it before they
/// read its row.
const DEBOUNCE: Debounce = Debounce {
    after_snapshot: Duration::from_millis(400),
    after_changes: Duration::from_millis(1500),
};
/// How long every node follows the configuration after the store came back from a copy.
const COPY_TIME: Duration = Duration::from_mins(1);
/// The pause after the own row could not be written.
const ROW_PAUSE: Duration = Duration::from_millis(500);
/// How long the first write of the own row holds up the reading of the others. Rows that are
/// written before they are read make nodes that start together known to each other with one call:
/// of two of them, the one that reads last finds the other.
const FIRST_WRITE_TIME: Duration = Duration::from_secs(2);

/// Offers the rows of the configuration table to the configuration in force.
struct ConfigurationRows {
    current: Rc<Current>,
    watch: Rc<Watch>,
    freshness: Rc<Freshness>,
    clock: Rc<Clock>,
    status: Rc<Status>,
    /// When an answer was asked for at once, to read the clock of the store.
    read_clock: Cell<Moment>,
    /// The era in which the whole table was read.
    era: Cell<Era>,
}

impl Follower for ConfigurationRows {
    /// After a copy every node reads what is there, and follows for a while: what is written again
    /// may repeat a version with other content, and nodes that have that version fetch no other.
    fn wants_changes(&self) -> bool {
        let copied = self.clock.restored_at();
        let is_new = |copied: Moment| clock::now().since(copied) < COPY_TIME;
        self.watch.is_active() || self.era.get() != self.clock.era() || copied.is_some_and(is_new)
    }

    fn observe_era(&self, era: Era) -> bool {
        self.clock.observe_era(era, clock::now())
    }

    fn era(&self) -> Era {
        self.clock.era()
    }

    fn poll_timeout(&self) -> Duration {
        let now = clock::now();
        let renewal = self.freshness.poll_interval(now);
        let Some(renewal) = renewal.filter(|_| self.watch.is_active()) else {
            return store::LONG_POLL_TIMEOUT;
        };
        // An answer that waited for changes tells little of what the clock shows by now.
        let was_read = now.since(self.read_clock.get()) < renewal;
        if was_read || !self.clock.needs_refresh(now) {
            return renewal;
        }
        self.read_clock.set(now);
        Duration::ZERO
    }

    fn confirm(&self, asked: Moment, as_of: StoreTime) {
        self.clock.record(asked, clock::now(), as_of);
        let version = self.current.version();
        let is_news = self
            .freshness
            .confirm_by_store(as_of, version, clock::now());
        if is_news && self.freshness.is_bounded() {
            // The others count on it at once, and their callers with them.
            self.status.publish();
        }
    }

    fn reset(&self, rows: &[Row]) {
        self.era.set(self.clock.era());
        self.apply_changes(rows);
    }

    fn apply_changes(&self, rows: &[Row]) {
        for row in rows {
            match &row.content {
                // What cannot be read is logged there, and the present version stays in force.
                Content::Text(text) => {
                    let era = self.clock.era();
                    drop(self.current.offer(text, Source::Store(era)));
                }
                Content::Unreadable(reason) => self.current.log_rejected(reason),
                Content::Removed => {}
            }
        }
    }
}

/// Tells the directory of the rows of nodes.
struct MemberRows {
    directory: Rc<Directory>,
    watch: Rc<Watch>,
    clock: Rc<Clock>,
}

impl Follower for MemberRows {
    /// A node follows until it has seen its own row, so that it misses none that was written
    /// meanwhile. Nodes that start later connect to it themselves.
    fn wants_changes(&self) -> bool {
        !self.directory.has_own_row() || self.watch.is_active()
    }

    fn observe_era(&self, era: Era) -> bool {
        self.clock.observe_era(era, clock::now())
    }

    fn era(&self) -> Era {
        self.clock.era()
    }

    fn debounce(&self) -> Debounce {
        DEBOUNCE
    }

    fn confirm(&self, asked: Moment, as_of: StoreTime) {
        self.clock.record(asked, clock::now(), as_of);
    }

    fn reset(&self, rows: &[Row]) {
        self.directory.reset(rows);
    }

    fn apply_changes(&self, rows: &[Row]) {
        self.directory.apply_changes(rows);
    }
}

/// Starts what follows the store.
pub(super) fn follow_store(
    table: &Table,
    settings: &Settings,
    environment: &Environment,
) -> Result<(), Error> {
    keep_own_row(table, environment)?;
    follow_configuration(table, environment)?;
    follow_members(table, settings, environment)?;
    let cleanup = remove_dead(
        Rc::clone(&environment.store),
        table.find()?,
        table.find()?,
        table.find()?,
        table.find()?,
    );
    task::spawn("cleanup", cleanup);
    if !settings.first_start {
        let announcements = table.find::<Announcements>()?;
        let current = table.find::<Current>()?;
        task::spawn("upstream probe", announcements.probe_upstream(current));
    }
    let status = table.find::<Status>()?;
    table
        .find::<Reachability>()?
        .on_change(move || status.publish());
    let status = table.find::<Status>()?;
    let directory = table.find::<Directory>()?;
    let announcements = table.find::<Announcements>()?;
    table.find::<Clock>()?.on_restore(move || {
        directory.mark_own_row_unverified();
        announcements.restore_rows();
        status.publish();
    });
    Ok(())
}

fn follow_configuration(table: &Table, environment: &Environment) -> Result<(), Error> {
    let rows: Rc<dyn Follower> = Rc::new(ConfigurationRows {
        current: table.find()?,
        watch: table.find()?,
        freshness: table.find()?,
        clock: table.find()?,
        status: table.find()?,
        read_clock: Cell::default(),
        era: Cell::default(),
    });
    let store = Rc::clone(&environment.store);
    let reach = table.find::<Reachability>()?;
    let following = follow(store, StoreTable::Configuration, reach, rows);
    task::spawn("configuration", following);
    Ok(())
}

fn follow_members(
    table: &Table,
    settings: &Settings,
    environment: &Environment,
) -> Result<(), Error> {
    let directory = table.find::<Directory>()?;
    let rows: Rc<dyn Follower> = Rc::new(MemberRows {
        directory: Rc::clone(&directory),
        watch: table.find()?,
        clock: table.find()?,
    });
    let store = Rc::clone(&environment.store);
    let reach = table.find::<Reachability>()?;
    let is_first = settings.first_start;
    task::spawn("members", async move {
        if is_first {
            let writing = write_row(&*store, directory.own());
            // A row that is not there by then is written once it is found missing.
            let _ = timeout(FIRST_WRITE_TIME, writing).await;
        }
        follow(store, StoreTable::Members, reach, rows).await;
    });
    Ok(())
}

/// Writes the own row whenever it is missing.
fn keep_own_row(table: &Table, environment: &Environment) -> Result<(), Error> {
    let directory = table.find::<Directory>()?;
    let (lost, mut losses) = mpsc::channel(1);
    let lost = RefCell::new(lost);
    directory.on_own_row_lost(move || {
        // A full channel holds the same news.
        let _ = lost.borrow_mut().try_send(());
    });
    let store = Rc::clone(&environment.store);
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
