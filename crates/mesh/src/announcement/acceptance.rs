//! Decides when an incarnation of the upstream that says that it is ready gets requests.

use std::fmt;
use std::rc::Rc;
use std::time::{Duration, Instant};

use monoio::time::sleep;
use sailtrack_log::{catalogue, emit};
use sailtrack_net::task;

use super::Announcements;
use super::evidence::Answer;
use super::health::{Health, HealthError};
use crate::clock;
use crate::dialect::Heartbeat;
use crate::key::UpstreamKey;

/// How long after its start a node waits for a first peer before its upstream gets requests. Peers
/// connect within about 50 ms of reading the node's row, and tell it which requests are in
/// quarantine, so that its upstream does not receive a request that all other nodes hold back.
const PEER_WAIT: Duration = Duration::from_millis(300);
/// How often to check for a first peer meanwhile.
const PEER_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// How much earlier than this process peers must have started in order to know of all retirements
/// whose upstreams may still have heartbeats on their way. The clocks of the instances that tell
/// this may differ by seconds.
const MIN_PEER_AGE: Duration = Duration::from_secs(15);
/// Timeout for the health check that decides whether a heartbeat is believed. The next heartbeat
/// asks again.
const VERIFICATION_TIMEOUT: Duration = Duration::from_millis(300);
/// Time to read heartbeats that arrived while the node itself was suspended or blocked.
const READ_TIME: Duration = Duration::from_millis(50);

/// From what an incarnation is known to be ready.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Origin {
    Heartbeat,
    HealthCheck,
}

impl Announcements {
    /// Handles a heartbeat of an upstream that accepts requests.
    pub(super) fn handle_ready(self: &Rc<Self>, heartbeat: Heartbeat) {
        self.evidence.borrow_mut().record_heartbeat(
            &heartbeat.upstream,
            heartbeat.sequence,
            clock::now(),
        );
        self.record_name(&heartbeat.upstream);
        let now = Instant::now();
        if self.upstream.is_new_incarnation(&heartbeat, now) {
            self.consider(heartbeat, Origin::Heartbeat);
        } else {
            self.upstream.handle_heartbeat(&heartbeat, now);
        }
    }

    /// Accepts an incarnation that is new to this process, if it is ready now and neither the store
    /// nor a peer reports it as retired.
    pub(super) fn consider(self: &Rc<Self>, heartbeat: Heartbeat, origin: Origin) {
        // At a first start this process knows of all retirements.
        if self.first_start && !self.is_contradicted_by(&heartbeat) {
            self.upstream.handle_heartbeat(&heartbeat, Instant::now());
            return;
        }
        if self.is_looking_up.replace(true) {
            return;
        }
        let announcements = Rc::clone(self);
        task::spawn("upstream lookup", async move {
            let ready = match origin {
                Origin::HealthCheck => Some(heartbeat),
                Origin::Heartbeat => announcements.verify(heartbeat).await,
            };
            if let Some(heartbeat) = ready {
                announcements.accept(heartbeat).await;
            }
            announcements.is_looking_up.set(false);
        });
    }

    async fn accept(self: &Rc<Self>, heartbeat: Heartbeat) {
        let upstream = &heartbeat.upstream;
        if !self.first_start && self.is_retired(upstream).await {
            return;
        }
        self.wait_for_peer().await;
        self.upstream.handle_heartbeat(&heartbeat, Instant::now());
        if self.upstream.is_current(upstream) && self.is_in_doubt() {
            self.require_confirmation(upstream);
        }
    }

    /// Returns the incarnation that is ready now: the sender of the heartbeat, or another one that
    /// answers a health check in its place.
    async fn verify(self: &Rc<Self>, heartbeat: Heartbeat) -> Option<Heartbeat> {
        if !self.needs_proof(&heartbeat) {
            return Some(heartbeat);
        }
        let health = self.check_health(VERIFICATION_TIMEOUT).await;
        if let Ok(health) = &health
            && health.is_leaving(&heartbeat.upstream)
        {
            self.handle_leaving(&heartbeat.upstream);
            return None;
        }
        let answer = answer_of(&heartbeat.upstream, &health);
        let is_enough = self
            .evidence
            .borrow()
            .is_enough(&heartbeat.upstream, answer);
        // Peers may have connected, and heartbeats arrived, during the check.
        if is_enough || !self.needs_proof(&heartbeat) {
            return Some(heartbeat);
        }
        self.log_unproven(&heartbeat, &health);
        let answering = health.ok().and_then(|health| self.heartbeat_of(&health))?;
        let is_believed = self.upstream.is_unknown()
            && self
                .evidence
                .borrow()
                .is_enough(&answering.upstream, Answer::Ready);
        is_believed.then_some(answering)
    }

