//! Background tasks of a node: announcing its state, renewing its row, discovering other nodes,
//! preparing for events and saving unknown outcomes.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use monoio::time::sleep;
use rand::Rng as _;
use sailtrack_declaration::Event;
use sailtrack_kernel::{Phase, Service};
use sailtrack_log::{catalogue, emit};
use sailtrack_units::{Incarnation, NodeName, Rate, ServiceName, Timestamp};
use sailtrack_wire::{Demands, Purpose, State};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::configuration::Configuration;
use crate::membership::{Gossip, Membership};
use crate::operator::{settled_key, unknown_key};
use crate::peer::Peers;
use crate::platform::{Backoff, Platform, Precondition, Row};
use crate::settings::Seeds;
use crate::unknown::{Unknown, Unknowns};
use crate::upstream::Upstream;
use sailtrack_admission::Admission;
use sailtrack_settings::Identity;

/// Key prefix of the nodes' rows in the platform's table.
const NODES_PREFIX: &str = "nodes/";
/// How often the node checks whether its own state has changed.
const REFRESH_INTERVAL: Duration = Duration::from_millis(100);
/// Delay after the first failure of an operation on the platform.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// Limit on the delay after repeated failures.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(8);
/// A row is ignored after this many missed renewals.
const MISSED_RENEWALS: u32 = 3;
/// How often the node checks for upcoming events.
const PREPARE_INTERVAL: Duration = Duration::from_secs(1);
/// Connections opened before an event if the upstream's slots are unknown.
const DEFAULT_PRECONNECT: usize = 20;
/// Interval at which unknown outcomes are written to the platform.
const SAVE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of contacts that a node reads at once; they tell it about all others by gossip.
const CONTACT_BATCH: usize = 4;
/// Limit on the delay before the first discovery.
const FIRST_DISCOVERY_DELAY: Duration = Duration::from_millis(200);

/// Returns the key of a node's row.
///
/// The hash spreads the rows evenly, so a scan from a random position finds random nodes.
pub(crate) fn row_key(node: &str) -> String {
    format!("{NODES_PREFIX}{:016x}-{node}", xxh3_64(node.as_bytes()))
}

/// The value of a node's row: where other nodes can reach it.
#[derive(Debug, Serialize, Deserialize)]
struct Contact {
    node: NodeName,
    incarnation: Incarnation,
    address: SocketAddr,
    renewed: Timestamp,
}

/// The background tasks of a node.
pub(crate) struct Maintenance {
    pub(crate) identity: Identity,
    pub(crate) phase: Rc<Cell<Phase>>,
    pub(crate) renew: Duration,
    /// The address advertised to other nodes.
    pub(crate) advertise: SocketAddr,
    pub(crate) seeds: Seeds,
    pub(crate) configuration: Rc<Configuration>,
    pub(crate) platform: Rc<Platform>,
    pub(crate) membership: Rc<Membership>,
    pub(crate) gossip: Rc<Gossip>,
    pub(crate) peers: Rc<Peers>,
    pub(crate) admission: Rc<Admission>,
    pub(crate) upstream: Rc<Upstream>,
    pub(crate) unknowns: Rc<Unknowns>,
}

impl Service for Maintenance {
    const NAME: &'static str = "duties";
}

impl Maintenance {
    /// Updates the state of this node, and gossips about it if it changed.
    pub(crate) async fn refresh(&self) {
        self.apply_reminder();
        let has_new_demands = self.publish_demands();
        let ready = self.upstream.is_ready(Instant::now());
        let was = self.membership.local_member().state();
        let state = match (self.phase.get(), ready) {
            (Phase::Joining, _) => State::Joining,
            (Phase::Serving, true) => State::Serving,
            (Phase::Serving, false) if was == State::Serving => State::Leaving,
            (Phase::Serving, false) => was,
            (Phase::Draining | Phase::Stopped, _) => State::Leaving,
        };
        let slots = self.upstream.slots().unwrap_or(0);
        let is_new_state = self.membership.update_local_state(state, slots);
        if !is_new_state && !has_new_demands {
            return;
        }
        if was == State::Serving && state == State::Leaving {
            self.log_upstream_gone();
            self.gossip.broadcast().await;
        } else {
            self.gossip.spread().await;
        }
    }

