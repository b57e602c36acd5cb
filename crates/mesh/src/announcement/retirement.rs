//! Records which incarnations of this node's upstream retired, and looks them up.

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
use super::{Announcements, POLL_INTERVAL};
use crate::key::UpstreamKey;
use crate::retired::Reason;
use crate::store::{Content, Row, Table};

/// Timeout for the acknowledgement of a retirement. The upstream itself gives up after 1 s.
const RETIRE_TIMEOUT: Duration = Duration::from_millis(900);
/// Timeout for storing a retirement, after which copies on peers suffice.
const STORE_TIMEOUT: Duration = Duration::from_millis(600);
/// Timeout for looking up in the store whether an upstream retired.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(800);
/// Minimum delay before another attempt to write a row that a restored store lacks.
const MIN_RESTORE_BACKOFF: Duration = Duration::from_millis(500);
/// How long after its start a node waits for peers that may know of a retirement, before it accepts
/// a heartbeat.
const MAX_PEER_WAIT: Duration = Duration::from_secs(3);

impl Announcements {
    /// Records that an upstream said in a response that it is leaving. It gets no acknowledgement;
    /// peers that passed on such a response know it anyway.
    pub(crate) fn handle_leaving(self: &Rc<Self>, upstream: &UpstreamKey) {
        let (announcements, upstream) = (Rc::clone(self), upstream.clone());
        task::spawn("leaving upstream", async move {
            // A failure is logged where it occurs.
            announcements.retire(&upstream, &Reason::Response).await;
        });
    }

    /// Sends no new requests to an upstream, and returns true once its retirement is recorded
    /// outside this process.
    pub(super) async fn retire(self: &Rc<Self>, upstream: &UpstreamKey, reason: &Reason) -> bool {
        let key = self.upstream.retire(upstream, reason);
        let id = key.id().to_owned();
        self.acknowledged.borrow_mut().insert(id, key.clone());
        let announcements = Rc::clone(self);
        let (sender, receiver) = futures::channel::oneshot::channel();
        // The task continues after a timeout, so that a retry of the upstream succeeds immediately.
        task::spawn("retirement", async move {
            let is_durable = announcements.record_retirement(&key).await;
            // The upstream may have stopped waiting.
            let _ = sender.send(is_durable);
        });
        matches!(timeout(RETIRE_TIMEOUT, receiver).await, Ok(Ok(true)))
    }

    /// Records a retirement in the store and on peers. The peers suffice if the store fails.
    async fn record_retirement(&self, upstream: &UpstreamKey) -> bool {
        let stored = std::pin::pin!(self.store_retirement(upstream));
        let replicated = std::pin::pin!(self.peers.replicate_retirement(upstream));
        match select(stored, replicated).await {
            Either::Left((true, _)) => true,
            Either::Left((false, replicated)) => replicated.await,
            Either::Right((replicated, stored)) => stored.await || replicated,
        }
    }

    /// Applies a retirement that this node has learned of.
    pub(crate) fn handle_retired(&self, upstream: &UpstreamKey, reason: &Reason) {
        self.upstream.withdraw(upstream, reason);
    }

    /// Writes the rows of acknowledged retirements again after the store was restored from a backup.
    /// Without them, a later process of this node would accept a late heartbeat.
    pub(crate) fn restore_rows(self: &Rc<Self>) {
        let announcements = Rc::clone(self);
        let era = self.clock.era();
        task::spawn("retired rows", async move {
            let all: Vec<_> = announcements
                .acknowledged
                .borrow()
                .values()
                .cloned()
                .collect();
            for upstream in all {
                // A further restore starts this again for all rows.
                while announcements.clock.era() == era
                    && !announcements.store_retirement(&upstream).await
                {
                    sleep(MIN_RESTORE_BACKOFF.mul_f64(rand::rng().random_range(1.0..2.0))).await;
                }
                let fields: &[(&str, &dyn Display)] =
                    &[("table", &Table::Retired), ("key", &upstream.id())];
                emit(&catalogue::ROW_RESTORED, fields);
            }
        });
    }

    async fn store_retirement(&self, upstream: &UpstreamKey) -> bool {
        let retired = upstream.to_string();
        let put = self.store.put(Table::Retired, upstream.id(), &retired);
        let reason = match timeout(STORE_TIMEOUT, put).await {
            Ok(Ok(())) => return true,
            Ok(Err(error)) => error.to_string(),
            Err(_) => "late".to_owned(),
        };
        emit(
            &catalogue::STORE_FAILED,
            &[("operation", &"record retirement"), ("reason", &reason)],
        );
        false
    }

    /// Returns true if the store, a peer or this node knows that the incarnation retired.
    pub(super) async fn is_retired(&self, upstream: &UpstreamKey) -> bool {
        let row = self.store.row(Table::Retired, upstream.id());
        let reason = match timeout(LOOKUP_TIMEOUT, row).await {
            Ok(Ok(reading)) => match reading.row.as_ref().map(parse_retired) {
                // A restored store may lack the row, so peers are asked too.
                None if reading.era > Era::default() => {
                    return self.is_known_to_peers(upstream).await;
                }
                None => return self.retired.contains(upstream),
                Some(Ok(retired)) => return self.is_retired_by(upstream, retired),
                // The row was not written by a node.
                Some(Err(error)) => error.to_string(),
            },
            Ok(Err(error)) => error.to_string(),
            Err(_) => "late".to_owned(),
        };
        emit(
            &catalogue::STORE_FAILED,
            &[("operation", &"look up upstream"), ("reason", &reason)],
        );
        self.is_known_to_peers(upstream).await
    }

    /// Waits until peers are connected; returns true if one of them reported the retirement.
    async fn is_known_to_peers(&self, upstream: &UpstreamKey) -> bool {
        while self.peers.open_count() == 0 && self.started.elapsed() < MAX_PEER_WAIT {
            sleep(POLL_INTERVAL).await;
        }
        // Peers send the retirements that they know of when a connection opens.
        sleep(POLL_INTERVAL).await;
        self.retired.contains(upstream)
    }

    /// Records the retirement of an incarnation with the same id; returns true if `upstream` is
    /// that incarnation or an earlier one.
    fn is_retired_by(&self, upstream: &UpstreamKey, retired: UpstreamKey) -> bool {
        if upstream.is_older_than(&retired) {
            self.retired.note(upstream.clone(), &Reason::Stored);
        }
        self.retired.note(retired, &Reason::Stored);
        self.retired.contains(upstream)
    }
}

/// Parses a row of the table of retired upstreams.
fn parse_retired(row: &Row) -> Result<UpstreamKey, RowError> {
    let text = match &row.content {
        Content::Text(text) => text,
        Content::Unreadable(reason) => return Err(RowError::Unreadable(reason.clone())),
        Content::Removed => return Err(RowError::Removed),
    };
    let retired: UpstreamKey = text.parse().map_err(RowError::Key)?;
    if retired.id() == row.key {
        Ok(retired)
    } else {
        Err(RowError::IdMismatch)
    }
}
