//! A small deployment: a store, and nodes with an upstream beside each.

use std::fs::File;
use std::io::Write as _;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::http::{self, Message, Reader};
use crate::record::Record;
use crate::store::Store;

/// Why a case could not be run.
pub type Failure = Box<dyn std::error::Error>;

static NEXT_ADDRESS: AtomicU64 = AtomicU64::new(1);

/// Returns a loopback address of this run.
pub fn own_address() -> Ipv4Addr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let last = NEXT_ADDRESS.fetch_add(1, Ordering::Relaxed);
    let last = u8::try_from(last % 250).unwrap_or(1) + 1;
    Ipv4Addr::new(127, 64 | (high & 63), low, last)
}

fn free_port(ip: Ipv4Addr) -> std::io::Result<u16> {
    Ok(TcpListener::bind((ip, 0))?.local_addr()?.port())
}

/// How an upstream handles one request; it returns true if the connection stays open.
pub type Handler = dyn Fn(&Upstream, &Message, &mut TcpStream) -> bool + Send + Sync;

/// The upstreams of a deployment.
pub enum Upstreams {
    /// They are threads of this process.
    Threads(Arc<Handler>),
    /// They are processes with the handler of this name.
    Processes(&'static str),
}

/// A stand-in for an upstream.
#[derive(Clone)]
pub struct Upstream {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub record: Record,
    /// It is leaving: its health check fails, and it sends no further heartbeats.
    pub leaving: Arc<AtomicBool>,
    /// It has ended.
    pub ended: Arc<AtomicBool>,
}

impl Upstream {
    /// Records that a request begins to run.
    pub fn record_run(&self, request: &Message) {
        let id = request.field("X-Attempt-Id").unwrap_or("-");
        let left = request.field("X-Deadline-Remaining").unwrap_or("-");
        self.record.line(&format!(
            "upstream {} runs {id} {} ({left} ms left)",
            self.id, request.start
        ));
    }

    /// Returns the head of a signed response, with these further fields.
    pub fn head(&self, request: &Message, fields: &str) -> String {
        let id = request.field("X-Attempt-Id").unwrap_or("-");
        format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Signature: {}.{id}\r\nX-Server-Load: 1,0,100\r\n{fields}\r\n",
            self.id
        )
    }

    /// Answers with a whole body.
    pub fn answer(&self, request: &Message, stream: &mut TcpStream, body: &[u8]) -> bool {
        let head = self.head(request, &format!("Content-Length: {}\r\n", body.len()));
        stream
            .write_all(head.as_bytes())
            .and_then(|()| stream.write_all(body))
            .is_ok()
    }

    /// Starts a process of its own that serves this upstream.
    fn spawn(
        &self,
        control: SocketAddr,
        zone: &str,
        handler: &str,
        record: &Path,
    ) -> Result<Child, Failure> {
        let address = self.address.to_string();
        let control = control.to_string();
        let arguments = [
            "upstream",
            &self.id,
            &self.service,
            &address,
            &control,
            zone,
            handler,
        ];
        let process = Command::new(std::env::current_exe()?)
            .args(arguments)
            .arg(record)
            .stdin(Stdio::null())
            .spawn()?;
        Ok(process)
    }

    /// Serves an upstream in this process, which another one started with these arguments.
    pub fn serve_alone(
        arguments: &[String],
        handler: impl Fn(&str) -> Option<Arc<Handler>>,
    ) -> Result<(), Failure> {
        let [id, service, address, control, zone, name, record] = arguments else {
            return Err("seven arguments are needed".into());
        };
        let handler = handler(name).ok_or("there is no such handler")?;
        let address: SocketAddr = address.parse()?;
        let upstream = Self {
            id: id.clone(),
            service: service.clone(),
            address,
            record: Record::create(record)?,
            leaving: Arc::default(),
            ended: Arc::default(),
        };
        upstream.start(TcpListener::bind(address)?, control.parse()?, zone, handler);
        loop {
            std::thread::park();
        }
    }

