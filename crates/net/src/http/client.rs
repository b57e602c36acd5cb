//! Sends requests to one server over pooled connections, one exchange at a time on each.

use std::cell::RefCell;
use std::net::{IpAddr, SocketAddr, TcpStream as StdStream};
use std::time::{Duration, Instant};

use displaydoc::Display;
use http::header::{CONNECTION, HOST};
use http::{HeaderMap, HeaderValue};
use monoio::io::sink::Sink;
use monoio::io::{OwnedWriteHalf, Splitable as _};
use monoio::net::TcpStream;
use monoio::time::timeout_at;
use monoio_http::h1::codec::encoder::GenericEncoder;
use monoio_http::h1::payload::{FixedPayload, Payload};

use crate::dial::{DialError, dial, is_quiet};
use crate::http::limits::Limits;
use crate::http::message::{Request, Response};
use crate::http::reader::{InputError, ResponseReader};

/// How long an unused connection may still be reused.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// The maximum number of responses to other requests that are skipped before the expected one.
const MAX_SKIPPED: u32 = 3;

/// How long opening a connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Why an exchange gave no response.
#[derive(Debug, Display)]
pub enum ExchangeError {
    /// no connection, nothing was sent: {0}
    Connect(DialError),
    /// timed out before anything was sent
    LateBeforeSending,
    /// timed out while waiting for the response
    Late,
    /// the connection was lost after the request was sent
    Lost,
    /// the response was rejected: {0}
    Answer(InputError),
}

impl std::error::Error for ExchangeError {}

impl ExchangeError {
    /// Returns true if the server cannot have seen the request.
    #[must_use]
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::Connect(_) | Self::LateBeforeSending)
    }
}

/// An open connection to the server.
struct Connection {
    reader: ResponseReader,
    writer: GenericEncoder<OwnedWriteHalf<TcpStream>>,
    probe: StdStream,
    last_used: Instant,
}

impl Connection {
    fn is_reusable(&self) -> bool {
        self.last_used.elapsed() < IDLE_TIMEOUT && is_quiet(&self.probe)
    }

    async fn exchange(
        &mut self,
        request: Request,
        host: &HeaderValue,
        tag: Option<&Tag>,
    ) -> Result<Response, ExchangeError> {
        let payload: Payload = if request.body.is_empty() {
            Payload::None
        } else {
            Payload::Fixed(FixedPayload::new(request.body))
        };
        let mut message = http::Request::new(payload);
        *message.method_mut() = request.method;
        *message.uri_mut() = request.path.parse().unwrap_or_default();
        *message.headers_mut() = request.headers;
        message.headers_mut().insert(HOST, host.clone());
        self.writer
            .send(message)
            .await
            .map_err(|_| ExchangeError::Lost)?;
        Sink::<http::Request<Payload>>::flush(&mut self.writer)
            .await
            .map_err(|_| ExchangeError::Lost)?;
        for _ in 0..=MAX_SKIPPED {
            let response = self.reader.read().await.map_err(|error| match error {
                InputError::Cut => ExchangeError::Lost,
                other => ExchangeError::Answer(other),
            })?;
            if tag.is_none_or(|tag| tag.matches(&response)) {
                return Ok(response);
            }
        }
        Err(ExchangeError::Lost)
    }
}

/// A header of a request, by which its response is told from those to other requests.
struct Tag {
    name: &'static str,
    value: HeaderValue,
}

impl Tag {
    /// Returns true unless the response bears the tag of another request.
    fn matches(&self, response: &Response) -> bool {
        let value = response.headers.get(self.name);
        value.is_none_or(|value| *value == self.value)
    }
}

/// A pool of connections to one server.
pub struct Pool {
    target: SocketAddr,
    source: Option<IpAddr>,
    host: HeaderValue,
    limits: Limits,
    capacity: usize,
    /// Returns true if a connection may be reused after a response.
    keeps: fn(&Response) -> bool,
    /// The header that a server may copy from a request into its response.
    tag_name: Option<&'static str>,
    idle: RefCell<Vec<Connection>>,
}

