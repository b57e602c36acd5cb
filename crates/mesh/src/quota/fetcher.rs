//! Fetches tokens from the allocator of the own failure domain.

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

/// How often tokens are fetched before they are needed.
const LOOK: Duration = Duration::from_millis(100);
/// How long the allocator may take to answer: many times the way there and back.
const ANSWER_TIME: Duration = Duration::from_millis(150);
/// The pause after a question that was not answered.
const PAUSE: Duration = Duration::from_millis(50);

/// Fetches tokens for as long as the task lives, one question at a time.
pub(crate) struct Fetcher {
    pub(crate) quotas: Rc<Quotas>,
    pub(crate) peers: Rc<Peers>,
}

impl Fetcher {
    pub(crate) async fn run(self, mut wanted: mpsc::Receiver<()>) {
        loop {
            if self.quotas.cache.borrow().is_empty() {
                // Nothing is fetched ahead for nobody.
                if wanted.next().await.is_none() {
                    return;
                }
            } else {
                // Whether something waits or it is time to look, the same is done.
                let _ = timeout(LOOK, wanted.next()).await;
            }
            let asked = clock::now();
            let wants = self.quotas.cache.borrow_mut().wants(asked);
            if wants.is_empty() {
                continue;
            }
            match self.ask(&wants).await {
                Some(answer) => {
                    self.quotas.receive(&wants, &answer, asked);
                    self.quotas.wake_all();
                }
                None => sleep(PAUSE).await,
            }
        }
    }

    async fn ask(&self, wants: &[(WorkspaceName, Want)]) -> Option<TokenAnswer> {
        let quotas = &self.quotas;
        let exchange = quotas.questions.get() + 1;
        quotas.questions.set(exchange);
        let messages = wants.iter();
        let messages = messages.map(|(workspace, want)| wire::wanted(workspace, want));
        let question = TokenQuestion {
            exchange,
            wants: messages.collect(),
        };
        if quotas.is_allocator() {
            let own = Holder {
                node: quotas.node.name.clone(),
                incarnation: quotas.node.incarnation.0,
            };
            return Some(quotas.answer(&own, &question)).filter(|answer| !answer.not_allocator);
        }
        // Tokens of another domain count as much, until there is an allocator in the own one.
        let link = self.peers.allocator_of(&quotas.node.domain);
        let link = link.or_else(|| self.peers.any_allocator())?;
        let answer = timeout(ANSWER_TIME, link.request_tokens(question)).await;
        if answer.is_err() {
            // An answer that comes later must not count: what it gives is not asked for any more.
            link.cancel_token_requests();
        }
        answer.ok()?.filter(|answer| !answer.not_allocator)
    }
}
