//! A loopback proxy in front of a node's port for other nodes, which can silence the connections
//! that are open: they stay open, but nothing passes any more. Later connections work.

use std::io::{self, Read as _, Write as _};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Timeout of one read; the state is checked after it.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// How long a silenced connection is held open.
const HOLD_TIME: Duration = Duration::from_secs(120);

/// A proxy.
#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    /// Connections with a lower number are silent.
    silent_below: Arc<AtomicU64>,
    next: Arc<AtomicU64>,
}

impl Proxy {
    /// Listens on an address and forwards connections to a target.
    pub fn start(address: SocketAddr, target: SocketAddr) -> Self {
        let listener = TcpListener::bind(address).expect("the address is free");
        let proxy = Self {
            address,
            silent_below: Arc::default(),
            next: Arc::default(),
        };
        let serving = proxy.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let number = serving.next.fetch_add(1, Ordering::SeqCst);
                let proxy = serving.clone();
                std::thread::spawn(move || proxy.forward(&stream, target, number));
            }
        });
        proxy
    }

    /// Silences all connections that are open now.
    pub fn silence_open_connections(&self) {
        let next = self.next.load(Ordering::SeqCst);
        self.silent_below.store(next, Ordering::SeqCst);
    }

    fn is_silent(&self, number: u64) -> bool {
        number < self.silent_below.load(Ordering::SeqCst)
    }

    fn forward(&self, client: &TcpStream, target: SocketAddr, number: u64) {
        let Ok(server) = TcpStream::connect(target) else {
            return;
        };
        // Without this, small messages would be delayed.
        let _ = (client.set_nodelay(true), server.set_nodelay(true));
        let (Ok(client_copy), Ok(server_copy)) = (client.try_clone(), server.try_clone()) else {
            return;
        };
        let back = self.clone();
        let other = std::thread::spawn(move || back.pump(&server_copy, &client_copy, number));
        self.pump(client, &server, number);
        // It ends by itself.
        let _ = other.join();
    }

    fn pump(&self, from: &TcpStream, to: &TcpStream, number: u64) {
        let ended = self.copy(from, to, number);
        if self.is_silent(number) {
            std::thread::sleep(HOLD_TIME);
            return;
        }
        let how = if ended.is_ok() {
            Shutdown::Write
        } else {
            Shutdown::Both
        };
        // The streams may be closed already.
        let _ = to.shutdown(how);
    }

    fn copy(&self, mut from: &TcpStream, mut to: &TcpStream, number: u64) -> io::Result<()> {
        from.set_read_timeout(Some(POLL_INTERVAL))?;
        let mut bytes = [0; 16 * 1024];
        loop {
            if self.is_silent(number) {
                return Ok(());
            }
            let count = match from.read(&mut bytes) {
                Ok(count) => count,
                Err(error) if is_timeout(&error) => continue,
                Err(error) => return Err(error),
            };
            if self.is_silent(number) || count == 0 {
                return Ok(());
            }
            to.write_all(&bytes[..count])?;
        }
    }
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut | io::ErrorKind::Interrupted
    )
}
