//! The tasks that keep this node in step with the store.

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

/// Debounce times for changes of members. Nodes that start together write their rows within some
/// 0.3 s. Later changes may be gathered for longer, since a new node connects to the nodes that it
/// finds, which thus know it before they read its row.
const DEBOUNCE: Debounce = Debounce {
    after_snapshot: Duration::from_millis(400),
    after_changes: Duration::from_millis(1500),
};
/// How long every node follows the configuration table after the store was restored from a backup.
const RESTORE_TIME: Duration = Duration::from_mins(1);
/// The shortest delay before a failed write of the own row is retried.
const ROW_RETRY_DELAY: Duration = Duration::from_millis(500);
/// How long the first write of the own row may delay reading the rows of other nodes. If each node
/// writes before it reads, then of two nodes that start together the one that reads last finds the
/// other, and one read per node is enough.
const FIRST_WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// Applies rows of the configuration table to the configuration in force.
struct ConfigurationRows {
    current: Rc<Current>,
    watch: Rc<Watch>,
    freshness: Rc<Freshness>,
    clock: Rc<Clock>,
    status: Rc<Status>,
    /// When the store was last polled without waiting for changes, in order to read its clock.
    last_clock_poll: Cell<Moment>,
    /// The store era in which the whole table was last read.
    era: Cell<Era>,
}

impl Follower for ConfigurationRows {
    /// After the store was restored from a backup, every node reads the whole table and follows it
    /// for a while. A version number may be written again with other content, and nodes that already
    /// have that version would not fetch it from each other.
    fn wants_changes(&self) -> bool {
        let restored = self.clock.restored_at();
        let is_recent = |restored: Moment| clock::now().since(restored) < RESTORE_TIME;
        self.watch.is_active()
            || self.era.get() != self.clock.era()
            || restored.is_some_and(is_recent)
    }

    fn observe_era(&self, era: Era) -> bool {
        self.clock.observe_era(era, clock::now())
    }

    fn era(&self) -> Era {
        self.clock.era()
    }

    fn poll_timeout(&self) -> Duration {
        let now = clock::now();
        let interval = self.freshness.poll_interval(now);
        let Some(interval) = interval.filter(|_| self.watch.is_active()) else {
            return store::LONG_POLL_TIMEOUT;
        };
        // The time in the answer of a long poll may be as old as the poll, so it says little about
        // the current time of the store.
        let was_read = now.since(self.last_clock_poll.get()) < interval;
        if was_read || !self.clock.needs_refresh(now) {
            return interval;
        }
        self.last_clock_poll.set(now);
        Duration::ZERO
    }

    fn confirm(&self, asked: Moment, as_of: StoreTime) {
        self.clock.record(asked, clock::now(), as_of);
        let version = self.current.version();
        let is_newer = self
            .freshness
            .confirm_by_store(as_of, version, clock::now());
        if is_newer && self.freshness.is_bounded() {
            // Other nodes need the newer time at once in order to keep accepting requests with keys.
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
                // An invalid configuration is logged by `offer`, and the current version stays in
                // force.
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

/// Applies rows of the member table to the directory.
struct MemberRows {
    directory: Rc<Directory>,
    watch: Rc<Watch>,
    clock: Rc<Clock>,
}

impl Follower for MemberRows {
    /// A node follows the table at least until it has seen its own row, so that it misses no row
    /// written before that. Nodes that start later connect to it themselves.
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

/// Starts the tasks that follow the store, and registers callbacks for its changes.
pub(super) fn start(
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
    let announcements = table.find::<Announcements>()?;
    if !settings.first_start {
        let announcements = Rc::clone(&announcements);
        task::spawn("upstream probe", announcements.find_upstream());
    }
    task::spawn("retired rows", announcements.write_rows());
    let status = table.find::<Status>()?;
    table
        .find::<Reachability>()?
        .on_change(move || status.publish());
    let status = table.find::<Status>()?;
    let directory = table.find::<Directory>()?;
    let announcements = table.find::<Announcements>()?;
    table.find::<Clock>()?.on_restore(move || {
        directory.mark_own_row_unverified();
        announcements.rows.restore();
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
        last_clock_poll: Cell::default(),
        era: Cell::default(),
    });
    let store = Rc::clone(&environment.store);
    let reachability = table.find::<Reachability>()?;
    let following = follow(store, StoreTable::Configuration, reachability, rows);
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
    let reachability = table.find::<Reachability>()?;
    let is_first = settings.first_start;
    task::spawn("members", async move {
        if is_first {
            let writing = write_row(&*store, directory.own());
            // If the write takes longer, the row is written again once it is found missing.
            let _ = timeout(FIRST_WRITE_TIMEOUT, writing).await;
        }
        follow(store, StoreTable::Members, reachability, rows).await;
    });
    Ok(())
}

/// Starts the task that writes the own row whenever it is missing.
fn keep_own_row(table: &Table, environment: &Environment) -> Result<(), Error> {
    let directory = table.find::<Directory>()?;
    let (missing, mut missing_receiver) = mpsc::channel(1);
    let missing = RefCell::new(missing);
    directory.on_own_row_lost(move || {
        // If the channel is full, a write is already due.
        let _ = missing.borrow_mut().try_send(());
    });
    let store = Rc::clone(&environment.store);
    task::spawn("own row", async move {
        while missing_receiver.next().await.is_some() {
            write_row(&*store, directory.own()).await;
        }
    });
    Ok(())
}

/// Writes the row by which other nodes find this one, with retries until it succeeds.
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
        sleep(ROW_RETRY_DELAY.mul_f64(rand::rng().random_range(1.0..2.0))).await;
    }
}
