//! Records which incarnations of this node's upstream retired, and looks them up.

use std::rc::Rc;
use std::time::Duration;

use displaydoc::Display;
use futures::future::{Either, select};
use monoio::time::{sleep, timeout};
use sailtrack_log::{catalogue, emit};
use sailtrack_net::task;
use sailtrack_units::Era;

use super::error::RowError;
use super::{Announcements, POLL_INTERVAL};
use crate::key::UpstreamKey;
use crate::retired::Reason;
use crate::store::{Content, Lookup, Row, Table};

/// Timeout for the acknowledgement of a retirement. The upstream itself gives up after 1 s.
const RETIRE_TIMEOUT: Duration = Duration::from_millis(900);
/// Timeout for looking up in the store whether an upstream retired.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(800);
/// How long after its start a node waits for peers that may know of a retirement, before it accepts
/// a heartbeat.
const MAX_PEER_WAIT: Duration = Duration::from_secs(3);

/// Who told whether an upstream retired.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
enum Source {
    /// store
    Store,
    /// peers
    Peers,
}

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
        if self.rows.is_written(&key) {
            return true;
        }
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

    /// Records a retirement in the store and on peers. The peers suffice until the store responds.
    async fn record_retirement(&self, upstream: &UpstreamKey) -> bool {
        let stored = std::pin::pin!(self.rows.write(upstream));
        let replicated = std::pin::pin!(self.peers.replicate_retirement(upstream));
        let (is_stored, copies) = match select(stored, replicated).await {
            Either::Left((true, _)) => (true, 0),
            Either::Left((false, replicated)) => (false, replicated.await),
            Either::Right((copies, stored)) => (stored.await, copies),
        };
        if !is_stored && copies == 0 {
            return false;
        }
        let store = if is_stored { "written" } else { "missing" };
        emit(
            &catalogue::RETIREMENT_RECORDED,
            &[
                ("upstream", upstream),
                ("store", &store),
                ("copies", &copies),
            ],
        );
        true
    }

    /// Applies a retirement that this node has learned of. A peer may know of one that an earlier
    /// process of this node acknowledged and could not write to the store.
    pub(crate) fn handle_retired(&self, upstream: &UpstreamKey, reason: &Reason) {
        self.upstream.withdraw(upstream, reason);
        let named = self.named.borrow();
        let is_own = named
            .as_ref()
            .is_some_and(|named| named.is_same_incarnation(upstream));
        if is_own && matches!(reason, Reason::Told(_)) {
            self.rows.write_later(upstream);
        }
    }

    /// Writes the rows of retirements that the store does not have, forever.
    pub(crate) async fn write_rows(self: Rc<Self>) {
        self.rows.write_missing().await;
    }

    /// Returns true if the store, a peer or this node knows that the incarnation retired.
    pub(super) async fn is_retired(&self, upstream: &UpstreamKey) -> bool {
        let (source, is_retired) = match self.read_row(upstream).await {
            Some(Lookup { row: Some(row), .. }) => {
                (Source::Store, self.is_retired_by(upstream, &row))
            }
            // A restored store may lack the row, so peers are asked too.
            Some(Lookup { era, .. }) if era == Era::default() => {
                (Source::Store, self.is_known_retired(upstream))
            }
            _ => (Source::Peers, self.is_known_to_peers(upstream).await),
        };
        let finding = if is_retired { "retired" } else { "unknown" };
        emit(
            &catalogue::UPSTREAM_LOOKED_UP,
            &[
                ("upstream", upstream),
                ("source", &source),
                ("finding", &finding),
            ],
        );
        is_retired
    }

    /// Reads the row of an upstream; returns `None` if the store or the row cannot be read.
    async fn read_row(&self, upstream: &UpstreamKey) -> Option<Lookup> {
        let reading = self.store.row(Table::Retired, upstream.id());
        let reason = match timeout(LOOKUP_TIMEOUT, reading).await {
            Ok(Ok(lookup)) => match lookup.row.as_ref().map(parse_retired) {
                // The row was not written by a node.
                Some(Err(error)) => error.to_string(),
                _ => return Some(lookup),
            },
            Ok(Err(error)) => error.to_string(),
            Err(_) => "late".to_owned(),
        };
        emit(
            &catalogue::STORE_FAILED,
            &[("operation", &"look up upstream"), ("reason", &reason)],
        );
        None
    }

    /// Records the incarnation that the upstream names. If an earlier process of this node
    /// acknowledged its retirement, the store may lack the row.
    pub(super) fn record_name(&self, upstream: &UpstreamKey) {
        self.named.replace(Some(upstream.clone()));
        self.is_known_retired(upstream);
    }

    /// Returns true if this node knows that the incarnation retired. The store has no row of it.
    fn is_known_retired(&self, upstream: &UpstreamKey) -> bool {
        let known = self.retired.find(upstream);
        if let Some(known) = &known {
            self.rows.write_later(known);
        }
        known.is_some()
    }

    /// Waits until peers are connected; returns true if one of them reported the retirement.
    async fn is_known_to_peers(&self, upstream: &UpstreamKey) -> bool {
        while self.peers.open_count() == 0 && self.started.elapsed() < MAX_PEER_WAIT {
            sleep(POLL_INTERVAL).await;
        }
        // Peers send the retirements that they know of when a connection opens.
        sleep(POLL_INTERVAL).await;
        self.is_known_retired(upstream)
    }

    /// Applies the row of an incarnation with the same id; returns true if `upstream` is
    /// that incarnation or an earlier one.
    fn is_retired_by(&self, upstream: &UpstreamKey, row: &Row) -> bool {
        if let Ok(retired) = parse_retired(row) {
            self.rows.record_written(&retired);
            if upstream.is_older_than(&retired) {
                self.retired.note(upstream, &Reason::Stored);
            }
            self.retired.note(&retired, &Reason::Stored);
        }
        self.retired.contains(upstream)
    }
}

/// Parses a row of the table of retired upstreams.
pub(super) fn parse_retired(row: &Row) -> Result<UpstreamKey, RowError> {
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
