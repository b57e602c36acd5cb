//! Failure detection: probes the other members one by one in random order.

use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::channel::oneshot;
use monoio::time::{sleep, timeout};
use rand::seq::{IndexedRandom as _, SliceRandom as _};
use sailtrack_wire::{Purpose, State};

use crate::membership::{Gossip, Membership, Peer};

/// Number of members asked to probe indirectly a member that did not answer.
const INDIRECT_PROBES: usize = 2;
/// Dead members are probed once in this many rounds.
const DEAD_PROBE_ROUNDS: u64 = 4;

impl Gossip {
    /// Probes members until the task ends; calls `on_dead` for each member declared dead.
    pub(crate) async fn probe(self: Rc<Self>, on_dead: impl Fn(&Peer)) {
        let mut order: Vec<Rc<Peer>> = Vec::new();
        let mut round: u64 = 0;
        loop {
            let started = Instant::now();
            round += 1;
            if let Some(peer) = next(&mut order, &self.membership) {
                self.probe_one(&peer).await;
            }
            if round.is_multiple_of(DEAD_PROBE_ROUNDS) {
                self.probe_dead().await;
            }
            let expired = self.membership.expire(Instant::now(), &self.detector);
            for peer in &expired {
                on_dead(peer);
            }
            sleep(self.detector.period.0.saturating_sub(started.elapsed())).await;
        }
    }

    async fn probe_one(&self, peer: &Rc<Peer>) {
        let sequence = self.next_sequence();
        let (sender, receiver) = oneshot::channel();
        self.pending.borrow_mut().insert(sequence, sender);
        let answered = self.ping(peer, sequence, receiver).await;
        self.pending.borrow_mut().remove(&sequence);
        if !answered {
            self.membership.suspect(&peer.name, Instant::now());
            self.spread().await;
        }
    }

    async fn ping(&self, peer: &Peer, sequence: u64, mut answer: oneshot::Receiver<()>) -> bool {
        self.send(Purpose::Ping, sequence, peer, false).await;
        if timeout(self.detector.timeout.0, &mut answer).await.is_ok() {
            return true;
        }
        self.probe_indirectly(peer, sequence).await;
        let remaining: Duration = self.detector.timeout.0;
        timeout(remaining, answer).await.is_ok()
    }

    async fn probe_indirectly(&self, peer: &Peer, sequence: u64) {
        let alive = self.membership.alive();
        let others: Vec<&Rc<Peer>> = alive
            .iter()
            .filter(|other| other.name != peer.name)
            .collect();
        let helpers: Vec<Rc<Peer>> = others
            .choose_multiple(&mut rand::rng(), INDIRECT_PROBES)
            .map(|helper| Rc::clone(helper))
            .collect();
        for helper in helpers {
            let mut datagram = self.datagram(Purpose::PingRequest, sequence);
            datagram.target = peer.name.to_string();
            self.send_datagram(&datagram, helper.address).await;
        }
    }

    /// Pings a random member considered dead; if it is alive, it refutes that.
    async fn probe_dead(&self) {
        let all = self.membership.all();
        let dead: Vec<_> = all
            .iter()
            .filter(|(_, state)| *state == State::Dead)
            .collect();
        let selected = dead
            .choose(&mut rand::rng())
            .map(|(peer, _)| Rc::clone(peer));
        if let Some(peer) = selected {
            self.sync(&peer).await;
        }
    }
}

/// Returns the next member to probe, in a random order that is reshuffled after each pass.
fn next(order: &mut Vec<Rc<Peer>>, membership: &Membership) -> Option<Rc<Peer>> {
    if order.is_empty() {
        *order = membership.alive();
        order.shuffle(&mut rand::rng());
    }
    order.pop()
}