    /// Applies what the upstream demanded before this process started, if another node remembers it.
    pub(crate) fn apply_reminder(&self) {
        let Some(life) = self.upstream.life() else {
            return;
        };
        let reminder = self.membership.take_reminder();
        let Some(demands) = reminder.filter(|demands| demands.life == life) else {
            return;
        };
        if demands.leaving {
            self.upstream.mark_leaving();
        }
        if let Some(rate) = demands.rate.and_then(Rate::new) {
            self.admission.limit_rate(Some(rate));
        }
    }

    /// Publishes what the upstream demands; returns true if that changed.
    fn publish_demands(&self) -> bool {
        let may_be_reminded =
            self.phase.get() == Phase::Joining && !self.membership.has_converged();
        let Some(life) = self.upstream.life().filter(|_| !may_be_reminded) else {
            return false;
        };
        self.membership.update_local_demands(Demands {
            life,
            leaving: self.upstream.is_leaving(life),
            rate: self.admission.rate().map(|rate| rate.0),
        })
    }

    fn log_upstream_gone(&self) {
        let reason = match self.upstream.state(Instant::now()) {
            None => "it stopped announcing itself",
            Some(_) => "it is leaving, drained or unreachable",
        };
        emit(&catalogue::UPSTREAM_GONE, &[("reason", &reason)]);
    }

    /// Updates the state regularly until the task ends.
    pub(crate) async fn run_refresh(self: Rc<Self>) {
        loop {
            self.refresh().await;
            sleep(REFRESH_INTERVAL).await;
        }
    }

    /// Renews the node's row until the node drains.
    pub(crate) async fn run_renewal(self: Rc<Self>) {
        let mut backoff = Backoff::new(RETRY_DELAY, MAX_RETRY_DELAY);
        while self.phase.get() < Phase::Draining {
            let pause = if self.renew_row().await {
                backoff.reset();
                self.renew.mul_f64(rand::rng().random_range(0.8..1.0))
            } else {
                backoff.pause(&mut rand::rng())
            };
            sleep(pause).await;
        }
    }

    async fn renew_row(&self) -> bool {
        let contact = Contact {
            node: self.identity.name.clone(),
            incarnation: Incarnation(self.membership.local_member().incarnation),
            address: self.advertise,
            renewed: Timestamp::now(),
        };
        let row = serde_json::to_string(&contact).unwrap_or_default();
        let key = row_key(contact.node.as_str());
        let written = self.platform.write(&key, Precondition::Any, row).await;
        written.is_ok()
    }

    /// Looks for contacts on the platform, at first often and later at the interval at which rows
    /// are renewed.
    ///
    /// Nodes that know others keep looking: only here do groups meet that started apart, or were
    /// partitioned for longer than they keep records of each other.
    pub(crate) async fn run_discovery(self: Rc<Self>) {
        let mut backoff = Backoff::new(FIRST_DISCOVERY_DELAY, self.renew);
        while self.phase.get() < Phase::Draining {
            let pause = backoff.pause(&mut rand::rng());
            let is_alone = self.membership.alive().is_empty();
            sleep(if is_alone {
                pause.min(MAX_RETRY_DELAY)
            } else {
                pause
            })
            .await;
            self.discover().await;
        }
    }

    /// Pings a few contacts, read from a random position in the table on, and continued from its
    /// start if that position is near the end.
    async fn discover(&self) {
        let from = format!("{NODES_PREFIX}{:016x}", rand::rng().random::<u64>());
        let mut missing = CONTACT_BATCH;
        for from in [from.as_str(), NODES_PREFIX] {
            let Ok(rows) = self.platform.scan_page(NODES_PREFIX, from, missing).await else {
                return;
            };
            self.ping_contacts(&rows).await;
            missing -= rows.len().min(missing);
            if missing == 0 {
                break;
            }
        }
    }

    /// Pings the seeds from the settings until another node is known.
    pub(crate) async fn run_seed_pings(self: Rc<Self>) {
        while self.membership.alive().is_empty() {
            for seed in &self.seeds {
                self.ping(*seed).await;
            }
            sleep(RETRY_DELAY).await;
        }
    }

