//! A loopback proxy in front of a node's port for other nodes. It can silence the connections that
//! are open: they stay open, but nothing passes any more, while later ones work. It can also hold
//! back what passes to and from a machine that is cut off, until the cut ends.

use std::io::{self, Read as _, Write as _};
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
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
    cut: Arc<Mutex<Cut>>,
}

/// A connection through the proxy.
#[derive(Debug, Clone, Copy)]
struct Flow {
    number: u64,
    client: IpAddr,
}

/// Whose connections are held back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Cut {
    /// Nobody's.
    #[default]
    None,
    /// Those of the machine with this address.
    From(IpAddr),
    /// All.
    All,
}

impl Proxy {
    /// Listens on an address and forwards connections to a target.
    pub fn start(address: SocketAddr, target: SocketAddr) -> Self {
        let listener = TcpListener::bind(address).expect("the address is free");
        let proxy = Self {
            address,
            silent_below: Arc::default(),
            next: Arc::default(),
            cut: Arc::default(),
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

    /// Begins or ends a cut.
    pub fn set_cut(&self, cut: Cut) {
        *self.cut.lock().expect("no thread panicked") = cut;
    }

    /// Returns true while the connections of a client are held back.
    fn is_cut(&self, client: IpAddr) -> bool {
        match *self.cut.lock().expect("no thread panicked") {
            Cut::None => false,
            Cut::From(machine) => machine == client,
            Cut::All => true,
        }
    }

    fn is_silent(&self, number: u64) -> bool {
        number < self.silent_below.load(Ordering::SeqCst)
    }

    fn forward(&self, client: &TcpStream, target: SocketAddr, number: u64) {
        let Ok(address) = client.peer_addr() else {
            return;
        };
        while self.is_cut(address.ip()) {
            std::thread::sleep(POLL_INTERVAL);
        }
        let Ok(server) = TcpStream::connect(target) else {
            return;
        };
        let flow = Flow {
            number,
            client: address.ip(),
        };
        // Without this, small messages would be delayed.
        let _ = (client.set_nodelay(true), server.set_nodelay(true));
        let (Ok(client_copy), Ok(server_copy)) = (client.try_clone(), server.try_clone()) else {
            return;
        };
        let back = self.clone();
        let other = std::thread::spawn(move || back.pump(&server_copy, &client_copy, flow));
        self.pump(client, &server, flow);
        // It ends by itself.
        let _ = other.join();
    }

    fn pump(&self, from: &TcpStream, to: &TcpStream, flow: Flow) {
        let ended = self.copy(from, to, flow);
        if self.is_silent(flow.number) {
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

    fn copy(&self, mut from: &TcpStream, mut to: &TcpStream, flow: Flow) -> io::Result<()> {
        from.set_read_timeout(Some(POLL_INTERVAL))?;
        let mut bytes = [0; 16 * 1024];
        loop {
            if self.is_silent(flow.number) {
                return Ok(());
            }
            if self.is_cut(flow.client) {
                std::thread::sleep(POLL_INTERVAL);
                continue;
            }
            let count = match from.read(&mut bytes) {
                Ok(count) => count,
                Err(error) if is_timeout(&error) => continue,
                Err(error) => return Err(error),
            };
            if self.is_silent(flow.number) || count == 0 {
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
