//! A stand-in of a backend: runs requests, answers health checks, and sends heartbeats to the node
//! on its machine.

use std::collections::HashMap;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::client::Connection;
use crate::http::{self, Message, Reader};

/// The interval of heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1500);
/// How many requests it runs at once, as it tells.
const SLOTS: u32 = 112;

/// A request that reached the backend.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub id: String,
    pub tenant: Option<String>,
    /// Whether it was run; otherwise it was meant for another backend and got 421.
    pub ran: bool,
    pub at: Instant,
}

#[derive(Debug, Default)]
struct State {
    arrivals: Vec<Arrival>,
    /// How long it works on a request.
    work_time: Duration,
    sequence: u64,
    /// It has said that it leaves: its health check fails and it sends no heartbeats.
    is_leaving: bool,
    has_ended: bool,
    /// All its slots are taken, so health checks wait.
    is_full: bool,
    /// It sends no further heartbeats by itself.
    is_quiet: bool,
    streams: HashMap<usize, TcpStream>,
}

/// A backend.
#[derive(Clone)]
pub struct Backend {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    /// The node's address for heartbeats.
    pub control: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Backend {
    /// Starts a backend, which sends heartbeats from now on.
    pub fn start(
        (id, service, zone): (&str, &str, &str),
        address: SocketAddr,
        control: SocketAddr,
        work_time: Duration,
    ) -> Self {
        let listener = bind(address);
        let backend = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address,
            control,
            state: Arc::default(),
        };
        backend.state().work_time = work_time;
        let serving = backend.clone();
        std::thread::spawn(move || serving.accept(&listener));
        let beating = backend.clone();
        std::thread::spawn(move || beating.send_heartbeats());
        backend
    }

