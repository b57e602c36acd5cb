//! HTTP client of a node's operator port.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use http::Method;
use sailtrack_net::http::{Pool, Request, Response};
use serde_json::Value;

use crate::error::Error;

/// The timeout of a request; the answer to a change waits until it is in force on the instances.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(20);

/// A client of one node's operator port.
pub(crate) struct Node {
    address: SocketAddr,
    pool: Pool,
}

/// A command, the operator who gives it, and an id by which its result can be looked up later.
pub(crate) struct Message<'a> {
    pub(crate) path: &'a str,
    pub(crate) operator: &'a str,
    pub(crate) command: &'a str,
    pub(crate) base: Option<String>,
    pub(crate) body: String,
}

impl Node {
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            pool: Pool::new(address, None, 1),
        }
    }

    /// Sends a command and returns the status and JSON body of the response.
    pub(crate) async fn post(&self, message: Message<'_>) -> Result<(u16, Value), Error> {
        let mut request = Request::new(Method::POST, message.path, message.body)
            .with("sailtrack-operator", message.operator)
            .with("sailtrack-command", message.command);
        if let Some(base) = &message.base {
            request = request.with("sailtrack-base", base);
        }
        let deadline = Instant::now() + REQUEST_TIMEOUT;
        match self.pool.exchange(request, deadline).await {
            Ok(response) => decode(&response),
            Err(error) if error.is_unsent() => Err(Error::Node(self.address, error)),
            Err(_) => Err(Error::Unanswered {
                node: self.address,
                command: message.command.to_owned(),
            }),
        }
    }

    /// Fetches the JSON document at a path.
    pub(crate) async fn get(&self, path: &str) -> Result<Value, Error> {
        let request = Request::new(Method::GET, path, "");
        let deadline = Instant::now() + REQUEST_TIMEOUT;
        let response = self.pool.exchange(request, deadline).await;
        let response = response.map_err(|error| Error::Node(self.address, error))?;
        decode(&response).map(|(_, value)| value)
    }
}

fn decode(response: &Response) -> Result<(u16, Value), Error> {
    let value = serde_json::from_slice(&response.body);
    let text = || String::from_utf8_lossy(&response.body).into_owned();
    let value = value.map_err(|_| Error::Answer(text()))?;
    Ok((response.status.as_u16(), value))
}

/// Returns a random id for a command.
pub(crate) fn new_command_id() -> String {
    format!("{:016x}", rand::random::<u64>())
}
