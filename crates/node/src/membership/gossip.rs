//! Gossip by datagrams: probes, membership updates and the version of the configuration.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::channel::oneshot;
use monoio::net::udp::UdpSocket;
use rand::seq::IndexedRandom as _;
use sailtrack_kernel::Service;
use sailtrack_units::{ConfigVersion, NodeName};
use sailtrack_wire::{Datagram, MAX_DATAGRAM, Purpose, decode_datagram, encode_datagram};

use crate::configuration::Configuration;
use crate::membership::{Membership, Peer};
use crate::metrics::Metrics;
use crate::settings::Detector;

/// Number of members to which an update is sent at once.
const FAN_OUT: usize = 4;
/// A relayed probe is forgotten after this many further datagrams.
const RELAY_RETENTION: u64 = 1000;
/// Minimum interval between notices to a member that has an older configuration.
const STALE_NOTICE_INTERVAL: Duration = Duration::from_millis(200);

/// Sends and receives the datagrams of the membership protocol.
pub(crate) struct Gossip {
    pub(crate) detector: Detector,
    pub(crate) membership: Rc<Membership>,
    pub(crate) configuration: Rc<Configuration>,
    pub(crate) metrics: Rc<Metrics>,
    socket: UdpSocket,
    sequence: Cell<u64>,
    pub(crate) pending: RefCell<HashMap<u64, oneshot::Sender<()>>>,
    relays: RefCell<HashMap<u64, (SocketAddr, u64)>>,
    last_notices: RefCell<HashMap<NodeName, Instant>>,
    versions: RefCell<HashMap<NodeName, ConfigVersion>>,
}

impl Service for Gossip {
    const NAME: &'static str = "gossip";
}

impl Gossip {
    pub(crate) fn new(
        detector: Detector,
        socket: UdpSocket,
        membership: Rc<Membership>,
        configuration: Rc<Configuration>,
        metrics: Rc<Metrics>,
    ) -> Self {
        Self {
            detector,
            membership,
            configuration,
            metrics,
            socket,
            sequence: Cell::new(0),
            pending: RefCell::default(),
            relays: RefCell::default(),
            last_notices: RefCell::default(),
            versions: RefCell::default(),
        }
    }

    /// Receives datagrams until the task ends.
    pub(crate) async fn receive(self: Rc<Self>) {
        let mut buffer = vec![0; MAX_DATAGRAM];
        loop {
            let (result, filled) = self.socket.recv_from(buffer).await;
            buffer = filled;
            let Ok((length, _)) = result else {
                continue;
            };
            self.metrics.record_control_received(length);
            if let Ok(datagram) = decode_datagram(&buffer[..length]) {
                self.handle_datagram(datagram).await;
            }
            buffer.resize(MAX_DATAGRAM, 0);
        }
    }

    async fn handle_datagram(&self, datagram: Datagram) {
        let now = Instant::now();
        let Some(sender) = &datagram.sender else {
            return;
        };
        let Ok(peer) = Peer::try_from(sender) else {
            return;
        };
        let mut changed = self.membership.merge(sender, now);
        for member in &datagram.members {
            changed |= self.membership.merge(member, now);
        }
        let differs = datagram.digest != self.membership.digest();
        if !differs {
            self.membership.mark_converged();
        }
        self.compare_version(&peer, ConfigVersion(datagram.config_version))
            .await;
        match datagram.purpose() {
            Purpose::Ping => {
                self.send(Purpose::Ack, datagram.sequence, &peer, differs)
                    .await;
                if changed {
                    self.spread().await;
                }
            }
            Purpose::Ack => {
                self.handle_ack(datagram.sequence, differs).await;
                if changed && differs {
                    // A member with more updates is pinged again at once.
                    self.sync(&peer).await;
                }
            }
            Purpose::PingRequest => self.relay_ping(&datagram, &peer).await,
            Purpose::VersionQuery => {
                self.send(Purpose::VersionReply, datagram.sequence, &peer, false)
                    .await;
            }
            Purpose::Rumor if changed => self.spread().await,
            Purpose::Rumor | Purpose::VersionReply => {}
        }
    }

    /// Has a newer configuration fetched, or notifies the sender that its own is outdated.
    async fn compare_version(&self, peer: &Peer, version: ConfigVersion) {
        self.versions
            .borrow_mut()
            .insert(peer.name.clone(), version);
        let own = self.configuration.version();
        if version > own {
            self.configuration.report_newer(version, peer);
            return;
        }
        if version < own && self.may_send_notice(&peer.name) {
            self.send(Purpose::Rumor, 0, peer, false).await;
        }
    }