    /// Returns the requests that reached it.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.state().arrivals.clone()
    }

    /// Creates the next heartbeat, without sending it.
    pub fn next_heartbeat(&self, readiness: &str) -> Value {
        let mut state = self.state();
        state.sequence += 1;
        json!({
            "address": self.address.to_string(),
            "info": {"service": self.service, "version": "v1", "zone": self.zone, "slots": SLOTS},
            "status": {"state": readiness, "sequence": state.sequence, "coldRemainingS": 0},
        })
    }

    /// Delivers a heartbeat; returns the status of the answer, zero without one.
    pub fn deliver(&self, heartbeat: &Value) -> u16 {
        let path = format!("/sailtrack/Instances.Heartbeat/{}", self.id);
        self.call(&path, &heartbeat.to_string())
    }

    /// Stops sending heartbeats and says that it leaves; returns the status of the answer.
    pub fn deregister(&self) -> u16 {
        self.state().is_leaving = true;
        let path = format!("/sailtrack/Instances.Deregister/{}", self.id);
        self.call(&path, "")
    }

    /// Takes all slots, so that health checks wait, and sends no further heartbeats by itself.
    pub fn fill(&self) {
        let mut state = self.state();
        state.is_full = true;
        state.is_quiet = true;
    }

    /// Opens the connection for a heartbeat whose bytes are held up on their way.
    pub fn begin_heartbeat(&self) -> Option<Delayed> {
        let heartbeat = self.next_heartbeat("ready").to_string();
        let connection = Connection::open(self.control, Duration::from_secs(1))?;
        let path = format!("/sailtrack/Instances.Heartbeat/{}", self.id);
        let request = call(&path, &heartbeat);
        Some(Delayed {
            connection,
            request,
        })
    }

    /// Exits: closes its port and all connections.
    pub fn exit(&self) {
        let mut state = self.state();
        state.has_ended = true;
        for stream in state.streams.values() {
            // The other side may have closed it.
            let _ = stream.shutdown(Shutdown::Both);
        }
        drop(state);
        // Wakes the thread that accepts connections, so that it closes the port.
        drop(TcpStream::connect(self.address));
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panicked")
    }

    fn call(&self, path: &str, body: &str) -> u16 {
        let request = call(path, body);
        // An answer counts if it arrives within a second.
        let connection = Connection::open(self.control, Duration::from_secs(1));
        let answer = connection.and_then(|mut connection| connection.exchange(request.as_bytes()));
        answer.map_or(0, |answer| answer.status())
    }

    fn send_heartbeats(&self) {
        loop {
            let has_stopped = {
                let state = self.state();
                state.is_leaving || state.has_ended || state.is_quiet
            };
            if has_stopped {
                return;
            }
            let heartbeat = self.next_heartbeat("ready");
            let is_acknowledged = self.deliver(&heartbeat) == 200;
            std::thread::sleep(if is_acknowledged {
                HEARTBEAT_INTERVAL
            } else {
                Duration::from_millis(200)
            });
        }
    }

    fn accept(&self, listener: &TcpListener) {
        for (number, stream) in listener.incoming().flatten().enumerate() {
            let Ok(copy) = stream.try_clone() else {
                continue;
            };
            let mut state = self.state();
            if state.has_ended {
                return;
            }
            state.streams.insert(number, copy);
            drop(state);
            let backend = self.clone();
            std::thread::spawn(move || {
                backend.serve(stream);
                backend.state().streams.remove(&number);
            });
        }
    }

    fn serve(&self, stream: TcpStream) {
        // Nagle's algorithm would delay small answers.
        let _ = stream.set_nodelay(true);
        let mut reader = Reader::new(stream);
        while let Ok(Some(message)) = reader.read_message() {
            if !self.respond(&mut reader.stream, &message) {
                return;
            }
        }
    }

    fn respond(&self, stream: &mut TcpStream, message: &Message) -> bool {
        if message.word(1) == "/health" {
            while self.state().is_full {
                if self.state().has_ended {
                    return false;
                }
                std::thread::sleep(Duration::from_millis(10));
            }
            let status = if self.state().is_leaving { 503 } else { 200 };
            let fields = format!(
                "X-Instance-Id: {}\r\nX-Server-Load: 0,0,{SLOTS}\r\n",
                self.id
            );
            return http::write_response(stream, status, &fields, b"").is_ok();
        }
        let id = message.field("X-Attempt-Id").unwrap_or_default().to_owned();
        let is_expected = message
            .field("X-Expected-Instance")
            .is_none_or(|expected| expected == self.id);
        let work_time = {
            let mut state = self.state();
            state.arrivals.push(Arrival {
                id: id.clone(),
                tenant: message.field("X-Tenant").map(str::to_owned),
                ran: is_expected,
                at: Instant::now(),
            });
            state.work_time
        };
        if !is_expected {
            let fields = format!("X-Attempt-Id: {id}\r\nX-Instance-Id: {}\r\n", self.id);
            return http::write_response(stream, 421, &fields, b"").is_ok();
        }
        std::thread::sleep(work_time);
        let is_leaving = self.state().is_leaving;
        let close = if is_leaving {
            "Connection: close\r\n"
        } else {
            ""
        };
        let fields = format!(
            "X-Attempt-Id: {id}\r\nX-Server-Signature: sig-{id}\r\nX-Server-Load: 1,0,{SLOTS}\r\n\
             Keep-Alive: timeout=10\r\n{close}"
        );
        let body = format!("answer to {id}");
        http::write_response(stream, 200, &fields, body.as_bytes()).is_ok() && !is_leaving
    }
}

/// A heartbeat that is held up on its way.
pub struct Delayed {
    connection: Connection,
    request: String,
}

impl Delayed {
    /// Lets the heartbeat arrive; returns the status of the answer, zero without one.
    pub fn arrive(mut self) -> u16 {
        let answer = self.connection.exchange(self.request.as_bytes());
        answer.map_or(0, |answer| answer.status())
    }
}

/// Returns the bytes of a call to a node.
fn call(path: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST {path} HTTP/1.1\r\nHost: node\r\nContent-Type: application/json\r\n\
         Content-Length: {length}\r\nConnection: close\r\n\r\n{body}"
    )
}

/// Binds the address, which an earlier incarnation may be about to release.
fn bind(address: SocketAddr) -> TcpListener {
    for _ in 0..100 {
        if let Ok(listener) = TcpListener::bind(address) {
            return listener;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    panic!("the address {address} is not free");
}
