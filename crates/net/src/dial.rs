//! Opens outgoing TCP connections, optionally from a given source address.

use std::io;
use std::net::{IpAddr, SocketAddr, TcpStream as StdStream};
use std::time::Duration;

use displaydoc::Display;
use monoio::net::TcpStream;
use socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type};

/// The idle time after which a keepalive probe is sent.
const KEEPALIVE_TIME: Duration = Duration::from_secs(1);
/// The time between keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// The number of unanswered keepalive probes after which the connection is closed.
///
/// A connection may become half-open while new ones work. One that waits 29 s in a long poll of the
/// store must be detected within three seconds, after which the platform relies on it again.
const KEEPALIVE_PROBES: u32 = 2;

/// Why a connection could not be opened.
#[derive(Debug, Display)]
pub enum DialError {
    /// cannot connect: {0}
    Io(io::Error),
    /// the other side did not accept the connection in time
    Timeout,
}

impl std::error::Error for DialError {}

impl From<io::Error> for DialError {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

/// An open connection, with a second handle to inspect its state.
#[derive(Debug)]
pub struct Dialed {
    /// The connection as used by the runtime.
    pub stream: TcpStream,
    /// The same connection, for peeking without consuming bytes.
    pub probe: StdStream,
}

/// Opens a connection to `target` from `source`, waiting for at most `limit`.
pub async fn dial(
    target: SocketAddr,
    source: Option<IpAddr>,
    limit: Duration,
) -> Result<Dialed, DialError> {
    let socket = Socket::new(
        Domain::for_address(target),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.set_nonblocking(true)?;
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_keepalive(&keepalive())?;
    if let Some(source) = source {
        socket.bind(&SocketAddr::new(source, 0).into())?;
    }
    start_connect(&socket, target)?;
    let probe = StdStream::from(socket);
    let stream = TcpStream::from_std(probe.try_clone()?)?;
    match monoio::time::timeout(limit, stream.writable(false)).await {
        Err(_) => return Err(DialError::Timeout),
        Ok(result) => result?,
    }
    match probe.take_error()? {
        Some(error) => Err(DialError::Io(error)),
        None => Ok(Dialed { stream, probe }),
    }
}

fn keepalive() -> TcpKeepalive {
    TcpKeepalive::new()
        .with_time(KEEPALIVE_TIME)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES)
}

fn start_connect(socket: &Socket, target: SocketAddr) -> io::Result<()> {
    const IN_PROGRESS: i32 = 115;
    match socket.connect(&target.into()) {
        Err(error) if error.raw_os_error() == Some(IN_PROGRESS) => Ok(()),
        result => result,
    }
}

/// Sets `TCP_USER_TIMEOUT`: closes the connection once sent data is unacknowledged for this long.
///
/// Without it, a connection stays open for minutes during a network partition.
pub fn set_user_timeout(stream: &StdStream, time: Duration) -> io::Result<()> {
    SockRef::from(stream).set_tcp_user_timeout(Some(time))
}

/// Returns true if the peer has neither closed the connection nor sent data that is unread.
#[must_use]
pub fn is_quiet(probe: &StdStream) -> bool {
    let mut byte = [0; 1];
    match probe.peek(&mut byte) {
        Err(error) => error.kind() == io::ErrorKind::WouldBlock,
        Ok(_) => false,
    }
}
