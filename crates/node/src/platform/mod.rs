//! The client of the platform's table service, over HTTP.
//!
//! No ordinary call depends on it. It stores the accepted configuration, a row for each node as
//! first contact, claims of idempotency keys, unknown outcomes and their settlements.

mod backoff;
mod row;
#[cfg(test)]
mod tests;

use std::cell::Cell;
use std::net::{IpAddr, SocketAddr};
use std::time::{Duration, Instant};

use displaydoc::Display;
use http::{Method, StatusCode};
use sailtrack_kernel::Service;
use sailtrack_log::{catalogue, emit};
use sailtrack_net::http::{ExchangeError, Pool, Request, Response};
use serde::de::DeserializeOwned;

pub(crate) use backoff::Backoff;
pub(crate) use row::{Row, Rows, Written};

/// Time limit of one operation.
const OPERATION_TIMEOUT: Duration = Duration::from_secs(1);
/// Limit on idle connections to the platform.
const POOL_CAPACITY: usize = 4;
/// Header with the version that a row must have for a write to take effect.
const IF_VERSION: &str = "if-version";

/// Why an operation on the platform failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(crate) enum PlatformError {
    /// the platform refused the operation, it had no effect
    Refused,
    /// the platform could not be reached, the operation had no effect
    Unreachable,
    /// no answer came; a write may or may not have taken effect
    Unanswered,
    /// the platform's answer makes no sense
    Malformed,
}

impl std::error::Error for PlatformError {}

impl From<ExchangeError> for PlatformError {
    fn from(error: ExchangeError) -> Self {
        if error.is_unsent() {
            Self::Unreachable
        } else {
            Self::Unanswered
        }
    }
}

/// Precondition for a write to take effect.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Precondition {
    /// No precondition.
    Any,
    /// The row must not exist.
    Absent,
    /// The row must have this version.
    Version(u64),
}

/// The client of the platform's table service.
pub(crate) struct Platform {
    pool: Pool,
    is_unreachable: Cell<bool>,
    operations: Cell<u64>,
}

impl Service for Platform {
    const NAME: &'static str = "platform";
}

impl Platform {
    pub(crate) fn new(address: SocketAddr, source: IpAddr) -> Self {
        Self {
            pool: Pool::new(address, Some(source), POOL_CAPACITY),
            is_unreachable: Cell::new(false),
            operations: Cell::new(0),
        }
    }

    /// Returns the row with this key, if it exists.
    pub(crate) async fn read(&self, key: &str) -> Result<Option<Row>, PlatformError> {
        let request = Request::new(Method::GET, format!("/rows/{key}"), "");
        let response = self.send(request).await?;
        match response.status {
            StatusCode::NOT_FOUND => Ok(None),
            StatusCode::OK => decode(&response).map(Some),
            _ => Err(PlatformError::Refused),
        }
    }

    /// Returns the row if its version is higher than `version`.
    pub(crate) async fn read_newer(
        &self,
        key: &str,
        version: u64,
    ) -> Result<Option<Row>, PlatformError> {
        let request = Request::new(Method::GET, format!("/rows/{key}?newer={version}"), "");
        let response = self.send(request).await?;
        match response.status {
            StatusCode::NOT_FOUND | StatusCode::NO_CONTENT => Ok(None),
            StatusCode::OK => decode(&response).map(Some),
            _ => Err(PlatformError::Refused),
        }
    }

    /// Returns the rows whose keys start with `prefix`.
    pub(crate) async fn scan(&self, prefix: &str) -> Result<Vec<Row>, PlatformError> {
        self.scan_path(format!("/scan/{prefix}")).await
    }

    /// Returns at most `limit` rows whose keys start with `prefix`, starting at the key `from`.
    pub(crate) async fn scan_page(
        &self,
        prefix: &str,
        from: &str,
        limit: usize,
    ) -> Result<Vec<Row>, PlatformError> {
        let path = format!("/scan/{prefix}?from={from}&limit={limit}");
        self.scan_path(path).await
    }

    async fn scan_path(&self, path: String) -> Result<Vec<Row>, PlatformError> {
        let request = Request::new(Method::GET, path, "");
        let response = self.send(request).await?;
        match response.status {
            StatusCode::OK => decode::<Rows>(&response).map(|rows| rows.rows),
            _ => Err(PlatformError::Refused),
        }
    }

    /// Writes a row if it meets the precondition; otherwise returns the current row.
    pub(crate) async fn write(
        &self,
        key: &str,
        expect: Precondition,
        value: String,
    ) -> Result<Written, PlatformError> {
        let mut request = Request::new(Method::PUT, format!("/rows/{key}"), value);
        match expect {
            Precondition::Any => {}
            Precondition::Absent => request = request.with(IF_VERSION, "0"),
            Precondition::Version(version) => {
                request = request.with(IF_VERSION, &version.to_string());
            }
        }
        let response = self.send(request).await?;
        match response.status {
            StatusCode::OK => decode(&response).map(Written::Done),
            StatusCode::CONFLICT => decode(&response).map(Written::Conflict),
            _ => Err(PlatformError::Refused),
        }
    }

    /// Removes a row.
    pub(crate) async fn remove(&self, key: &str) -> Result<(), PlatformError> {
        let request = Request::new(Method::DELETE, format!("/rows/{key}"), "");
        let response = self.send(request).await?;
        match response.status {
            StatusCode::NO_CONTENT | StatusCode::NOT_FOUND => Ok(()),
            _ => Err(PlatformError::Refused),
        }
    }

    /// Returns true if the last operation got a response, whatever its status.
    pub(crate) fn is_reachable(&self) -> bool {
        !self.is_unreachable.get()
    }

    /// Returns the number of operations attempted.
    pub(crate) fn operations(&self) -> u64 {
        self.operations.get()
    }

    async fn send(&self, request: Request) -> Result<Response, PlatformError> {
        self.operations.set(self.operations.get() + 1);
        let deadline = Instant::now() + OPERATION_TIMEOUT;
        let result = self.pool.exchange(request, deadline).await;
        let result = result.map_err(PlatformError::from);
        self.record_result(result.as_ref().err().copied());
        let response = result?;
        match response.status {
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                Err(PlatformError::Refused)
            }
            _ => Ok(response),
        }
    }

    fn record_result(&self, error: Option<PlatformError>) {
        let was_unreachable = self.is_unreachable.replace(error.is_some());
        match (was_unreachable, error) {
            (false, Some(error)) => emit(&catalogue::PLATFORM_LOST, &[("reason", &error)]),
            (true, None) => emit(&catalogue::PLATFORM_FOUND, &[]),
            _ => {}
        }
    }
}

fn decode<T: DeserializeOwned>(response: &Response) -> Result<T, PlatformError> {
    serde_json::from_slice(&response.body).map_err(|_| PlatformError::Malformed)
}
