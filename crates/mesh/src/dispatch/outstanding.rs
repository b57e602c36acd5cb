//! Attempts that take longer than usual, while the request is tried elsewhere.

#[cfg(test)]
mod tests;

use std::collections::VecDeque;

use futures::StreamExt as _;
use futures::future::{Either, select};
use futures::stream::FuturesUnordered;

use crate::dispatch::Trail;
use crate::dispatch::attempt::Exchange;
use crate::request::Response;

/// The overdue attempts of one request; dropping it cancels them.
#[derive(Default)]
pub(super) struct Outstanding<'a> {
    exchanges: FuturesUnordered<Exchange<'a>>,
    /// The responses of those that ended without success.
    failures: VecDeque<Response>,
}

impl<'a> Outstanding<'a> {
    pub(super) fn push(&self, exchange: Exchange<'a>) {
        self.exchanges.push(exchange);
    }

    /// Waits for a further attempt; returns the response of an earlier one if that is a success and
    /// comes first.
    pub(super) async fn unless_success<T>(
        &mut self,
        attempt: impl Future<Output = T>,
        trail: &Trail,
    ) -> Result<T, Response> {
        let earlier = std::pin::pin!(self.next_success(trail));
        match select(earlier, std::pin::pin!(attempt)).await {
            Either::Left((response, _)) => Err(response),
            Either::Right((progress, _)) => Ok(progress),
        }
    }

    /// Waits for a success; never returns if there is none. Other responses are kept.
    async fn next_success(&mut self, trail: &Trail) -> Response {
        while let Some(response) = self.exchanges.next().await {
            if response.is_success() {
                return response;
            }
            trail.keep_failure(&response);
            self.failures.push_back(response);
        }
        std::future::pending().await
    }

    /// Returns the next response, or `None` once all attempts have ended.
    pub(super) async fn next(&mut self) -> Option<Response> {
        match self.failures.pop_front() {
            Some(response) => Some(response),
            None => self.exchanges.next().await,
        }
    }
}
