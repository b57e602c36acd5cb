//! What a node does by itself, without a call: announcing, renewing, discovering, preparing.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use monoio::time::sleep;
use rand::Rng as _;
use sailtrack_declaration::Event;
use sailtrack_kernel::{Phase, Service};
use sailtrack_log::{catalogue, emit};
use sailtrack_units::{Incarnation, NodeName, ServiceName, Timestamp};
use sailtrack_wire::{Purpose, State};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::configuration::Configuration;
use crate::membership::{Gossip, Membership};
use crate::operator::{settled_key, unknown_key};
use crate::peer::Peers;
use crate::platform::{Backoff, Expect, Platform, Row};
use crate::settings::Seeds;
use crate::unknown::{Unknown, Unknowns};
use crate::upstream::Upstream;
use sailtrack_admission::Admission;
use sailtrack_settings::Identity;

/// Where the nodes' rows stand in the platform's table.
const NODES: &str = "nodes/";
/// How often the node looks whether its own state has changed.
const REFRESH: Duration = Duration::from_millis(100);
/// The pause after an operation on the platform that failed once.
const RETRY_PAUSE: Duration = Duration::from_secs(1);
/// The longest pause after many such failures.
const LONGEST_PAUSE: Duration = Duration::from_secs(8);
/// A row that was not renewed for this many renewals is ignored.
const MISSED_RENEWALS: u32 = 3;
/// How often the node looks whether an event is near.
const PREPARE_PAUSE: Duration = Duration::from_secs(1);
/// The connections opened before an event to an upstream with unknown slots.
const DEFAULT_WARM: usize = 20;
/// How often unknown outcomes are written to the platform.
const SAVE_PAUSE: Duration = Duration::from_secs(1);

/// How many contacts a node reads at once; they tell it of all others.
const CONTACTS: usize = 4;
/// The greatest pause before a node looks for contacts for the first time.
const FIRST_LOOK: Duration = Duration::from_millis(200);

/// Returns the key of a node's row.
///
/// The hash spreads the rows evenly, so a scan from a random place finds random nodes.
pub(crate) fn row_key(node: &str) -> String {
    format!("{NODES}{:016x}-{node}", xxh3_64(node.as_bytes()))
}

/// What stands in the row of a node: where others can find it.
#[derive(Debug, Serialize, Deserialize)]
struct Contact {
    node: NodeName,
    incarnation: Incarnation,
    address: SocketAddr,
    renewed: Timestamp,
}

/// What a node does by itself.
pub(crate) struct Duties {
    pub(crate) identity: Identity,
    pub(crate) phase: Rc<Cell<Phase>>,
    pub(crate) renew: Duration,
    /// The address that other nodes are told.
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

impl Service for Duties {
    const NAME: &'static str = "duties";
}

impl Duties {
    /// Says what state the node is in, and spreads it if that is new.
    pub(crate) async fn refresh(&self) {
        let ready = self.upstream.is_ready(Instant::now());
        let was = self.membership.me().state();
        let state = match (self.phase.get(), ready) {
            (Phase::Joining, _) => State::Joining,
            (Phase::Serving, true) => State::Serving,
            (Phase::Serving, false) if was == State::Serving => State::Leaving,
            (Phase::Serving, false) => was,
            (Phase::Draining | Phase::Stopped, _) => State::Leaving,
        };
        let slots = self.upstream.slots().unwrap_or(0);
        if !self.membership.say(state, slots) {
            return;
        }
        if was == State::Serving && state == State::Leaving {
            self.note_gone();
            self.gossip.tell_all().await;
        } else {
            self.gossip.spread().await;
        }
    }

    fn note_gone(&self) {
        let reason = match self.upstream.state(Instant::now()) {
            None => "it stopped announcing itself",
            Some(_) => "it is leaving, drained or unreachable",
        };
        emit(&catalogue::UPSTREAM_GONE, &[("reason", &reason)]);
    }

    /// Refreshes the state for as long as the task lives.
    pub(crate) async fn keep_refreshing(self: Rc<Self>) {
        loop {
            self.refresh().await;
            sleep(REFRESH).await;
        }
    }

    /// Renews the node's row, for as long as it does not leave.
    pub(crate) async fn keep_renewing(self: Rc<Self>) {
        let mut backoff = Backoff::new(RETRY_PAUSE, LONGEST_PAUSE);
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
            incarnation: Incarnation(self.membership.me().incarnation),
            address: self.advertise,
            renewed: Timestamp::now(),
        };
        let row = serde_json::to_string(&contact).unwrap_or_default();
        let key = row_key(contact.node.as_str());
        let written = self.platform.write(&key, Expect::Anything, row).await;
        written.is_ok()
    }

