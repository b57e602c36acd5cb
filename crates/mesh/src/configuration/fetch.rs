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
pub(crate) struct Provider {
    pub(crate) name: NodeName,
    pub(crate) version: ConfigVersion,
    /// It stands in the own failure domain.
    pub(crate) is_same_domain: bool,
}

/// Asks other nodes for configurations, for as long as the task lives.
pub(crate) struct Fetcher {
    pub(crate) peers: Rc<Peers>,
    pub(crate) current: Rc<Current>,
    pub(crate) watch: Rc<Watch>,
}

impl Fetcher {
    pub(crate) async fn run(self, mut providers: mpsc::Receiver<Provider>) {
        while let Some(provider) = providers.next().await {
            if !self.is_newer(&provider) {
                continue;
            }
            let provider = self.nearest(provider, &mut providers).await;
            if self.is_newer(&provider) {
                self.fetch(&provider).await;
            }
        }
    }

    fn is_newer(&self, provider: &Provider) -> bool {
        provider.version > self.current.version()
    }

    /// Returns whom to ask, after waiting for what is nearer. A node without any configuration
    /// does not wait.
    async fn nearest(&self, first: Provider, providers: &mut mpsc::Receiver<Provider>) -> Provider {
        if self.current.get().is_none() {
            return first;
        }
        if self.watch.is_active() {
            sleep(HEAD_START).await;
            return first;
        }
        // Nodes wait for different times and draw among those that have it by then. Otherwise all
        // of a failure domain ask the same one: 38 times 300 KB of a large configuration hold up
        // its requests for 0.4 s at 200 Mbit/s.
        let mut known = vec![first.clone()];
        let pause = HEAD_START.mul_f64(rand::rng().random_range(0.0..1.0));
        gather(pause, providers, &mut known).await;
        if !known.iter().any(|provider| provider.is_same_domain) {
            gather(HEAD_START.saturating_sub(pause), providers, &mut known).await;
        }
        let newest = known.iter().map(|provider| provider.version).max();
        known.retain(|provider| Some(provider.version) == newest);
        if known.iter().any(|provider| provider.is_same_domain) {
            known.retain(|provider| provider.is_same_domain);
        }
        known.into_iter().choose(&mut rand::rng()).unwrap_or(first)
    }

    async fn fetch(&self, provider: &Provider) {
        let Some(link) = self.peers.get(&provider.name) else {
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
async fn gather(
    time: Duration,
    providers: &mut mpsc::Receiver<Provider>,
    known: &mut Vec<Provider>,
) {
    let gathering = async {
        while let Some(provider) = providers.next().await {
            known.push(provider);
        }
    };
    // It ends by its time only.
    let _ = timeout(time, gathering).await;
}
