//! Relays that stand in front of ports and hold up what crosses a cut.

use std::collections::BTreeSet;
use std::io::{self, Read as _, Write as _};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

use socket2::{Domain, Socket, Type};

/// How often a held-up relay looks whether the cut is healed.
const LOOK: Duration = Duration::from_millis(10);
/// The bytes taken in one read.
const READ_SIZE: usize = 64 * 1024;
/// The largest datagram.
const DATAGRAM_SIZE: usize = 2048;

/// The pairs of failure domains, by number, of which the second hears nothing from the first;
/// the platform is number zero.
#[derive(Debug, Clone, Default)]
pub struct Cuts {
    pairs: Arc<Mutex<BTreeSet<(u8, u8)>>>,
    ended: Arc<AtomicBool>,
}

impl Cuts {
    /// Cuts two failure domains off from each other.
    pub fn cut(&self, one: u8, other: u8) {
        self.cut_one_way(one, other);
        self.cut_one_way(other, one);
    }

    /// Loses what goes from one failure domain to another one.
    pub fn cut_one_way(&self, from: u8, to: u8) {
        self.pairs().insert((from, to));
    }

    /// Heals every cut.
    pub fn heal(&self) {
        self.pairs().clear();
    }

    /// Ends all relays.
    pub fn end(&self) {
        self.ended.store(true, Ordering::Relaxed);
    }

    /// Returns the set of cuts; it is sound even after a panic of a relay's thread.
    fn pairs(&self) -> MutexGuard<'_, BTreeSet<(u8, u8)>> {
        self.pairs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn is_cut(&self, from: u8, to: u8) -> bool {
        self.pairs().contains(&(from, to))
    }

    fn is_ended(&self) -> bool {
        self.ended.load(Ordering::Relaxed)
    }

    /// Waits while nothing goes from one failure domain to another one; returns false at the end.
    fn pass(&self, from: u8, to: u8) -> bool {
        while self.is_cut(from, to) && !self.is_ended() {
            std::thread::sleep(LOOK);
        }
        !self.is_ended()
    }
}

/// Where a relay stands and what it stands in front of.
#[derive(Debug, Clone, Copy)]
pub struct Route {
    /// The address that others are told.
    pub front: SocketAddr,
    /// The address behind it.
    pub back: SocketAddr,
    /// The failure domain behind it.
    pub domain: u8,
}

/// Starts a relay for connections; its port is free once the thread has ended.
pub fn start_tcp(route: Route, cuts: &Cuts) -> io::Result<JoinHandle<()>> {
    let listener = TcpListener::bind(route.front)?;
    listener.set_nonblocking(true)?;
    let cuts = cuts.clone();
    Ok(std::thread::spawn(move || {
        while !cuts.is_ended() {
            match listener.accept() {
                Ok((stream, from)) => {
                    let cuts = cuts.clone();
                    std::thread::spawn(move || connect(&stream, from, route, &cuts));
                }
                Err(_) => std::thread::sleep(Duration::from_millis(1)),
            }
        }
    }))
}

/// Starts a relay for datagrams; its port is free once the thread has ended.
pub fn start_udp(route: Route, cuts: &Cuts) -> io::Result<JoinHandle<()>> {
    let socket = UdpSocket::bind(route.front)?;
    socket.set_read_timeout(Some(LOOK))?;
    let cuts = cuts.clone();
    Ok(std::thread::spawn(move || {
        let mut buffer = [0; DATAGRAM_SIZE];
        while !cuts.is_ended() {
            let Ok((length, from)) = socket.recv_from(&mut buffer) else {
                continue;
            };
            if !cuts.is_cut(domain_of(from.ip()), route.domain) {
                // A datagram that cannot be passed on is lost.
                let _ = socket.send_to(&buffer[..length], route.back);
            }
        }
    }))
}

/// Returns the failure domain that an address of a run belongs to.
fn domain_of(address: IpAddr) -> u8 {
    match address {
        IpAddr::V4(address) => address.octets()[2],
        IpAddr::V6(_) => 0,
    }
}

fn connect(front: &TcpStream, from: SocketAddr, route: Route, cuts: &Cuts) {
    let other = domain_of(from.ip());
    if !cuts.pass(other, route.domain) {
        return;
    }
    let Ok(back) = open_from(from.ip(), route.back) else {
        return;
    };
    let (Ok(front_copy), Ok(back_copy)) = (front.try_clone(), back.try_clone()) else {
        return;
    };
    let Ok(front) = front.try_clone() else {
        return;
    };
    let cuts_copy = cuts.clone();
    let forward = std::thread::spawn(move || copy(front, back, other, route.domain, &cuts_copy));
    copy(back_copy, front_copy, route.domain, other, cuts);
    // The thread's result is the connection's end.
    let _ = forward.join();
}

/// Opens a connection from the address of the one who is relayed.
fn open_from(source: IpAddr, target: SocketAddr) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.bind(&SocketAddr::new(source, 0).into())?;
    socket.connect(&target.into())?;
    Ok(socket.into())
}

fn copy(mut from: TcpStream, mut to: TcpStream, one: u8, other: u8, cuts: &Cuts) {
    let _ = from.set_nonblocking(false);
    let _ = from.set_nodelay(true);
    let _ = to.set_nodelay(true);
    let mut buffer = vec![0; READ_SIZE];
    loop {
        let count = match from.read(&mut buffer) {
            Ok(0) | Err(_) => break,
            Ok(count) => count,
        };
        if !cuts.pass(one, other) || to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    if cuts.pass(one, other) {
        // Either side may have closed already.
        let _ = to.shutdown(std::net::Shutdown::Write);
        let _ = from.shutdown(std::net::Shutdown::Read);
    }
}