    /// Looks for contacts on the platform, at first often and then as often as rows are renewed.
    ///
    /// Nodes that have found some others go on looking, since groups that started apart, or
    /// were cut off for longer than they remember each other, find together only here.
    pub(crate) async fn keep_discovering(self: Rc<Self>) {
        let mut backoff = Backoff::new(FIRST_LOOK, self.renew);
        while self.phase.get() < Phase::Draining {
            let pause = backoff.pause(&mut rand::rng());
            let alone = self.membership.alive().is_empty();
            sleep(if alone {
                pause.min(LONGEST_PAUSE)
            } else {
                pause
            })
            .await;
            self.discover().await;
        }
    }

    /// Takes in a few contacts from a random place in the table on, and from its start if that
    /// place is near the end.
    async fn discover(&self) {
        let from = format!("{NODES}{:016x}", rand::rng().random::<u64>());
        let mut missing = CONTACTS;
        for from in [from.as_str(), NODES] {
            let Ok(rows) = self.platform.scan_some(NODES, from, missing).await else {
                return;
            };
            self.ping_contacts(&rows).await;
            missing -= rows.len().min(missing);
            if missing == 0 {
                break;
            }
        }
    }

    /// Asks the seeds from the settings for as long as no other node is known.
    pub(crate) async fn keep_asking_seeds(self: Rc<Self>) {
        while self.membership.alive().is_empty() {
            for seed in &self.seeds {
                self.ping(*seed).await;
            }
            sleep(RETRY_PAUSE).await;
        }
    }

    async fn ping(&self, address: SocketAddr) {
        let sequence = self.gossip.next_sequence();
        let datagram = self.gossip.datagram(Purpose::Ping, sequence);
        self.gossip.send_datagram(&datagram, address).await;
    }

    /// Pings the contacts that are not known to live; only their own answer makes them members.
    async fn ping_contacts(&self, rows: &[Row]) {
        let now = Timestamp::now();
        let longest = self.renew * MISSED_RENEWALS;
        let contacts = rows
            .iter()
            .filter_map(|row| serde_json::from_str::<Contact>(&row.value).ok())
            .filter(|contact| now.since(contact.renewed) < longest);
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

    /// Opens connections before an event, for as long as the task lives.
    pub(crate) async fn keep_preparing(self: Rc<Self>) {
        loop {
            let current = self.configuration.current();
            let now = Timestamp::now();
            let near = current
                .declaration
                .events
                .iter()
                .filter(|event| event.is_preparing_or_active(now));
            for event in near {
                self.prepare(event).await;
            }
            sleep(PREPARE_PAUSE).await;
        }
    }

    async fn prepare(&self, event: &Event) {
        if event.services.contains(&self.identity.service) {
            let limit = self.admission.limit(Instant::now());
            let slots = self
                .upstream
                .slots()
                .map_or(DEFAULT_WARM, |slots| slots as usize);
            self.upstream.warm(slots.min(limit)).await;
        }
        for service in &event.services {
            self.connect(service).await;
        }
    }

    async fn connect(&self, service: &ServiceName) {
        let peers = self.membership.serving(service);
        let near = peers
            .iter()
            .filter(|peer| peer.domain == self.identity.domain);
        for peer in near {
            self.peers.warm(peer).await;
        }
    }

    /// Writes one unknown outcome, and takes it back if it has been settled meanwhile; returns
    /// false if it could not be written.
    ///
    /// A settlement stands in the table before its row here is removed, so
    /// looking after the write misses none.
    async fn save_unknown(&self, unknown: Unknown) -> bool {
        let key = unknown_key(&unknown.ticket);
        let row = serde_json::to_string(&unknown).unwrap_or_default();
        let written = self.platform.write(&key, Expect::Anything, row).await;
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

    /// Writes all unknown outcomes up to the first that cannot be written; returns false then.
    async fn save_unknowns(&self) -> bool {
        let mut unsaved = self.unknowns.take_unsaved().into_iter();
        while let Some(unknown) = unsaved.next() {
            if !self.save_unknown(unknown).await {
                unsaved.for_each(|rest| self.unknowns.put_back(rest));
                return false;
            }
        }
        true
    }

    /// Writes unknown outcomes to the platform, for as long as the task lives.
    pub(crate) async fn keep_saving_unknowns(self: Rc<Self>) {
        let mut backoff = Backoff::new(SAVE_PAUSE, LONGEST_PAUSE);
        loop {
            if !self.save_unknowns().await {
                sleep(backoff.pause(&mut rand::rng())).await;
                continue;
            }
            backoff.reset();
            for ticket in self.unknowns.take_resolved() {
                // A row that stays is shown until an operator settles it.
                let _ = self.platform.remove(&unknown_key(&ticket)).await;
            }
            sleep(SAVE_PAUSE).await;
        }
    }
}
