//! Fetches newer configurations: from peers as soon as they report them, and from the platform by
//! polling.

use std::rc::Rc;
use std::time::Duration;

use futures::StreamExt as _;
use futures::channel::mpsc;
use monoio::time::sleep;
use rand::Rng as _;
use sailtrack_units::ConfigVersion;

use crate::configuration::{CONFIG_KEY, Configuration, Source};
use crate::membership::{Gossip, Peer};
use crate::peer::Peers;
use crate::platform::Platform;

/// Poll interval before the first version, short so that a new node can serve soon.
const INITIAL_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Fetches newer configurations and gossips about them.
pub(crate) struct Fetcher {
    pub(crate) configuration: Rc<Configuration>,
    pub(crate) platform: Rc<Platform>,
    pub(crate) peers: Rc<Peers>,
    pub(crate) gossip: Rc<Gossip>,
    pub(crate) poll: Duration,
}

impl Fetcher {
    /// Polls the platform's version until the task ends.
    pub(crate) async fn poll(self: Rc<Self>) {
        loop {
            let version = self.configuration.version();
            if let Ok(Some(row)) = self.platform.read_newer(CONFIG_KEY, version.0).await {
                self.apply(ConfigVersion(row.version), &row.value, Source::Platform)
                    .await;
            }
            sleep(self.poll_interval()).await;
        }
    }

    /// Fetches the versions that peers report, until the task ends.
    pub(crate) async fn fetch(
        self: Rc<Self>,
        mut newer_versions: mpsc::Receiver<(ConfigVersion, Peer)>,
    ) {
        while let Some((version, peer)) = newer_versions.next().await {
            let own = self.configuration.version();
            if version <= own {
                continue;
            }
            if let Some(config) = self.peers.fetch(&peer, own).await {
                self.apply(ConfigVersion(config.version), &config.text, Source::Peer)
                    .await;
            }
        }
    }

    async fn apply(&self, version: ConfigVersion, text: &str, source: Source) {
        if let Ok(true) = self.configuration.advance(version, text, source) {
            self.gossip.spread().await;
        }
    }

    /// Returns the time to the next poll, with jitter so that nodes do not poll together.
    fn poll_interval(&self) -> Duration {
        if self.configuration.version() == ConfigVersion::default() {
            return INITIAL_POLL_INTERVAL;
        }
        self.poll.mul_f64(rand::rng().random_range(0.8..1.0))
    }
}
