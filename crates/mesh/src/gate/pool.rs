//! Connection pool of the local upstream.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::Duration;

use monoio::io::{OwnedWriteHalf, Splitable as _};
use monoio::net::TcpStream;
use sailtrack_net::dial::{DialError, dial};
use sailtrack_net::transparent::{Reader, ResponseHead};
use sailtrack_units::Moment;

use super::history::History;
use crate::clock;
use crate::request::Request;

/// How long an upstream on the same instance may take to accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The idle timeout if the upstream announces none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// The fraction of an announced idle timeout in which a connection is reused; a request that is
/// sent just as the upstream closes the connection would be lost.
const IDLE_TIMEOUT_SHARE: f64 = 0.7;
/// The maximum idle time of a connection for a non-idempotent request: a new connection costs the
/// upstream a millisecond, but a lost request can't be retried.
const MAX_FRESH_AGE: Duration = Duration::from_secs(1);
/// The maximum number of idle connections, whatever the upstream accepts.
const MAX_IDLE: usize = 256;
/// One in this many of the connections that an upstream accepts may be idle.
const IDLE_DIVISOR: usize = 4;

/// A connection to the upstream.
pub(super) struct Connection {
    pub(super) reader: Reader,
    pub(super) writer: OwnedWriteHalf<TcpStream>,
    pub(super) history: History,
    last_used: Moment,
    idle_timeout: Duration,
}

impl Connection {
    fn is_usable(&mut self, now: Moment) -> bool {
        now.since(self.last_used) < self.idle_timeout && self.reader.is_quiet()
    }
}

/// Idle connections to the local upstream.
pub(super) struct Pool {
    target: SocketAddr,
    idle: RefCell<Vec<Connection>>,
    max_idle: Cell<usize>,
    /// The number of connections opened so far.
    opened: Cell<u64>,
}

impl Pool {
    pub(super) fn new(target: SocketAddr) -> Self {
        Self {
            target,
            idle: RefCell::default(),
            max_idle: Cell::new(MAX_IDLE),
            opened: Cell::new(0),
        }
    }

    /// Returns an idle connection that may carry the request, or opens a new one.
    ///
    /// An upstream may close a connection earlier than announced, and a request sent at that moment
    /// is lost. Idempotent requests are then retried; all others get a connection that was used
    /// lately.
    pub(super) async fn acquire(&self, request: &Request) -> Result<Connection, DialError> {
        let now = clock::now();
        loop {
            let idle = self.pop(now, request);
            let Some(mut connection) = idle else {
                return self.connect().await;
            };
            if connection.is_usable(now) {
                return Ok(connection);
            }
        }
    }

    /// Takes the most recently used connection that may carry the request, if it is fresh enough.
    fn pop(&self, now: Moment, request: &Request) -> Option<Connection> {
        let is_fresh = |connection: &Connection| {
            request.idempotent || now.since(connection.last_used) < MAX_FRESH_AGE
        };
        let mut idle = self.idle.borrow_mut();
        let newest = idle.iter().enumerate().rev();
        let mut fresh = newest.take_while(|(_, connection)| is_fresh(connection));
        let (at, _) = fresh.find(|(_, connection)| connection.history.allows(&request.attempt))?;
        Some(idle.remove(at))
    }

    /// Returns a connection to the pool after a successful exchange, if the response permits reuse.
    pub(super) fn release(&self, mut connection: Connection, head: &ResponseHead) {
        if !head.keeps_alive() || connection.reader.buffered() > 0 || connection.history.is_full() {
            return;
        }
        connection.last_used = clock::now();
        if let Some(announced) = announced_idle_timeout(head) {
            connection.idle_timeout = announced.mul_f64(IDLE_TIMEOUT_SHARE);
        }
        let mut idle = self.idle.borrow_mut();
        if idle.len() < self.max_idle.get() {
            idle.push(connection);
        }
    }

    /// Limits the idle connections to a fraction of those that the upstream accepts.
    pub(super) fn limit_idle(&self, connections: usize) {
        let max_idle = (connections / IDLE_DIVISOR).clamp(1, MAX_IDLE);
        self.max_idle.set(max_idle);
        self.idle.borrow_mut().truncate(max_idle);
    }

    /// Closes the idle connections that cannot be used again: their time is over, the upstream has
    /// closed them, or it sends bytes that belong to no request.
    pub(super) fn sweep(&self) {
        let now = clock::now();
        let mut idle = self.idle.borrow_mut();
        idle.retain_mut(|connection| connection.is_usable(now));
    }

    /// Closes all idle connections, as there is another upstream at the address.
    pub(super) fn clear(&self) {
        self.idle.borrow_mut().clear();
    }

    async fn connect(&self) -> Result<Connection, DialError> {
        let dialed = dial(self.target, None, CONNECT_TIMEOUT).await?;
        let (read, writer) = dialed.stream.into_split();
        let number = self.opened.get() + 1;
        self.opened.set(number);
        Ok(Connection {
            reader: Reader::new(read),
            writer,
            history: History::new(number),
            last_used: clock::now(),
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
        })
    }
}

/// Returns the idle timeout that the upstream announces in its `Keep-Alive` field.
fn announced_idle_timeout(head: &ResponseHead) -> Option<Duration> {
    let value = head.fields.get("keep-alive")?;
    let mut parameters = value.split(',').filter_map(|part| part.split_once('='));
    let (_, seconds) = parameters.find(|(name, _)| name.trim().eq_ignore_ascii_case("timeout"))?;
    let seconds = seconds.trim().parse().ok()?;
    Some(Duration::from_secs(seconds))
}