    fn log_unproven(&self, heartbeat: &Heartbeat, health: &Result<Health, HealthError>) {
        let count = self.evidence.borrow().count(&heartbeat.upstream);
        let health: &dyn fmt::Display = match health {
            Ok(health) => health,
            Err(error) => error,
        };
        emit(
            &catalogue::UPSTREAM_UNPROVEN,
            &[
                ("upstream", &heartbeat.upstream),
                ("heartbeats", &count),
                ("health", health),
            ],
        );
    }

    /// Returns true if a heartbeat alone does not show that its sender accepts requests now.
    fn needs_proof(&self, heartbeat: &Heartbeat) -> bool {
        let is_proven = self.evidence.borrow().is_proven(&heartbeat.upstream);
        !is_proven && (self.is_contradicted_by(heartbeat) || self.is_in_doubt())
    }

    fn is_contradicted_by(&self, heartbeat: &Heartbeat) -> bool {
        self.upstream.is_contradicted_by(heartbeat, Instant::now())
    }

    /// Returns true if an earlier process of this node may have acknowledged a retirement that is
    /// recorded nowhere. No time ends that: nothing bounds how long a heartbeat is held up.
    fn is_in_doubt(&self) -> bool {
        !self.first_start && !self.do_peers_remember()
    }

    /// Returns true if the peers know of all retirements that matter.
    fn do_peers_remember(&self) -> bool {
        // The table with this node's row was read, so all peers are known.
        self.directory.has_own_row()
            && self
                .peers
                .remember_retirements(self.incarnation, MIN_PEER_AGE)
    }

    /// Waits for the first connection to a peer, which reports the requests that may crash the
    /// upstream. Gives up after [`PEER_WAIT`], so that a single node can start.
    async fn wait_for_peer(&self) {
        while self.peers.open_count() == 0 && self.started.elapsed() < PEER_WAIT {
            sleep(PEER_POLL_INTERVAL).await;
        }
    }

    /// Ends the acceptance of an incarnation unless its heartbeats go on.
    fn require_confirmation(self: &Rc<Self>, upstream: &UpstreamKey) {
        let is_open = self
            .evidence
            .borrow_mut()
            .begin_lease(upstream, clock::now());
        if is_open {
            let (announcements, upstream) = (Rc::clone(self), upstream.clone());
            task::spawn("upstream confirmation", async move {
                announcements.watch_lease(&upstream).await;
            });
        }
    }

    async fn watch_lease(&self, upstream: &UpstreamKey) {
        while let Some(left) = self.lease_left(upstream) {
            if !left.is_zero() {
                sleep(left).await;
                continue;
            }
            sleep(READ_TIME).await;
            if self.lease_left(upstream) == Some(Duration::ZERO) {
                self.end_acceptance(upstream);
                return;
            }
        }
    }

    fn lease_left(&self, upstream: &UpstreamKey) -> Option<Duration> {
        self.evidence.borrow().lease_left(upstream, clock::now())
    }

    fn end_acceptance(&self, upstream: &UpstreamKey) {
        let mut evidence = self.evidence.borrow_mut();
        if self.do_peers_remember() {
            evidence.confirm();
            return;
        }
        evidence.lapse(upstream);
        drop(evidence);
        if self.upstream.is_current(upstream) {
            emit(&catalogue::UPSTREAM_UNCONFIRMED, &[("upstream", upstream)]);
            self.upstream.suspend_current();
        }
    }
}

/// Returns what a health check says about an incarnation.
fn answer_of(upstream: &UpstreamKey, health: &Result<Health, HealthError>) -> Answer {
    match health {
        Ok(health) => match health.ready() {
            Some(named) if named.is_same_incarnation(upstream) => Answer::Ready,
            _ => Answer::NotReady,
        },
        Err(_) => Answer::Missing,
    }
}
