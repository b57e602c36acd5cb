//! Handles presence messages, evidence and clock readings from peers.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use futures::channel::mpsc;
use monoio::time::sleep;
use sailtrack_quarantine::Execution;
use sailtrack_units::{ConfigVersion, Era, Moment, NodeName};
use sailtrack_wire::{Evidence, Member as MemberMessage, Presence};

use crate::clock;
use crate::configuration::{Current, Provider};
use crate::directory::{Directory, Member};
use crate::freshness::Freshness;
use crate::key::UpstreamKey;
use crate::peer::Delegate;
use crate::quarantine::Quarantine;
use crate::retired::{Reason, Retired};
use crate::status::Status;
use crate::store::{Clock, StoreTime};

/// Shortest interval between two presence messages. A frozen node is detected after three of them.
const MIN_INTERVAL: Duration = Duration::from_millis(300);
/// Interval per known node. Each node receives at most 100 messages per second from all others.
const INTERVAL_PER_NODE: Duration = Duration::from_millis(10);

/// Applies the messages of peers to the state of this node.
pub(crate) struct Handler {
    pub(crate) directory: Rc<Directory>,
    pub(crate) current: Rc<Current>,
    pub(crate) retired: Rc<Retired>,
    pub(crate) status: Rc<Status>,
    pub(crate) quarantine: Rc<Quarantine>,
    pub(crate) freshness: Rc<Freshness>,
    pub(crate) clock: Rc<Clock>,
    /// Queue of peers that offer a newer configuration.
    pub(crate) providers: RefCell<mpsc::Sender<Provider>>,
}

impl Delegate for Handler {
    fn heartbeat_interval(&self) -> Duration {
        interval(self.directory.len())
    }

    fn local_member(&self) -> MemberMessage {
        self.status.local_member()
    }

    fn handle_presence(&self, from: &NodeName, presence: &Presence) {
        for upstream in &presence.retired {
            // Peers only propagate keys that they could parse. A key that cannot be parsed here
            // cannot match an upstream of this node.
            if let Ok(key) = upstream.parse::<UpstreamKey>() {
                self.retired.note(&key, &Reason::Told(from.clone()));
            }
        }
        for known in &presence.known {
            // A node whose entry cannot be parsed is added when it connects to this one.
            if let Ok(member) = Member::from_wire(known) {
                self.directory.upsert(member);
            }
        }
        let version = ConfigVersion(presence.config_version);
        let now = clock::now();
        self.freshness.observe_version(version);
        let is_current_era = self.clock.observe_era(Era(presence.store_era), now);
        if presence.config_as_of_ms > 0 && is_current_era {
            let as_of = StoreTime::from_millis(presence.config_as_of_ms);
            let in_force = self.current.version();
            self.freshness.confirm(version, as_of, in_force, now);
        }
        if version > self.current.version() {
            let provider = Provider {
                name: from.clone(),
                version,
                is_same_domain: self.directory.is_same_domain(from),
            };
            // A full queue holds other providers, and the peer repeats its version with the next
            // presence message.
            let _ = self.providers.borrow_mut().try_send(provider);
        }
    }

    fn wants_store_time(&self) -> bool {
        self.freshness.is_bounded() && self.clock.is_stale(clock::now())
    }

    fn handle_store_time(&self, era: Era, at: Moment, bound: StoreTime) {
        if self.clock.observe_era(era, clock::now()) {
            self.clock.record_peer_bound(at, bound);
        }
    }

    fn handle_evidence(&self, evidence: &Evidence) {
        self.quarantine.merge(evidence);
    }

    fn handle_leaving(&self, upstream: &UpstreamKey) {
        self.retired.note(upstream, &Reason::Response);
    }

    fn is_retired(&self, upstream: &UpstreamKey) -> bool {
        self.retired.contains(upstream)
    }

    fn handle_crash(&self, upstream: &UpstreamKey, executions: &[Execution]) {
        if !self.retired.contains(upstream) {
            self.quarantine.record_remote_crash(upstream, executions);
        }
    }
}

fn interval(nodes: usize) -> Duration {
    let nodes = u32::try_from(nodes).unwrap_or(u32::MAX);
    MIN_INTERVAL.max(INTERVAL_PER_NODE * nodes)
}

/// Sends presence messages to all connected peers at the heartbeat interval, forever.
pub(crate) async fn publish_periodically(status: Rc<Status>, directory: Rc<Directory>) {
    loop {
        sleep(interval(directory.len())).await;
        status.publish();
    }
}