    fn may_send_notice(&self, name: &NodeName) -> bool {
        let now = Instant::now();
        let mut last_notices = self.last_notices.borrow_mut();
        let due = last_notices
            .get(name)
            .is_none_or(|last| now.saturating_duration_since(*last) >= STALE_NOTICE_INTERVAL);
        if due {
            last_notices.insert(name.clone(), now);
        }
        due
    }

    async fn handle_ack(&self, sequence: u64, differs: bool) {
        let waiter = self.pending.borrow_mut().remove(&sequence);
        if let Some(waiter) = waiter {
            // The probe may have timed out.
            let _ = waiter.send(());
        }
        let relay = self.relays.borrow_mut().remove(&sequence);
        if let Some((origin, sequence)) = relay {
            let mut datagram = self.datagram(Purpose::Ack, sequence);
            self.membership.fill(&mut datagram, differs);
            self.send_datagram(&datagram, origin).await;
        }
    }

    /// Probes a member on behalf of a node that could not reach it.
    async fn relay_ping(&self, datagram: &Datagram, origin: &Peer) {
        let Ok(name) = datagram.target.parse() else {
            return;
        };
        let Some((target, _)) = self.membership.find(&name) else {
            return;
        };
        let sequence = self.next_sequence();
        self.record_relay(sequence, origin.address, datagram.sequence);
        self.send(Purpose::Ping, sequence, &target, false).await;
    }

    fn record_relay(&self, sequence: u64, origin: SocketAddr, origin_sequence: u64) {
        let mut relays = self.relays.borrow_mut();
        relays.retain(|old, _| old + RELAY_RETENTION > sequence);
        relays.insert(sequence, (origin, origin_sequence));
    }

    /// Sends updates to a few random members at once.
    pub(crate) async fn spread(&self) {
        let alive = self.membership.alive();
        let selected: Vec<Rc<Peer>> = alive
            .choose_multiple(&mut rand::rng(), FAN_OUT)
            .cloned()
            .collect();
        for peer in selected {
            self.send(Purpose::Rumor, 0, &peer, false).await;
        }
    }

    /// Sends updates to every live member at once.
    pub(crate) async fn broadcast(&self) {
        for peer in self.membership.alive() {
            self.send(Purpose::Rumor, 0, &peer, false).await;
        }
    }

    /// Asks every live member for its configuration version.
    pub(crate) async fn query_versions(&self) {
        for peer in self.membership.alive() {
            self.send(Purpose::VersionQuery, 0, &peer, false).await;
        }
    }

    /// Returns the configuration version that a member last reported.
    pub(crate) fn version_of(&self, name: &NodeName) -> ConfigVersion {
        let versions = self.versions.borrow();
        versions.get(name).copied().unwrap_or_default()
    }

    pub(crate) fn next_sequence(&self) -> u64 {
        self.sequence.set(self.sequence.get() + 1);
        self.sequence.get()
    }

    pub(crate) fn datagram(&self, purpose: Purpose, sequence: u64) -> Datagram {
        Datagram {
            purpose: purpose.into(),
            sequence,
            sender: Some(self.membership.local_member()),
            config_version: self.configuration.version().0,
            digest: self.membership.digest(),
            target: String::new(),
            members: Vec::new(),
        }
    }

    pub(crate) async fn send(&self, purpose: Purpose, sequence: u64, peer: &Peer, differs: bool) {
        let mut datagram = self.datagram(purpose, sequence);
        // A member that learns that it is suspected can refute it.
        datagram
            .members
            .extend(self.membership.notice_for(&peer.name));
        self.membership.fill(&mut datagram, differs);
        self.send_datagram(&datagram, peer.address).await;
    }

    /// Pings a member with as many records as fit, without waiting for the answer.
    pub(crate) async fn sync(&self, peer: &Peer) {
        let sequence = self.next_sequence();
        self.send(Purpose::Ping, sequence, peer, true).await;
    }

    pub(crate) async fn send_datagram(&self, datagram: &Datagram, address: SocketAddr) {
        let bytes = encode_datagram(datagram);
        self.metrics.record_control_sent(bytes.len());
        // A datagram that cannot be sent counts as lost.
        let _ = self.socket.send_to(bytes, address).await;
    }
}
