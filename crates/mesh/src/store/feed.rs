//! Keeps a local view of a store table up to date through its change feed.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::future::{Either, select};
use monoio::time::sleep;
use rand::Rng as _;
use sailtrack_kernel::Service;
use sailtrack_log::{catalogue, emit};
use sailtrack_units::{Era, Moment};

use crate::clock;
use crate::store::{Row, Store, StoreError, StoreTime, StoreVersion, Table};

/// Duration of a long poll for changes. It is close to the 30 s that the store allows, since every
/// call has a cost.
pub(crate) const LONG_POLL_TIMEOUT: Duration = Duration::from_secs(29);
/// Initial backoff after a failed call.
const MIN_BACKOFF: Duration = Duration::from_millis(150);
/// Maximum backoff. Nodes must have their rows back within 2 s after the store recovers.
const MAX_BACKOFF: Duration = Duration::from_millis(1200);

/// How often a waiting follower checks whether it should read changes or the era has ended.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time without reading changes after which the whole table is read again. Rows of nodes that are
/// gone for good are removed after 5 min, so a full resync finds many of them removed.
const RESYNC_INTERVAL: Duration = Duration::from_mins(10);

/// How long to wait after a read, so that the next one returns several changes together.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Debounce {
    /// The delay after a full read of the table.
    pub(crate) after_snapshot: Duration,
    /// The delay after a read of changes.
    pub(crate) after_changes: Duration,
}

/// Receives the rows of a table and controls how its changes are read.
pub(crate) trait Follower {
    /// Returns true while changes should be read. Full reads of the table happen in any case.
    fn wants_changes(&self) -> bool;

    /// Returns how long to wait after a read so that changes are batched.
    ///
    /// A mass start changes one row per node. Without a delay, every node would make a call for
    /// each change: 14 calls per node in a start of 70 nodes.
    fn debounce(&self) -> Debounce {
        Debounce::default()
    }

    /// Returns the duration of the next long poll.
    fn poll_timeout(&self) -> Duration {
        LONG_POLL_TIMEOUT
    }

    /// Records the era of a response; returns false if a later era is known.
    fn observe_era(&self, era: Era) -> bool;

    /// Returns the latest known era.
    fn era(&self) -> Era;

    /// Called when all changes up to `as_of` were delivered by a call that began at `requested`.
    fn confirm(&self, _requested: Moment, _as_of: StoreTime) {}

    /// Replaces all rows by a snapshot of the table.
    fn reset(&self, rows: &[Row]);

    /// Applies rows that changed since the last call.
    fn apply_changes(&self, rows: &[Row]);
}

/// Whether the store responds to this node.
#[derive(Default)]
pub(crate) struct Reachability {
    unreachable: Cell<bool>,
    callbacks: RefCell<Vec<Box<dyn Fn()>>>,
}

impl Service for Reachability {
    const NAME: &'static str = "store-reach";
}

impl Reachability {
    /// Returns true from a failed call until the next successful one.
    pub(crate) fn is_unreachable(&self) -> bool {
        self.unreachable.get()
    }

    /// Registers a callback that runs whenever the store becomes unreachable or reachable.
    pub(crate) fn on_change(&self, callback: impl Fn() + 'static) {
        self.callbacks.borrow_mut().push(Box::new(callback));
    }

    fn record(&self, error: Option<&StoreError>) {
        match (self.unreachable.replace(error.is_some()), error) {
            (false, Some(error)) => emit(&catalogue::PLATFORM_LOST, &[("reason", error)]),
            (true, None) => emit(&catalogue::PLATFORM_FOUND, &[]),
            _ => return,
        }
        for callback in self.callbacks.borrow().iter() {
            callback();
        }
    }
}

/// Reads a table and then its changes, forever.
pub(crate) async fn follow(
    store: Rc<dyn Store>,
    table: Table,
    reachability: Rc<Reachability>,
    follower: Rc<dyn Follower>,
) {
    let mut backoff = MIN_BACKOFF;
    let mut at: Option<StoreVersion> = None;
    let mut has_failed = false;
    loop {
        if at.is_some() && !wait_until_wanted(&*follower).await {
            at = None;
        }
        // After an outage the store may have been restored from a backup. An immediate response
        // tells its era.
        let wait = if has_failed {
            Duration::ZERO
        } else {
            follower.poll_timeout()
        };
        let result = advance(&*store, table, (at, wait), &*follower).await;
        let error = result.as_ref().err();
        has_failed = error.is_some();
        // A response without the requested history still shows that the store is reachable.
        reachability.record(error.filter(|error| **error != StoreError::HistoryGone));
        match result {
            Ok(version) => {
                let debounce = follower.debounce();
                let delay = if at.is_none() {
                    debounce.after_snapshot
                } else {
                    debounce.after_changes
                };
                at = Some(version);
                backoff = MIN_BACKOFF;
                sleep(delay).await;
            }
            Err(StoreError::HistoryGone) if at.is_some() => at = None,
            Err(_) => {
                sleep(backoff.mul_f64(rand::rng().random_range(0.5..1.0))).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
        }
    }
}

/// Waits until the follower wants changes; returns false if that took so long that the whole table
/// should be read instead.
async fn wait_until_wanted(follower: &dyn Follower) -> bool {
    let began = Instant::now();
    while !follower.wants_changes() {
        if began.elapsed() >= RESYNC_INTERVAL {
            return false;
        }
        sleep(CHECK_INTERVAL).await;
    }
    true
}

/// Reads the whole table, or long-polls for changes after the version `at`; returns the version
/// reached.
async fn advance(
    store: &dyn Store,
    table: Table,
    (at, wait): (Option<StoreVersion>, Duration),
    follower: &dyn Follower,
) -> Result<StoreVersion, StoreError> {
    let requested = clock::now();
    let response = match at {
        None => store.rows(table).await?,
        Some(after) => {
            let changes = store.changes(table, after, wait);
            let era_ended = std::pin::pin!(wait_for_era_end(follower, after.era));
            match select(changes, era_ended).await {
                Either::Left((response, _)) => response?,
                Either::Right(_) => return Err(StoreError::HistoryGone),
            }
        }
    };
    let is_other_era = at.is_some_and(|at| at.era != response.version.era);
    // A restored store reuses version numbers, so the changes after a version of an earlier era
    // are incomplete.
    if !follower.observe_era(response.version.era) || is_other_era {
        return Err(StoreError::HistoryGone);
    }
    match at {
        None => follower.reset(&response.rows),
        Some(_) if response.rows.is_empty() => {}
        Some(_) => follower.apply_changes(&response.rows),
    }
    if let Some(as_of) = response.now.filter(|_| response.is_complete) {
        follower.confirm(requested, as_of);
    }
    Ok(response.version.max(at.unwrap_or_default()))
}

/// Waits until a later era than `era` is known. A pending long poll for changes after a version of
/// the old era is then useless: the restored store reuses the numbers up to that version.
async fn wait_for_era_end(follower: &dyn Follower, era: Era) {
    while follower.era() == era {
        sleep(CHECK_INTERVAL).await;
    }
}
