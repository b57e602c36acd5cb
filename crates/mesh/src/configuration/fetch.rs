//! Fetches newer configurations from peers if they do not arrive from the store.

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

/// Timeout for fetching a configuration from a peer.
const FETCH_TIMEOUT: Duration = Duration::from_millis(700);
/// How long to wait for a cheaper source of a version before fetching it from any peer. For a node
/// that watches the store the cheaper source is the store, for others a peer in the same failure
/// domain. Traffic between failure domains is the most expensive, and fetching from both sources
/// would transfer each configuration twice.
const CHEAPER_SOURCE_WAIT: Duration = Duration::from_millis(250);

/// A peer that has a newer configuration than this node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Provider {
    pub(crate) name: NodeName,
    pub(crate) version: ConfigVersion,
    /// Whether the peer is in the failure domain of this node.
    pub(crate) is_same_domain: bool,
}

/// Fetches newer configurations from peers.
pub(crate) struct Fetcher {
    pub(crate) peers: Rc<Peers>,
    pub(crate) current: Rc<Current>,
    pub(crate) watch: Rc<Watch>,
}

impl Fetcher {
    /// Processes the queue of providers until it is closed.
    pub(crate) async fn run(self, mut providers: mpsc::Receiver<Provider>) {
        while let Some(provider) = providers.next().await {
            if !self.is_newer(&provider) {
                continue;
            }
            let provider = self.choose(provider, &mut providers).await;
            if self.is_newer(&provider) {
                self.fetch(&provider).await;
            }
        }
    }

    fn is_newer(&self, provider: &Provider) -> bool {
        provider.version > self.current.version()
    }

    /// Waits for a cheaper source, then chooses the peer to fetch from. A node without any
    /// configuration does not wait.
    async fn choose(&self, first: Provider, providers: &mut mpsc::Receiver<Provider>) -> Provider {
        if self.current.get().is_none() {
            return first;
        }
        if self.watch.is_active() {
            sleep(CHEAPER_SOURCE_WAIT).await;
            return first;
        }
        // Each node waits for a random time and then chooses randomly among the providers that it
        // knows. Otherwise all nodes of a failure domain would fetch from the same peer: sending a
        // large configuration of 300 KB to 38 nodes delays its requests by 0.4 s at 200 Mbit/s.
        let mut known = vec![first.clone()];
        let jitter = CHEAPER_SOURCE_WAIT.mul_f64(rand::rng().random_range(0.0..1.0));
        collect(jitter, providers, &mut known).await;
        if !known.iter().any(|provider| provider.is_same_domain) {
            collect(
                CHEAPER_SOURCE_WAIT.saturating_sub(jitter),
                providers,
                &mut known,
            )
            .await;
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
        let version = self.current.version();
        // After a failure the next peer that announces this version is tried.
        if let Ok(Some(config)) = timeout(FETCH_TIMEOUT, link.fetch(version)).await {
            // `offer` logs an invalid configuration and keeps the current version in force.
            let _ = self.current.offer(&config.text, Source::Peer);
        }
    }
}

/// Collects providers from the queue for the given time.
async fn collect(
    time: Duration,
    providers: &mut mpsc::Receiver<Provider>,
    known: &mut Vec<Provider>,
) {
    let collecting = async {
        while let Some(provider) = providers.next().await {
            known.push(provider);
        }
    };
    // The loop ends by the timeout only.
    let _ = timeout(time, collecting).await;
}
