//! Connections to the own upstream.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::Duration;

use monoio::io::{OwnedWriteHalf, Splitable as _};
use monoio::net::TcpStream;
use sailtrack_net::dial::{DialError, dial};
use sailtrack_net::transparent::{Reader, ResponseHead};
use sailtrack_units::Moment;

use crate::clock;

/// How long a connection may take to be accepted by an upstream on the same instance.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long an unused connection is kept if the upstream does not say.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// The part of the time that an upstream states in which its connections are reused; a request
/// on a connection that closes at that moment would be lost.
const IDLE_TIMEOUT_SHARE: f64 = 0.7;
/// How long ago a connection may have been used for a request that must not run twice: a new one
/// costs an upstream a millisecond, a lost request cannot be mended.
const MAX_FRESH_AGE: Duration = Duration::from_secs(1);
/// The most unused connections that are kept, whatever the upstream accepts.
const MAX_IDLE: usize = 256;
/// The part of the connections that an upstream accepts which may stand unused.
const IDLE_DIVISOR: usize = 4;

/// One connection to the upstream.
pub(super) struct Connection {
    pub(super) reader: Reader,
    pub(super) writer: OwnedWriteHalf<TcpStream>,
    last_used: Moment,
    idle_timeout: Duration,
}

impl Connection {
    fn is_usable(&mut self, now: Moment) -> bool {
        now.since(self.last_used) < self.idle_timeout && self.reader.is_quiet()
    }
}

/// Connections to the own upstream.
pub(super) struct Pool {
    target: SocketAddr,
    idle: RefCell<Vec<Connection>>,
    max_idle: Cell<usize>,
}

impl Pool {
    pub(super) fn new(target: SocketAddr) -> Self {
        Self {
            target,
            idle: RefCell::default(),
            max_idle: Cell::new(MAX_IDLE),
        }
    }

    /// Returns an unused connection, or a new one.
    ///
    /// An upstream may forget a connection sooner than it says, and what is sent on it then is
    /// lost. A request that may run again is sent again; `only_fresh` is for the others.
    pub(super) async fn acquire(&self, only_fresh: bool) -> Result<Connection, DialError> {
        let now = clock::now();
        loop {
            let idle = self.pop(now, only_fresh);
            let Some(mut connection) = idle else {
                return self.connect().await;
            };
            if connection.is_usable(now) {
                return Ok(connection);
            }
        }
    }

    /// Takes the connection that was used last, if it is fresh enough.
    fn pop(&self, now: Moment, only_fresh: bool) -> Option<Connection> {
        let is_wanted = |connection: &mut Connection| {
            !only_fresh || now.since(connection.last_used) < MAX_FRESH_AGE
        };
        self.idle.borrow_mut().pop_if(is_wanted)
    }

    /// Keeps a connection whose exchange ended well, if its last answer allows it.
    pub(super) fn release(&self, mut connection: Connection, head: &ResponseHead) {
        if !head.keeps_alive() || connection.reader.buffered() > 0 {
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

    /// Keeps fewer unused connections than an upstream accepts in all.
    pub(super) fn limit_idle(&self, connections: usize) {
        let max_idle = (connections / IDLE_DIVISOR).clamp(1, MAX_IDLE);
        self.max_idle.set(max_idle);
        self.idle.borrow_mut().truncate(max_idle);
    }

    /// Closes all unused connections, as the upstream behind the address has changed.
    pub(super) fn clear(&self) {
        self.idle.borrow_mut().clear();
    }

    async fn connect(&self) -> Result<Connection, DialError> {
        let dialed = dial(self.target, None, CONNECT_TIMEOUT).await?;
        let (read, writer) = dialed.stream.into_split();
        Ok(Connection {
            reader: Reader::new(read),
            writer,
            last_used: clock::now(),
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
        })
    }
}

/// Returns for how long the upstream says that it keeps an unused connection.
fn announced_idle_timeout(head: &ResponseHead) -> Option<Duration> {
    let value = head.fields.get("keep-alive")?;
    let mut parameters = value.split(',').filter_map(|part| part.split_once('='));
    let (_, seconds) = parameters.find(|(name, _)| name.trim().eq_ignore_ascii_case("timeout"))?;
    let seconds = seconds.trim().parse().ok()?;
    Some(Duration::from_secs(seconds))
}
