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
const CONNECT_TIME: Duration = Duration::from_millis(500);
/// How long an unused connection is kept if the upstream does not say.
const IDLE_TIME: Duration = Duration::from_secs(4);
/// The part of the time that an upstream states in which its connections are reused; a request
/// on a connection that closes at that moment would be lost.
const IDLE_SHARE: f64 = 0.7;
/// How long ago a connection may have been used for a request that must not run twice: a new one
/// costs an upstream a millisecond, a lost request cannot be mended.
const FRESH_TIME: Duration = Duration::from_secs(1);
/// The most unused connections that are kept, whatever the upstream accepts.
const MOST_IDLE: usize = 256;
/// The part of the connections that an upstream accepts which may stand unused.
const IDLE_PART: usize = 4;

/// One connection to the upstream.
pub(super) struct Connection {
    pub(super) reader: Reader,
    pub(super) writer: OwnedWriteHalf<TcpStream>,
    used: Moment,
    idle_time: Duration,
}

impl Connection {
    fn is_usable(&mut self, now: Moment) -> bool {
        now.since(self.used) < self.idle_time && self.reader.is_quiet()
    }
}

/// Connections to the own upstream.
pub(super) struct Pool {
    target: SocketAddr,
    idle: RefCell<Vec<Connection>>,
    most_idle: Cell<usize>,
}

impl Pool {
    pub(super) fn new(target: SocketAddr) -> Self {
        Self {
            target,
            idle: RefCell::default(),
            most_idle: Cell::new(MOST_IDLE),
        }
    }

    /// Returns an unused connection, or a new one.
    ///
    /// An upstream may forget a connection sooner than it says, and what is sent on it then is
    /// lost. A request that may run again is sent again; `only_fresh` is for the others.
    pub(super) async fn take(&self, only_fresh: bool) -> Result<Connection, DialError> {
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
        let is_wanted =
            |connection: &mut Connection| !only_fresh || now.since(connection.used) < FRESH_TIME;
        self.idle.borrow_mut().pop_if(is_wanted)
    }

    /// Keeps a connection whose exchange ended well, if its last answer allows it.
    pub(super) fn give_back(&self, mut connection: Connection, head: &ResponseHead) {
        if !head.keeps_alive() || connection.reader.buffered() > 0 {
            return;
        }
        connection.used = clock::now();
        if let Some(stated) = stated_idle_time(head) {
            connection.idle_time = stated.mul_f64(IDLE_SHARE);
        }
        let mut idle = self.idle.borrow_mut();
        if idle.len() < self.most_idle.get() {
            idle.push(connection);
        }
    }

    /// Keeps fewer unused connections than an upstream accepts in all.
    pub(super) fn bound(&self, connections: usize) {
        let most = (connections / IDLE_PART).clamp(1, MOST_IDLE);
        self.most_idle.set(most);
        self.idle.borrow_mut().truncate(most);
    }

    /// Closes all unused connections, as the upstream behind the address has changed.
    pub(super) fn clear(&self) {
        self.idle.borrow_mut().clear();
    }

    async fn connect(&self) -> Result<Connection, DialError> {
        let dialed = dial(self.target, None, CONNECT_TIME).await?;
        let (read, writer) = dialed.stream.into_split();
        Ok(Connection {
            reader: Reader::new(read),
            writer,
            used: clock::now(),
            idle_time: IDLE_TIME,
        })
    }
}

/// Returns for how long the upstream says that it keeps an unused connection.
fn stated_idle_time(head: &ResponseHead) -> Option<Duration> {
    let value = head.fields.get("keep-alive")?;
    let mut parameters = value.split(',').filter_map(|part| part.split_once('='));
    let (_, seconds) = parameters.find(|(name, _)| name.trim().eq_ignore_ascii_case("timeout"))?;
    let seconds = seconds.trim().parse().ok()?;
    Some(Duration::from_secs(seconds))
}
