//! Starts nodes as processes, with settings made from the template of the deploy file.

use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Stdio};
use std::time::Duration;

use serde_json::{Value, json};

use crate::client::Connection;
use crate::own_address;
use crate::settings::render;

/// What all nodes of a deployment share.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The root of the repository, with the program and the template.
    pub root: PathBuf,
    /// A folder for settings and logs.
    pub folder: PathBuf,
    pub store: SocketAddr,
    /// The bounds of the deployment.
    pub bounds: Value,
}

/// A node.
pub struct Node {
    pub name: String,
    pub service: String,
    pub zone: String,
    pub ip: Ipv4Addr,
    /// The address at which other nodes reach it, if it is behind a proxy.
    pub advertise: Option<SocketAddr>,
    plan: Plan,
    process: Option<Child>,
}

impl Node {
    pub fn new(name: &str, service: &str, zone: &str, plan: &Plan) -> Self {
        Self {
            name: name.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            ip: own_address(),
            advertise: None,
            plan: plan.clone(),
            process: None,
        }
    }

    pub fn entry(&self) -> SocketAddr {
        (self.ip, 7304).into()
    }

    pub fn control(&self) -> SocketAddr {
        (self.ip, 7306).into()
    }

    pub fn backend(&self) -> SocketAddr {
        (self.ip, 7301).into()
    }

    pub fn peer(&self) -> SocketAddr {
        (self.ip, 7620).into()
    }

    fn ready(&self) -> SocketAddr {
        (self.ip, 7302).into()
    }

    fn settings(&self, is_first_start: bool) -> String {
        let fields = json!({
            "nodeName": self.name,
            "role": "node",
            "machineClass": "sidecar",
            "serves": ["sidecar"],
            "ip": self.ip.to_string(),
            "zone": self.zone,
            "bootstrap": is_first_start,
            "limits": {"cpuShare": 0.4, "cores": 1, "memoryMb": 260, "maxFds": 4100},
            "appAddr": self.backend().to_string(),
            "service": self.service,
            "listen": {
                "inbound": format!("{}:7300", self.ip),
                "outbound": self.entry().to_string(),
                "ready": self.ready().to_string(),
                "control": self.control().to_string(),
            },
            "portRange": [7620, 7635],
            "seeds": [],
            "discovery": "static",
            "entry": "static",
            "heartbeatS": 1.5,
            "platform": {
                "address": self.plan.store.to_string(), "form": "table", "writesPerS": 400,
                "readsPerS": 2000, "rowBytes": 65536, "historyS": 20,
            },
            "bounds": self.plan.bounds,
        });
        let template = std::fs::read_to_string(self.plan.root.join("deploy/node.ini"));
        let text = render(&template.expect("the template is there"), &fields);
        match self.advertise {
            Some(address) => {
                text.replacen("\npeer = ", &format!("\nadvertise = {address}\npeer = "), 1)
            }
            None => text,
        }
    }

    pub fn log_file(&self) -> PathBuf {
        self.plan.folder.join(format!("{}.log", self.name))
    }

    /// Starts the process, as the deploy file does.
    #[allow(
        clippy::disallowed_types,
        reason = "the case starts the program that it tests"
    )]
    pub fn start(&mut self, is_first_start: bool) -> std::io::Result<()> {
        let file = self.plan.folder.join(format!("{}.ini", self.name));
        std::fs::write(&file, self.settings(is_first_start))?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.log_file())?;
        let child = std::process::Command::new(program(&self.plan.root))
            .current_dir(&self.plan.root)
            .env_clear()
            .env("SAILTRACK_SETTINGS", &file)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()?;
        self.process = Some(child);
        Ok(())
    }

    /// Kills the process with SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.process.take() {
            // It may have ended by itself.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns true if the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        let process = self.process.as_mut();
        process.is_some_and(|child| !matches!(child.try_wait(), Ok(None)))
    }

    /// Returns true if it answers the readiness question with 200.
    pub fn is_ready(&self) -> bool {
        let request = b"GET /sailtrack/ready HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n";
        let connection = Connection::open(self.ready(), Duration::from_secs(1));
        let answer = connection.and_then(|mut connection| connection.exchange(request));
        answer.is_some_and(|answer| answer.status() == 200)
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns the path of the program.
pub fn program(root: &Path) -> PathBuf {
    root.join("target/release/sailtrack-mesh")
}
