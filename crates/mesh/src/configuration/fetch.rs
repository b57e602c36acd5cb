//! Asks other nodes for a configuration that the store does not bring.

use std::rc::Rc;
use std::time::Duration;

use futures::StreamExt as _;
use futures::channel::mpsc;
use monoio::time::{sleep, timeout};
use rand::Rng as _;
use rand::seq::IteratorRandom as _;
use sailtrack_units::{ConfigVersion, NodeName};

use crate::configuration::{Current, Source};
use crate::peer::Peers;
use crate::watch::Watch;

/// How long a node may take to give its configuration.
const FETCH_TIME: Duration = Duration::from_millis(700);
/// How long what is nearer is given to bring a version: for a node that follows the store that is
/// the store, for the others a node of the own failure domain. Bytes between failure domains are
/// the dearest, and asking both would move each configuration twice.
const HEAD_START: Duration = Duration::from_millis(250);

/// A node that has a newer configuration than this one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Holder {
    pub(crate) name: NodeName,
    pub(crate) version: ConfigVersion,
    /// It stands in the own failure domain.
    pub(crate) is_near: bool,
}

/// Asks other nodes for configurations, for as long as the task lives.
pub(crate) struct Fetch {
    pub(crate) peers: Rc<Peers>,
    pub(crate) current: Rc<Current>,
    pub(crate) watch: Rc<Watch>,
}

impl Fetch {
    pub(crate) async fn keep_fetching(self, mut holders: mpsc::Receiver<Holder>) {
        while let Some(holder) = holders.next().await {
            if !self.is_newer(&holder) {
                continue;
            }
            let holder = self.nearest(holder, &mut holders).await;
            if self.is_newer(&holder) {
                self.fetch(&holder).await;
            }
        }
    }

    fn is_newer(&self, holder: &Holder) -> bool {
        holder.version > self.current.version()
    }

    /// Returns whom to ask, after waiting for what is nearer. A node without any configuration
    /// does not wait.
    async fn nearest(&self, first: Holder, holders: &mut mpsc::Receiver<Holder>) -> Holder {
        if self.current.get().is_none() {
            return first;
        }
        if self.watch.is_ours() {
            sleep(HEAD_START).await;
            return first;
        }
        // Nodes wait for different times and draw among those that have it by then. Otherwise all
        // of a failure domain ask the same one: 38 times 300 KB of a large configuration hold up
        // its requests for 0.4 s at 200 Mbit/s.
        let mut known = vec![first.clone()];
        let pause = HEAD_START.mul_f64(rand::rng().random_range(0.0..1.0));
        gather(pause, holders, &mut known).await;
        if !known.iter().any(|holder| holder.is_near) {
            gather(HEAD_START.saturating_sub(pause), holders, &mut known).await;
        }
        let newest = known.iter().map(|holder| holder.version).max();
        known.retain(|holder| Some(holder.version) == newest);
        if known.iter().any(|holder| holder.is_near) {
            known.retain(|holder| holder.is_near);
        }
        known.into_iter().choose(&mut rand::rng()).unwrap_or(first)
    }

    async fn fetch(&self, holder: &Holder) {
        let Some(link) = self.peers.get(&holder.name) else {
            return;
        };
        let before = self.current.version();
        // Without an answer the next node that says that it has this version is asked.
        if let Ok(Some(config)) = timeout(FETCH_TIME, link.fetch(before)).await {
            // What cannot be read is logged there, and the present version stays in force.
            let _ = self.current.offer(&config.text, Source::Peer);
        }
    }
}

/// Collects for a while who has a newer configuration.
async fn gather(time: Duration, holders: &mut mpsc::Receiver<Holder>, known: &mut Vec<Holder>) {
    let gathering = async {
        while let Some(holder) = holders.next().await {
            known.push(holder);
        }
    };
    // It ends by its time only.
    let _ = timeout(time, gathering).await;
}