    async fn ping(&self, address: SocketAddr) {
        let sequence = self.gossip.next_sequence();
        let datagram = self.gossip.datagram(Purpose::Ping, sequence);
        self.gossip.send_datagram(&datagram, address).await;
    }

    /// Pings the contacts that are not known to be alive; only their own answer makes them members.
    async fn ping_contacts(&self, rows: &[Row]) {
        let now = Timestamp::now();
        let max_age = self.renew * MISSED_RENEWALS;
        let contacts = rows
            .iter()
            .filter_map(|row| serde_json::from_str::<Contact>(&row.value).ok())
            .filter(|contact| now.since(contact.renewed) < max_age);
        for contact in contacts {
            if !self.is_known(&contact) {
                self.ping(contact.address).await;
            }
        }
    }

    fn is_known(&self, contact: &Contact) -> bool {
        if contact.node == self.identity.name {
            return true;
        }
        let known = self.membership.find(&contact.node);
        known.is_some_and(|(peer, state)| {
            peer.incarnation == contact.incarnation && state != State::Dead
        })
    }

    /// Opens connections before upcoming events until the task ends.
    pub(crate) async fn run_event_preparation(self: Rc<Self>) {
        loop {
            let current = self.configuration.current();
            let now = Timestamp::now();
            let upcoming = current
                .declaration
                .events
                .iter()
                .filter(|event| event.is_preparing_or_active(now));
            for event in upcoming {
                self.prepare(event).await;
            }
            sleep(PREPARE_INTERVAL).await;
        }
    }

    async fn prepare(&self, event: &Event) {
        if event.services.contains(&self.identity.service) {
            let limit = self.admission.limit(Instant::now());
            let slots = self
                .upstream
                .slots()
                .map_or(DEFAULT_PRECONNECT, |slots| slots as usize);
            self.upstream.preconnect(slots.min(limit)).await;
        }
        for service in &event.services {
            self.connect(service).await;
        }
    }

    async fn connect(&self, service: &ServiceName) {
        let peers = self.membership.serving(service);
        let same_domain = peers
            .iter()
            .filter(|peer| peer.domain == self.identity.domain);
        for peer in same_domain {
            self.peers.preconnect(peer).await;
        }
    }

    /// Writes one unknown outcome, and removes it again if it has been settled meanwhile; returns
    /// false if the write failed.
    ///
    /// A settlement is written before the row of the unknown outcome is removed, so checking for it
    /// after the write misses none.
    async fn save_unknown(&self, unknown: Unknown) -> bool {
        let key = unknown_key(&unknown.ticket);
        let row = serde_json::to_string(&unknown).unwrap_or_default();
        let written = self.platform.write(&key, Precondition::Any, row).await;
        if written.is_err() {
            self.unknowns.put_back(unknown);
            return false;
        }
        let settled = self.platform.read(&settled_key(&unknown.ticket)).await;
        if let Ok(Some(_)) = settled {
            self.unknowns.forget(&unknown.ticket);
        }
        true
    }

    /// Writes all unsaved outcomes; stops and returns false at the first failure.
    async fn save_unknowns(&self) -> bool {
        let mut unsaved = self.unknowns.drain_unsaved().into_iter();
        while let Some(unknown) = unsaved.next() {
            if !self.save_unknown(unknown).await {
                unsaved.for_each(|rest| self.unknowns.put_back(rest));
                return false;
            }
        }
        true
    }

    /// Writes unknown outcomes to the platform until the task ends.
    pub(crate) async fn run_unknown_saving(self: Rc<Self>) {
        let mut backoff = Backoff::new(SAVE_INTERVAL, MAX_RETRY_DELAY);
        loop {
            if !self.save_unknowns().await {
                sleep(backoff.pause(&mut rand::rng())).await;
                continue;
            }
            backoff.reset();
            for ticket in self.unknowns.drain_resolved() {
                // A row that could not be removed is listed until an operator settles it.
                let _ = self.platform.remove(&unknown_key(&ticket)).await;
            }
            sleep(SAVE_INTERVAL).await;
        }
    }
}
