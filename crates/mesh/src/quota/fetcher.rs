//! Fetches tokens from the allocator of the node's own failure domain.

use std::rc::Rc;
use std::time::Duration;

use futures::StreamExt as _;
use futures::channel::mpsc;
use monoio::time::{sleep, timeout};
use sailtrack_quota::{Holder, Want};
use sailtrack_units::WorkspaceName;
use sailtrack_wire::{TokenAnswer, TokenQuestion};

use crate::clock;
use crate::peer::Peers;
use crate::quota::{Quotas, wire};

/// How often tokens are fetched in advance.
const PREFETCH_INTERVAL: Duration = Duration::from_millis(100);
/// How long the allocator may take to reply: many times the round trip.
const REPLY_TIMEOUT: Duration = Duration::from_millis(150);
/// The pause after a request without a reply.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Fetches tokens, with one request to the allocator at a time.
pub(crate) struct Fetcher {
    pub(crate) quotas: Rc<Quotas>,
    pub(crate) peers: Rc<Peers>,
}

impl Fetcher {
    pub(crate) async fn run(self, mut wake_ups: mpsc::Receiver<()>) {
        loop {
            if self.quotas.cache.borrow().is_empty() {
                // Nothing is fetched in advance while no workspace is active.
                if wake_ups.next().await.is_none() {
                    return;
                }
            } else {
                // Fetches when a request waits or when the interval has elapsed.
                let _ = timeout(PREFETCH_INTERVAL, wake_ups.next()).await;
            }
            let requested_at = clock::now();
            let wants = self.quotas.cache.borrow_mut().wants(requested_at);
            if wants.is_empty() {
                continue;
            }
            match self.request(&wants).await {
                Some(reply) => {
                    self.quotas.receive(&wants, &reply, requested_at);
                    self.quotas.wake_all();
                }
                None => sleep(RETRY_PAUSE).await,
            }
        }
    }

    async fn request(&self, wants: &[(WorkspaceName, Want)]) -> Option<TokenAnswer> {
        let quotas = &self.quotas;
        let exchange = quotas.last_exchange.get() + 1;
        quotas.last_exchange.set(exchange);
        let messages = wants.iter();
        let messages = messages.map(|(workspace, want)| wire::want_to_wire(workspace, want));
        let request = TokenQuestion {
            exchange,
            wants: messages.collect(),
        };
        if quotas.is_allocator() {
            let own = Holder {
                node: quotas.node.name.clone(),
                incarnation: quotas.node.incarnation.0,
            };
            return Some(quotas.answer(&own, &request)).filter(|reply| !reply.not_allocator);
        }
        // While the own domain has no allocator, tokens of another domain are equally valid.
        let link = self.peers.allocator_of(&quotas.node.domain);
        let link = link.or_else(|| self.peers.any_allocator())?;
        let reply = timeout(REPLY_TIMEOUT, link.request_tokens(request)).await;
        if reply.is_err() {
            // A later reply must not count: the tokens that it grants are no longer requested.
            link.cancel_token_requests();
        }
        reply.ok()?.filter(|reply| !reply.not_allocator)
    }
}