    /// Serves connections and sends heartbeats to the node until the process ends.
    fn start(self, listener: TcpListener, control: SocketAddr, zone: &str, handler: Arc<Handler>) {
        let upstream = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if upstream.ended.load(Ordering::SeqCst) {
                    return;
                }
                let (upstream, handler) = (upstream.clone(), Arc::clone(&handler));
                std::thread::spawn(move || upstream.serve(stream, &*handler));
            }
        });
        let zone = zone.to_owned();
        std::thread::spawn(move || {
            for sequence in 1.. {
                if self.leaving.load(Ordering::SeqCst) {
                    return;
                }
                let _ = self.send_heartbeat(control, &zone, sequence);
                std::thread::sleep(Duration::from_millis(1500));
            }
        });
    }

    /// Sends a heartbeat that says that it is ready; returns the status of the answer.
    pub fn send_heartbeat(&self, control: SocketAddr, zone: &str, sequence: u64) -> Option<u16> {
        let body = json!({
            "address": self.address.to_string(),
            "info": {"service": self.service, "version": "v1", "zone": zone, "slots": 100},
            "status": {"state": "ready", "sequence": sequence, "coldRemainingS": 0},
        });
        self.call("Heartbeat", control, &body.to_string())
    }

    /// Says that it leaves; returns the status of the answer.
    pub fn deregister(&self, control: SocketAddr) -> Option<u16> {
        self.call("Deregister", control, "")
    }

    fn call(&self, name: &str, control: SocketAddr, body: &str) -> Option<u16> {
        let start = format!("POST /sailtrack/Instances.{name}/{}", self.id);
        let fields = "Content-Type: application/json\r\n";
        let second = Duration::from_secs(1);
        let answer = http::call(control, &start, fields, body.as_bytes(), second);
        answer.ok().map(|answer| answer.status())
    }

    fn serve(&self, stream: TcpStream, handler: &Handler) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = Reader::new(stream);
        while let Ok(request) = reader.message(false) {
            let has_ended = self.ended.load(Ordering::SeqCst);
            if has_ended || !self.handle(&request, &mut writer, handler) {
                return;
            }
        }
    }

    fn handle(&self, request: &Message, writer: &mut TcpStream, handler: &Handler) -> bool {
        if request.word(1) == "/health" {
            let status = if self.leaving.load(Ordering::SeqCst) {
                "503 Service Unavailable"
            } else {
                "200 OK"
            };
            let response = format!(
                "HTTP/1.1 {status}\r\nX-Instance-Id: {}\r\nX-Server-Load: 1,0,100\r\nContent-Length: 0\r\n\r\n",
                self.id
            );
            return writer.write_all(response.as_bytes()).is_ok();
        }
        if request.field("X-Expected-Instance") != Some(&self.id) {
            let id = request.field("X-Attempt-Id").unwrap_or("-");
            let response = format!(
                "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: {id}\r\nX-Not-Executed: 1\r\nX-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                self.id
            );
            return writer.write_all(response.as_bytes()).is_ok();
        }
        self.record_run(request);
        handler(self, request, writer)
    }
}

/// A node with its upstream.
pub struct Node {
    pub name: String,
    pub entry: SocketAddr,
    ready: SocketAddr,
    pub control: SocketAddr,
    pub zone: String,
    pub upstream: Upstream,
    settings: PathBuf,
    log: PathBuf,
    process: Option<Child>,
    upstream_process: Option<Child>,
    upstream_record: PathBuf,
}

/// A running deployment, ended when dropped.
pub struct Deployment {
    pub record: Record,
    pub store: Store,
    pub nodes: Vec<Node>,
    folder: PathBuf,
    program: PathBuf,
}

impl Deployment {
    /// Starts a deployment of one node and upstream for each pair of a service and a zone. The
    /// upstreams are threads with this handler, or processes that run this one by its name.
    pub fn start(
        record: &Record,
        members: &[(&str, &str)],
        configuration: &Value,
        handler: &Upstreams,
    ) -> Result<Self, Failure> {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let store = Store::start(own_address())?;
        store.configure(configuration);
        let program = std::env::current_dir()?.join("target/release/sailtrack-mesh");
        if !program.exists() {
            return Err("target/release/sailtrack-mesh has not been built".into());
        }
        let mut deployment = Self {
            record: record.clone(),
            store,
            nodes: Vec::new(),
            folder,
            program,
        };
        for (number, (service, zone)) in members.iter().enumerate() {
            deployment.add(number, service, zone, handler)?;
        }
        for node in &mut deployment.nodes {
            node.start(&deployment.program)?;
        }
        deployment.wait_until_ready()?;
        // Links between the nodes and two heartbeats of each upstream.
        std::thread::sleep(Duration::from_millis(3500));
        Ok(deployment)
    }

