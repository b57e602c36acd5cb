//! Questions to the other node that are not requests for its upstream.

use std::time::{Duration, Instant};

use futures::channel::oneshot;
use monoio::time::sleep;
use sailtrack_units::{ConfigVersion, Incarnation};
use sailtrack_wire::{Body, Config, Fetch, Reason, Recall, Retire, TokenAnswer, TokenQuestion};

use crate::key::{AttemptKey, UpstreamKey};
use crate::overdue;
use crate::peer::link::forward::CancelGuard;
use crate::peer::link::{Link, Pending};
use crate::request::Response;

/// How long the node may be unreachable before the outcome of a lost request is reported as unknown.
const RECALL_TIMEOUT: Duration = Duration::from_millis(2500);
/// How often to check whether the connection is open.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

impl Link {
    /// Requests tokens from the node; returns `None` if the connection is lost.
    pub(crate) async fn request_tokens(&self, question: TokenQuestion) -> Option<TokenAnswer> {
        let (sender, receiver) = oneshot::channel();
        self.token_requests
            .borrow_mut()
            .insert(question.exchange, sender);
        if !self.is_open() || !self.send(Body::TokenQuestion(question)) {
            return None;
        }
        receiver.await.ok()
    }

    /// Cancels all pending token requests.
    pub(crate) fn cancel_token_requests(&self) {
        self.token_requests.borrow_mut().clear();
    }

    /// Queries the outcome of a request that was sent to an incarnation of the node, and waits for it
    /// if the request still runs.
    ///
    /// The outcome is final: if the request did not run, it never will.
    pub(crate) async fn recall(&self, attempt: &AttemptKey, incarnation: Incarnation) -> Response {
        loop {
            if self.is_open() && self.incarnation.get() != incarnation {
                return Response::unknown(Reason::HomeGone);
            }
            if self.unreachable_for(Instant::now()) >= RECALL_TIMEOUT {
                return Response::unknown(Reason::Connection);
            }
            if let Some(response) = self.try_recall(attempt, incarnation).await {
                return response;
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Queries the outcome on the present connection; returns `None` if that is lost.
    async fn try_recall(&self, attempt: &AttemptKey, incarnation: Incarnation) -> Option<Response> {
        let (exchange, receiver) = self.begin_reply(None, overdue::Signal::default(), None);
        let guard = CancelGuard::new(self, exchange);
        let recall = Recall {
            exchange,
            id: attempt.to_string(),
            incarnation: incarnation.0,
        };
        let was_sent = self.is_open() && self.send(Body::Recall(recall));
        let response = if was_sent {
            self.await_reply(receiver).await.ok()
        } else {
            None
        };
        guard.disarm();
        response
    }

    /// Asks the node to record the retirement of an upstream; returns true if it did.
    ///
    /// It waits for the connection, since an upstream may retire shortly after the start, before
    /// its node is connected to its peers.
    pub(crate) async fn replicate_retirement(&self, upstream: &UpstreamKey) -> bool {
        while !self.is_open() {
            sleep(POLL_INTERVAL).await;
        }
        let exchange = self.next_id();
        let (sender, receiver) = oneshot::channel();
        let pending = Pending::Retired(sender);
        self.pending.borrow_mut().insert(exchange, pending);
        let retire = Retire {
            exchange,
            upstream: upstream.to_string(),
        };
        self.send(Body::Retire(retire)) && receiver.await.is_ok()
    }

    /// Fetches the configuration of the node if its version is above `version`.
    pub(crate) async fn fetch(&self, version: ConfigVersion) -> Option<Config> {
        let (sender, receiver) = oneshot::channel();
        self.config_requests.borrow_mut().push(sender);
        let fetch = Fetch { version: version.0 };
        if !self.send(Body::Fetch(fetch)) {
            return None;
        }
        receiver.await.ok()
    }
}
