//! Remembers which lives of the own upstream leave, and whether one has left.

use std::fmt::Display;
use std::rc::Rc;
use std::time::Duration;

use futures::future::{Either, select};
use monoio::time::{sleep, timeout};
use rand::Rng as _;
use sailtrack_log::{catalogue, emit};
use sailtrack_net::task;
use sailtrack_units::Era;

use super::error::RowError;
use super::{Announcements, LOOK};
use crate::key::UpstreamKey;
use crate::store::{Content, Row, Table};

/// How long an upstream waits for the acknowledgement that it leaves: it hears of none after 1 s.
const RETIRE_TIME: Duration = Duration::from_millis(900);
/// How long the store may take to remember a leaving upstream before the other nodes suffice.
const STORE_TIME: Duration = Duration::from_millis(600);
/// How long the store may take to say whether an upstream has left before.
const LOOKUP_TIME: Duration = Duration::from_millis(800);
/// The pause after a row that the copy lacked could not be written.
const RESTORE_PAUSE: Duration = Duration::from_millis(500);
/// How long after its start a node waits for the word of others before it believes a beat.
const PATIENCE: Duration = Duration::from_secs(3);

impl Announcements {
    /// Sends nothing new to an upstream, and returns true once that outlasts this process.
    pub(super) async fn retire(self: &Rc<Self>, upstream: &UpstreamKey, reason: &str) -> bool {
        let key = self.upstream.retire(upstream, reason);
        let id = key.id().to_owned();
        self.acknowledged.borrow_mut().insert(id, key.clone());
        let work = Rc::clone(self);
        let (sender, receiver) = futures::channel::oneshot::channel();
        // The task goes on when the upstream stops waiting, so that its next try succeeds at once.
        task::spawn("retirement", async move {
            let is_safe = work.remember(&key).await;
            // The upstream may have stopped waiting.
            let _ = sender.send(is_safe);
        });
        matches!(timeout(RETIRE_TIME, receiver).await, Ok(Ok(true)))
    }

    /// Lets the store and other nodes remember an upstream.
    ///
    /// The store suffices; while it does not answer, the other nodes do.
    async fn remember(&self, upstream: &UpstreamKey) -> bool {
        let stored = std::pin::pin!(self.store_retired(upstream));
        let witnessed = std::pin::pin!(self.peers.replicate_retirement(upstream));
        match select(stored, witnessed).await {
            Either::Left((true, _)) => true,
            Either::Left((false, witnessed)) => witnessed.await,
            Either::Right((witnessed, stored)) => stored.await || witnessed,
        }
    }

    /// Writes the rows of what was acknowledged again, since the store came back from a copy: another
    /// process of this node would believe a late beat.
    pub(crate) fn restore_rows(self: &Rc<Self>) {
        let work = Rc::clone(self);
        let era = self.clock.era();
        task::spawn("retired rows", async move {
            let all: Vec<_> = work.acknowledged.borrow().values().cloned().collect();
            for upstream in all {
                // The next copy writes all of them again.
                while work.clock.era() == era && !work.store_retired(&upstream).await {
                    sleep(RESTORE_PAUSE.mul_f64(rand::rng().random_range(1.0..2.0))).await;
                }
                let fields: &[(&str, &dyn Display)] =
                    &[("table", &Table::Retired), ("key", &upstream.id())];
                emit(&catalogue::ROW_RESTORED, fields);
            }
        });
    }

    async fn store_retired(&self, upstream: &UpstreamKey) -> bool {
        let life = upstream.to_string();
        let put = self.store.put(Table::Retired, upstream.id(), &life);
        let reason = match timeout(STORE_TIME, put).await {
            Ok(Ok(())) => return true,
            Ok(Err(error)) => error.to_string(),
            Err(_) => "late".to_owned(),
        };
        emit(
            &catalogue::STORE_FAILED,
            &[("operation", &"remember upstream"), ("reason", &reason)],
        );
        false
    }

    /// Returns true if a life of the upstream has left, as far as anybody says.
    pub(super) async fn has_left(&self, upstream: &UpstreamKey) -> bool {
        let row = self.store.row(Table::Retired, upstream.id());
        let reason = match timeout(LOOKUP_TIME, row).await {
            Ok(Ok(reading)) => match reading.row.as_ref().map(retired_life) {
                // A copy may lack the row, so others are heard too.
                None if reading.era > Era::default() => {
                    return self.is_known_to_others(upstream).await;
                }
                None => return self.retired.contains(upstream),
                Some(Ok(life)) => return self.has_left_with(upstream, life),
                // Somebody else wrote it, and it names nobody.
                Some(Err(error)) => error.to_string(),
            },
            Ok(Err(error)) => error.to_string(),
            Err(_) => "late".to_owned(),
        };
        emit(
            &catalogue::STORE_FAILED,
            &[("operation", &"look up upstream"), ("reason", &reason)],
        );
        self.is_known_to_others(upstream).await
    }

    /// Returns true if a node says that this life has left, after the first ones were met.
    async fn is_known_to_others(&self, upstream: &UpstreamKey) -> bool {
        while self.peers.open_count() == 0 && self.started.elapsed() < PATIENCE {
            sleep(LOOK).await;
        }
        // The introductions of others come with the opening of their connections.
        sleep(LOOK).await;
        self.retired.contains(upstream)
    }

    /// Takes in that a life with the same id has left; returns true if `upstream` is that one or
    /// an earlier one.
    fn has_left_with(&self, upstream: &UpstreamKey, left: UpstreamKey) -> bool {
        if upstream.is_older_than(&left) {
            self.retired.note(upstream.clone());
        }
        self.retired.note(left);
        self.retired.contains(upstream)
    }
}

/// Returns the life that a row says has left.
fn retired_life(row: &Row) -> Result<UpstreamKey, RowError> {
    let text = match &row.content {
        Content::Text(text) => text,
        Content::Unreadable(reason) => return Err(RowError::Unreadable(reason.clone())),
        Content::Removed => return Err(RowError::Removed),
    };
    let life: UpstreamKey = text.parse().map_err(RowError::Key)?;
    if life.id() == row.key {
        Ok(life)
    } else {
        Err(RowError::OtherId)
    }
}
