//! One attempt to run a request at a target.

use std::rc::Rc;
use std::time::Duration;

use futures::FutureExt as _;
use futures::future::{Either, LocalBoxFuture, select};
use monoio::time::sleep;
use sailtrack_wire::Reason;

use crate::dispatch::Dispatcher;
use crate::overdue;
use crate::peer::{Delivery, Link};
use crate::request::{Request, Response};
use crate::routing::Target;

/// How often the liveness of the target node is checked while it runs an idempotent request.
const LIVENESS_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// An attempt that has begun; dropping it cancels it.
pub(super) type Exchange<'a> = LocalBoxFuture<'a, Response>;

/// How far an attempt has come.
pub(super) enum Progress<'a> {
    /// It ended with this response.
    Ended(Response),
    /// It takes longer than usual and goes on; this would be its response if it were given up.
    Overdue(Response, Exchange<'a>),
}

impl Progress<'_> {
    pub(super) fn has_ended(&self) -> bool {
        matches!(self, Self::Ended(_))
    }

    pub(super) fn response(&self) -> &Response {
        match self {
            Self::Ended(response) | Self::Overdue(response, _) => response,
        }
    }
}

impl Dispatcher {
    /// Sends a request to a target and waits until the attempt has ended or is overdue.
    pub(super) async fn attempt(&self, mut request: Request, target: Target) -> Progress<'_> {
        let (signal, notice) = overdue::channel();
        request.overdue = signal;
        let is_idempotent = request.idempotent;
        let in_flight = Rc::new(self.routing.start(&request, &target));
        let recorded = Rc::clone(&in_flight);
        let exchange = async move {
            // Boxed, since each of the enclosing futures would otherwise reserve space for both.
            let response = match &target {
                Target::Local => self.gate.run(request).boxed_local().await,
                Target::Remote(link) => send_remote(&request, link).boxed_local().await,
            };
            recorded.record(&response);
            response
        };
        let notice = std::pin::pin!(notice.wait());
        match select(exchange.boxed_local(), notice).await {
            Either::Left((response, _)) => Progress::Ended(response),
            Either::Right((response, exchange)) if is_idempotent => {
                in_flight.record(&response);
                Progress::Overdue(response, exchange)
            }
            Either::Right((response, exchange)) => {
                in_flight.record_overdue(&response);
                Progress::Ended(exchange.await)
            }
        }
    }
}

async fn send_remote(request: &Request, link: &Link) -> Response {
    if !request.idempotent {
        return match link.forward(request).await {
            Delivery::Answered(response) => *response,
            Delivery::Unsent => Response::refused(Reason::Connection),
            Delivery::Lost(incarnation) => link.recall(&request.attempt, incarnation).await,
        };
    }
    match forward_watched(request, link).await {
        Delivery::Answered(response) => *response,
        Delivery::Unsent => Response::refused(Reason::Connection),
        Delivery::Lost(_) => Response::unknown(Reason::Connection),
    }
}

/// Forwards a request, which is overdue once the other node has been silent for too long.
async fn forward_watched(request: &Request, link: &Link) -> Delivery {
    let forward = std::pin::pin!(link.forward(request));
    let silence = std::pin::pin!(wait_for_silence(link));
    match select(forward, silence).await {
        Either::Left((delivery, _)) => delivery,
        Either::Right(((), forward)) => {
            request.overdue.raise(Response::unknown(Reason::Connection));
            forward.await
        }
    }
}

/// Waits until the node has been silent for too long.
async fn wait_for_silence(link: &Link) {
    while !link.is_silent() {
        sleep(LIVENESS_CHECK_INTERVAL).await;
    }
}
