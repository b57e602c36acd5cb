//! Follows a table of the store for as long as the node lives.

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

/// How long one call waits for changes; the store allows 30 s, and every call has its price.
pub(crate) const LONG_POLL_TIMEOUT: Duration = Duration::from_secs(29);
/// The first pause after a failed call.
const FIRST_PAUSE: Duration = Duration::from_millis(150);
/// The longest pause after failed calls: entries are to be back two seconds after the store is.
const LONGEST_PAUSE: Duration = Duration::from_millis(1200);

/// How often a node that need not follow looks whether it has to.
const LOOK: Duration = Duration::from_millis(500);
/// After this time without following the whole table is read again: rows of nodes that are gone
/// for good, after 5 min, are removed meanwhile.
const RESYNC: Duration = Duration::from_mins(10);

/// How long changes are gathered before the next ones are asked for.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Debounce {
    /// After the whole table was read,
    pub(crate) after_snapshot: Duration,
    /// and after changes.
    pub(crate) after_changes: Duration,
}

/// What is told about the table that is followed.
pub(crate) trait Follower {
    /// Returns true while changes are to be asked for. The whole table is read in any case.
    fn wants_changes(&self) -> bool;

    /// Returns how long changes are gathered before the next ones are asked for, after a whole
    /// table and after changes.
    ///
    /// A mass start changes a row for each node; without a pause each change is a call of each
    /// node: 14 calls a node in a start of 70 nodes.
    fn debounce(&self) -> Debounce {
        Debounce::default()
    }

    /// Returns how long one call waits for changes.
    fn poll_timeout(&self) -> Duration {
        LONG_POLL_TIMEOUT
    }

    /// The store answered in this era; returns false if that is over.
    fn observe_era(&self, era: Era) -> bool;

    /// Returns the latest era that was heard of.
    fn era(&self) -> Era;

    /// Everything up to a time of the store's clock was told; the call was made at `asked`.
    fn confirm(&self, _asked: Moment, _as_of: StoreTime) {}

    /// All rows of the table as of one moment.
    fn reset(&self, rows: &[Row]);

    /// Rows that changed since.
    fn apply_changes(&self, rows: &[Row]);
}

/// Whether the store answers, as seen by the calls that follow it.
#[derive(Default)]
pub(crate) struct Reachability {
    lost: Cell<bool>,
    changed: RefCell<Vec<Box<dyn Fn()>>>,
}

impl Service for Reachability {
    const NAME: &'static str = "store-reach";
}

impl Reachability {
    /// Returns true after a call that failed, until one is answered.
    pub(crate) fn is_unreachable(&self) -> bool {
        self.lost.get()
    }

    /// Calls `changed` whenever the store is lost or found.
    pub(crate) fn on_change(&self, changed: impl Fn() + 'static) {
        self.changed.borrow_mut().push(Box::new(changed));
    }

    fn note(&self, error: Option<&StoreError>) {
        match (self.lost.replace(error.is_some()), error) {
            (false, Some(error)) => emit(&catalogue::PLATFORM_LOST, &[("reason", error)]),
            (true, None) => emit(&catalogue::PLATFORM_FOUND, &[]),
            _ => return,
        }
        for changed in self.changed.borrow().iter() {
            changed();
        }
    }
}

/// Follows a table for as long as the task lives.
pub(crate) async fn follow(
    store: Rc<dyn Store>,
    table: Table,
    reach: Rc<Reachability>,
    follower: Rc<dyn Follower>,
) {
    let mut pause = FIRST_PAUSE;
    let mut at: Option<StoreVersion> = None;
    let mut was_lost = false;
    loop {
        if at.is_some() && !wait_until_due(&*follower).await {
            at = None;
        }
        // A store that was away may have come back from a copy, which its next answer tells.
        let wait = if was_lost {
            Duration::ZERO
        } else {
            follower.poll_timeout()
        };
        let result = advance(&*store, table, (at, wait), &*follower).await;
        let error = result.as_ref().err();
        was_lost = error.is_some();
        // A store that has forgotten its history has answered.
        reach.note(error.filter(|error| **error != StoreError::HistoryGone));
        match result {
            Ok(version) => {
                let pace = follower.debounce();
                let gathering = if at.is_none() {
                    pace.after_snapshot
                } else {
                    pace.after_changes
                };
                at = Some(version);
                pause = FIRST_PAUSE;
                sleep(gathering).await;
            }
            Err(StoreError::HistoryGone) if at.is_some() => at = None,
            Err(_) => {
                sleep(pause.mul_f64(rand::rng().random_range(0.5..1.0))).await;
                pause = (pause * 2).min(LONGEST_PAUSE);
            }
        }
    }
}

/// Waits until changes are to be asked for; returns false if that took so long that the whole
/// table is to be read instead.
async fn wait_until_due(follower: &dyn Follower) -> bool {
    let began = Instant::now();
    while !follower.wants_changes() {
        if began.elapsed() >= RESYNC {
            return false;
        }
        sleep(LOOK).await;
    }
    true
}

/// Reads the table, or waits for what changed after a version; returns the version reached.
async fn advance(
    store: &dyn Store,
    table: Table,
    (at, wait): (Option<StoreVersion>, Duration),
    follower: &dyn Follower,
) -> Result<StoreVersion, StoreError> {
    let asked = clock::now();
    let told = match at {
        None => store.rows(table).await?,
        Some(after) => {
            let changes = store.changes(table, after, wait);
            let over = std::pin::pin!(era_over(follower, after.era));
            match select(changes, over).await {
                Either::Left((told, _)) => told?,
                Either::Right(_) => return Err(StoreError::HistoryGone),
            }
        }
    };
    let is_other_era = at.is_some_and(|at| at.era != told.version.era);
    // Numbers are given out again after a copy, so what changed since one does not tell the rest.
    if !follower.observe_era(told.version.era) || is_other_era {
        return Err(StoreError::HistoryGone);
    }
    match at {
        None => follower.reset(&told.rows),
        Some(_) if told.rows.is_empty() => {}
        Some(_) => follower.apply_changes(&told.rows),
    }
    if let Some(as_of) = told.now.filter(|_| told.is_complete) {
        follower.confirm(asked, as_of);
    }
    Ok(told.version.max(at.unwrap_or_default()))
}

/// Waits until an era is over. A call that waits for changes after one of its versions waits in
/// vain then: the numbers up to that one are given out again.
async fn era_over(follower: &dyn Follower, era: Era) {
    while follower.era() == era {
        sleep(LOOK).await;
    }
}