    fn add(
        &mut self,
        number: usize,
        service: &str,
        zone: &str,
        handler: &Upstreams,
    ) -> Result<(), Failure> {
        let ip = own_address();
        let name = format!("sidecar-{zone}-{number}");
        let listener = TcpListener::bind((ip, 0))?;
        let upstream = Upstream {
            id: format!("i-{number:04x}{:04x}", std::process::id() & 0xffff),
            service: service.to_owned(),
            address: listener.local_addr()?,
            record: self.record.clone(),
            leaving: Arc::default(),
            ended: Arc::default(),
        };
        let ports: Vec<SocketAddr> = (0..5)
            .map(|_| Ok(SocketAddr::from((ip, free_port(ip)?))))
            .collect::<std::io::Result<_>>()?;
        let [entry, ready, control, peer, metrics] = ports[..] else {
            return Err("five ports are needed".into());
        };
        // The same settings as deploy/node.ini with the values of a small deployment.
        let text = format!(
            "[node]\nname = {name}\nservice = {service}\ndomain = {zone}\nfirst-start = true\n\n\
             [ports]\nentry = {entry}\nready = {ready}\nannouncements = {control}\npeer = {peer}\n\
             metrics = {metrics}\n\n[upstream]\naddress = {}\n\n[store]\naddress = {}\n\n\
             [bounds]\nmemory = 260MiB\nstop-time = 6s\nretry-ratio = 0.2\nretry-slack = 49\n\
             retry-window = 10s\n",
            upstream.address, self.store.address
        );
        let settings = self.folder.join(format!("{name}.ini"));
        std::fs::write(&settings, text)?;
        let upstream_record = self.folder.join(format!("{}.txt", upstream.id));
        let process = match handler {
            Upstreams::Threads(handler) => {
                let handler = Arc::clone(handler);
                upstream.clone().start(listener, control, zone, handler);
                None
            }
            Upstreams::Processes(handler) => {
                drop(listener);
                Some(upstream.spawn(control, zone, handler, &upstream_record)?)
            }
        };
        self.nodes.push(Node {
            log: self.folder.join(format!("{name}.log")),
            name,
            entry,
            ready,
            control,
            zone: (*zone).to_owned(),
            upstream,
            settings,
            process: None,
            upstream_process: process,
            upstream_record,
        });
        Ok(())
    }

    /// Starts the process of a node again, beside an upstream that has gone on.
    pub fn restart(&mut self, number: usize) -> Result<(), Failure> {
        let node = &mut self.nodes[number];
        let settings = std::fs::read_to_string(&node.settings)?;
        let settings = settings.replace("first-start = true", "first-start = false");
        std::fs::write(&node.settings, settings)?;
        node.start(&self.program)?;
        self.record.line(&format!("{} is started again", node.name));
        Ok(())
    }

    fn wait_until_ready(&self) -> Result<(), Failure> {
        let until = Instant::now() + Duration::from_secs(15);
        for node in &self.nodes {
            while !node.is_ready() {
                if Instant::now() > until {
                    return Err(format!("{} does not become ready", node.name).into());
                }
                std::thread::sleep(Duration::from_millis(100));
            }
            self.record.line(&format!("{} is ready", node.name));
        }
        Ok(())
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for node in &mut self.nodes {
            let processes = [node.process.take(), node.upstream_process.take()];
            for mut process in processes.into_iter().flatten() {
                let _ = process.kill();
                let _ = process.wait();
            }
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

impl Node {
    fn start(&mut self, program: &PathBuf) -> Result<(), Failure> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let process = Command::new(program)
            .env_clear()
            .env("SAILTRACK_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.process = Some(process);
        Ok(())
    }

    fn is_ready(&self) -> bool {
        let second = Duration::from_secs(1);
        let answer = http::call(self.ready, "GET /sailtrack/ready", "", b"", second);
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    /// Returns the resident memory of the process, if it runs.
    pub fn resident_kib(&self) -> Option<u64> {
        let process = self.process.as_ref()?;
        let status = std::fs::read_to_string(format!("/proc/{}/status", process.id())).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }

    /// Kills the process.
    pub fn kill(&mut self) -> Result<(), Failure> {
        if let Some(mut process) = self.process.take() {
            process.kill()?;
            process.wait()?;
        }
        Ok(())
    }

    /// Returns what an upstream that is a process of its own has recorded.
    pub fn upstream_record(&self) -> Option<String> {
        std::fs::read_to_string(&self.upstream_record).ok()
    }

    /// Kills the process of the upstream.
    pub fn kill_upstream(&mut self) -> Result<(), Failure> {
        let process = self.upstream_process.as_mut();
        let process = process.ok_or("the upstream is no process")?;
        process.kill()?;
        process.wait()?;
        Ok(())
    }
}

/// Returns a configuration with one route for each entry: name, kind, service, timeout in seconds.
pub fn configuration(routes: &[(&str, &str, &str, f64)], services: &[&str]) -> Value {
    let rules: Vec<Value> = routes
        .iter()
        .map(|(name, kind, service, timeout)| {
            json!({
                "name": name, "kind": kind, "targetLatencyS": 1.0, "priority": 1, "public": true,
                "match": {"pathPrefix": format!("/{name}/")},
                "action": {"service": service, "timeoutS": timeout, "maxAttempts": 2},
            })
        })
        .collect();
    let clusters: Vec<Value> = services
        .iter()
        .map(|name| {
            json!({"name": name, "healthPath": "/health", "maxConnections": 600,
                   "protocol": "h1", "tls": false})
        })
        .collect();
    json!({
        "version": 3,
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67_108_864, "headerTimeoutS": 3,
                   "idleTimeoutS": 15},
        "listeners": [{"host": HOST, "rules": rules}],
        "clusters": clusters,
    })
}

/// The host of all routes.
pub const HOST: &str = "hulo84.example";

/// Returns the bytes of a request without a body.
pub fn request(method: &str, path: &str, id: &str, time_ms: u32) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\nX-Deadline-Remaining: {time_ms}\r\n\r\n"
    )
}