impl Pool {
    /// Returns an empty pool that keeps at most `capacity` idle connections.
    #[must_use]
    pub fn new(target: SocketAddr, source: Option<IpAddr>, capacity: usize) -> Self {
        let host = HeaderValue::from_str(&target.to_string());
        Self {
            target,
            source,
            host: host.unwrap_or_else(|_| HeaderValue::from_static("upstream")),
            limits: Limits::client(),
            capacity,
            keeps: |_| true,
            tag_name: None,
            idle: RefCell::default(),
        }
    }

    /// Rejects responses whose bodies are longer than this many bytes.
    #[must_use]
    pub fn limit_body(mut self, bytes: usize) -> Self {
        self.limits.body_bytes = bytes;
        self
    }

    /// Reuses connections only after responses for which `keeps` returns true.
    #[must_use]
    pub fn keep_after(mut self, keeps: fn(&Response) -> bool) -> Self {
        self.keeps = keeps;
        self
    }

    /// Skips responses that bear another value of this header than the request.
    #[must_use]
    pub fn match_by(mut self, name: &'static str) -> Self {
        self.tag_name = Some(name);
        self
    }

    /// Returns the server's address.
    #[must_use]
    pub fn target(&self) -> SocketAddr {
        self.target
    }

    /// Returns the number of idle connections.
    #[must_use]
    pub fn idle_count(&self) -> usize {
        self.idle.borrow().len()
    }

    /// Opens connections one after the other until `count` are idle, or as many as the pool keeps.
    pub async fn warm(&self, count: usize) -> Result<(), ExchangeError> {
        while self.idle_count() < count.min(self.capacity) {
            let connection = self.connect(CONNECT_TIMEOUT).await?;
            self.idle.borrow_mut().push(connection);
        }
        Ok(())
    }

    /// Sends one request and returns the complete response.
    ///
    /// After a failed exchange the connection is closed, never reused.
    pub async fn exchange(
        &self,
        request: Request,
        deadline: Instant,
    ) -> Result<Response, ExchangeError> {
        let mut connection = match self.pop_idle() {
            Some(connection) => connection,
            None => {
                self.connect(remaining(deadline)?.min(CONNECT_TIMEOUT))
                    .await?
            }
        };
        let tag = self.tag_name.and_then(|name| {
            let value = request.headers.get(name)?.clone();
            Some(Tag { name, value })
        });
        let exchange = connection.exchange(request, &self.host, tag.as_ref());
        let deadline = monoio::time::Instant::from_std(deadline);
        let response = match timeout_at(deadline, exchange).await {
            Err(_) => return Err(ExchangeError::Late),
            Ok(result) => result?,
        };
        if (self.keeps)(&response) && !has_connection_close(&response.headers) {
            self.put_idle(connection);
        }
        Ok(response)
    }

    fn pop_idle(&self) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        while let Some(connection) = idle.pop() {
            if connection.is_reusable() {
                return Some(connection);
            }
        }
        None
    }

    fn put_idle(&self, mut connection: Connection) {
        connection.last_used = Instant::now();
        let mut idle = self.idle.borrow_mut();
        if idle.len() < self.capacity {
            idle.push(connection);
        }
    }

    async fn connect(&self, limit: Duration) -> Result<Connection, ExchangeError> {
        let dialed = dial(self.target, self.source, limit)
            .await
            .map_err(ExchangeError::Connect)?;
        let (read, write) = dialed.stream.into_split();
        Ok(Connection {
            reader: ResponseReader::new(read, self.limits),
            writer: GenericEncoder::new(write),
            probe: dialed.probe,
            last_used: Instant::now(),
        })
    }
}

fn remaining(deadline: Instant) -> Result<Duration, ExchangeError> {
    let left = deadline.saturating_duration_since(Instant::now());
    if left.is_zero() {
        return Err(ExchangeError::LateBeforeSending);
    }
    Ok(left)
}

fn has_connection_close(headers: &HeaderMap) -> bool {
    let value = headers.get(CONNECTION).map(HeaderValue::as_bytes);
    value.is_some_and(|value| value.eq_ignore_ascii_case(b"close"))
}
