//! Clients.

use std::io::Write as _;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crate::http::{Message, Reader};

static NEXT: AtomicU64 = AtomicU64::new(1);

/// Returns an id that no other attempt has.
pub fn attempt_id() -> String {
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    format!("{:08x}{number:08x}", std::process::id())
}

/// A connection, which stays open for many requests.
pub struct Connection(Reader);

impl Connection {
    /// Opens a connection whose answers may take this long; `None` if it is refused.
    pub fn open(address: SocketAddr, limit: Duration) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
        stream.set_read_timeout(Some(limit)).ok()?;
        stream.set_nodelay(true).ok()?;
        Some(Self(Reader::new(stream)))
    }

    /// Sends bytes and returns the answer, or `None` if the connection ends without one.
    pub fn exchange(&mut self, bytes: &[u8]) -> Option<Message> {
        self.0.stream.write_all(bytes).ok()?;
        self.0.read_message().ok().flatten()
    }
}

/// One attempt of a client, and how it ended.
#[derive(Debug, Clone)]
pub struct Attempt {
    pub id: String,
    pub sent_at: Instant,
    pub answered_at: Instant,
    /// Zero if the connection ended without an answer.
    pub status: u16,
}

/// A client that keeps one connection to the node on its machine.
pub struct Client {
    entry: SocketAddr,
    host: String,
    key: Option<String>,
    connection: Option<Connection>,
}

impl Client {
    pub fn new(entry: SocketAddr, host: &str, key: Option<&str>) -> Self {
        Self {
            entry,
            host: host.to_owned(),
            key: key.map(str::to_owned),
            connection: None,
        }
    }

    /// Sends one request and waits for its answer.
    pub fn send(&mut self, method: &str, path: &str) -> Attempt {
        let id = attempt_id();
        let key = self.key.as_ref();
        let key = key.map_or_else(String::new, |key| format!("X-Credential: {key}\r\n"));
        let length = if method == "GET" {
            ""
        } else {
            "Content-Length: 0\r\n"
        };
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: {}\r\nX-Attempt-Id: {id}\r\n\
             X-Deadline-Remaining: 5000\r\n{key}{length}\r\n",
            self.host
        );
        if self.connection.is_none() {
            self.connection = Connection::open(self.entry, Duration::from_secs(6));
        }
        let sent_at = Instant::now();
        let answer = self
            .connection
            .as_mut()
            .and_then(|connection| connection.exchange(request.as_bytes()));
        let closes = answer.as_ref().is_none_or(|answer| {
            let connection = answer.field("Connection").unwrap_or_default();
            connection.eq_ignore_ascii_case("close")
        });
        if closes {
            self.connection = None;
        }
        Attempt {
            id,
            sent_at,
            answered_at: Instant::now(),
            status: answer.map_or(0, |answer| answer.status()),
        }
    }
}
