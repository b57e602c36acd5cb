//! A running deployment.

mod layout;
mod settings;

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use serde_json::Value;
use tempfile::TempDir;

use crate::deployment::Deployment;
use crate::error::RigError;
use crate::http::{Reply, send};
use crate::net::{CLIENT_PORT, Network, OPERATOR_PORT, UPSTREAM_PORT};
use crate::process::Process;
use crate::relay::Cuts;

/// How long a run may take to become ready.
const READY_TIME: Duration = Duration::from_secs(30);
/// How often a condition is looked at.
pub const LOOK: Duration = Duration::from_millis(20);
/// The name of the platform's process.
pub const PLATFORM: &str = "platform";

/// One instance of a service: an upstream and its node.
#[derive(Debug, Clone)]
pub struct Instance {
    /// The name, such as `ledger-1`; the upstream's process is `ledger-1-upstream`.
    pub name: String,
    /// The service.
    pub service: String,
    /// The number of the failure domain, from one.
    pub domain: u8,
    /// The address that all of its ports are on.
    pub address: Ipv4Addr,
}

impl Instance {
    /// Returns the address of one of its ports.
    #[must_use]
    pub fn port(&self, port: u16) -> SocketAddr {
        SocketAddr::from((self.address, port))
    }
}

/// How a deployment is started.
#[derive(Debug, Clone, Copy, Default)]
pub struct StartOptions {
    /// Whether relays stand between failure domains, so that they can be cut off.
    pub relays: bool,
    /// Whether upstreams write down each execution.
    pub records: bool,
    /// Whether only nodes are started, for measuring what they cost without work.
    pub without_upstreams: bool,
}

/// A running deployment; its processes end when it is dropped.
#[derive(Debug)]
pub struct World {
    /// What was started.
    pub deployment: Deployment,
    /// The instances, in the order of the services.
    pub instances: Vec<Instance>,
    /// The cuts between failure domains.
    pub cuts: Cuts,
    processes: BTreeMap<String, Process>,
    relays: Vec<JoinHandle<()>>,
    folder: TempDir,
    commands: u64,
    /// Released last, when nothing is left on it.
    network: Network,
}

impl World {
    /// Starts everything and waits until every node serves.
    pub fn start(deployment: Deployment, options: StartOptions) -> Result<Self, RigError> {
        let mut world = Self {
            instances: Vec::new(),
            cuts: Cuts::default(),
            processes: BTreeMap::new(),
            relays: Vec::new(),
            folder: tempfile::tempdir()?,
            commands: 0,
            network: Network::reserve()?,
            deployment,
        };
        world.place_instances();
        match world.start_all(options) {
            Ok(()) => Ok(world),
            Err(error) => Err(RigError::NotStarted(Box::new(error), world.last_logs())),
        }
    }

    fn start_all(&mut self, options: StartOptions) -> Result<(), RigError> {
        self.start_platform()?;
        if options.relays {
            self.start_relays()?;
        }
        for instance in self.instances.clone() {
            self.write_node_settings(&instance, options)?;
            self.write_upstream_settings(&instance, options)?;
            self.start_process(&instance.name, "sailtrack-node")?;
            if !options.without_upstreams {
                let upstream = upstream_name(&instance.name);
                self.start_process(&upstream, "sailtrack-upstream")?;
            }
        }
        self.apply_declaration()?;
        let query = if options.without_upstreams {
            "show upstreams"
        } else {
            "show upstreams where state = serving"
        };
        self.wait_until_known(query, READY_TIME)
    }

    /// Returns the folder of settings, logs and records.
    #[must_use]
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Returns the address of the platform.
    #[must_use]
    pub fn platform_address(&self) -> SocketAddr {
        self.network.platform()
    }

    /// Returns an instance by its name.
    pub fn instance(&self, name: &str) -> Result<&Instance, RigError> {
        let mut instances = self.instances.iter();
        let found = instances.find(|instance| instance.name == name);
        found.ok_or_else(|| RigError::NoProcess(name.to_owned()))
    }

    /// Returns the instances of a service.
    #[must_use]
    pub fn instances_of(&self, service: &str) -> Vec<&Instance> {
        let all = self.instances.iter();
        all.filter(|instance| instance.service == service).collect()
    }

    /// Returns the number of a failure domain; `platform` is zero.
    pub fn domain(&self, name: &str) -> Result<u8, RigError> {
        if name == PLATFORM {
            return Ok(0);
        }
        let at = self
            .deployment
            .domains
            .iter()
            .position(|domain| domain == name);
        let at = at.ok_or_else(|| RigError::NoProcess(name.to_owned()))?;
        Ok(u8::try_from(at + 1).unwrap_or(u8::MAX))
    }

    /// Returns a process by its name.
    pub fn process(&mut self, name: &str) -> Result<&mut Process, RigError> {
        let found = self.processes.get_mut(name);
        found.ok_or_else(|| RigError::NoProcess(name.to_owned()))
    }

    /// Starts a process again after it has ended.
    pub fn restart(&mut self, name: &str) -> Result<(), RigError> {
        let program = match name {
            PLATFORM => "sailtrack-platform",
            name if name.ends_with("-upstream") => "sailtrack-upstream",
            _ => "sailtrack-node",
        };
        self.processes.remove(name);
        self.start_process(name, program)
    }

    /// Puts a fault into the platform, as JSON.
    pub fn platform_fault(&self, fault: &str) -> Result<(), RigError> {
        send("POST", self.network.platform(), "/faults", &[], fault).map(|_| ())
    }

    /// Returns how many reads and writes the platform was asked for.
    pub fn platform_counts(&self) -> Result<Value, RigError> {
        send("GET", self.network.platform(), "/counts", &[], "")?.json()
    }

    /// Changes how an upstream behaves, as JSON.
    pub fn order(&self, instance: &str, order: &str) -> Result<(), RigError> {
        let address = self.instance(instance)?.port(UPSTREAM_PORT);
        send("POST", address, "/.control", &[], order).map(|_| ())
    }

    /// Returns what an upstream has counted.
    pub fn upstream_counts(&self, instance: &str) -> Result<Value, RigError> {
        let address = self.instance(instance)?.port(UPSTREAM_PORT);
        send("GET", address, "/.counts", &[], "")?.json()
    }

    /// Gives a command to the node of an instance.
    pub fn command(
        &mut self,
        instance: &str,
        operator: &str,
        command: &str,
    ) -> Result<Reply, RigError> {
        self.commands += 1;
        let id = format!("rig-{}", self.commands);
        let address = self.instance(instance)?.port(OPERATOR_PORT);
        let headers = [("sailtrack-operator", operator), ("sailtrack-command", &id)];
        send("POST", address, "/command", &headers, command)
    }

    /// Returns the value of a metric of a node, summed over its labels.
    pub fn metric(&self, instance: &str, name: &str) -> Result<f64, RigError> {
        let address = self.instance(instance)?.port(OPERATOR_PORT);
        let reply = send("GET", address, "/metrics", &[], "")?;
        let values = reply.body.lines().filter_map(|line| {
            let (left, value) = line.rsplit_once(' ')?;
            let metric = left.split('{').next()?;
            (metric == name).then(|| value.parse::<f64>().ok())?
        });
        Ok(values.sum())
    }

    /// Returns the lines that upstreams have written down.
    #[must_use]
    pub fn records(&self) -> Vec<String> {
        let mut lines = Vec::new();
        for instance in &self.instances {
            let path = self.record_path(&instance.name);
            let text = std::fs::read_to_string(path).unwrap_or_default();
            lines.extend(
                text.lines()
                    .map(|line| format!("{} {line}", instance.service)),
            );
        }
        lines
    }

    /// Returns the last lines of every log, for the message about a failure.
    #[must_use]
    pub fn last_logs(&self) -> String {
        const LINES: usize = 4;
        let mut text = String::new();
        for (name, process) in &self.processes {
            let log = std::fs::read_to_string(&process.log).unwrap_or_default();
            let lines: Vec<&str> = log.lines().collect();
            for line in lines.iter().skip(lines.len().saturating_sub(LINES)) {
                // Writing to a string does not fail.
                let _ = writeln!(text, "{name}: {line}");
            }
        }
        text
    }

    /// Runs the load tool with these settings and returns its results.
    pub fn load(&self, settings: &str) -> Result<Value, RigError> {
        let path = self.write("load.ini", settings)?;
        run_load(&path)
    }

    /// Returns the settings lines that name the client ports of a service.
    #[must_use]
    pub fn targets(&self, service: &str) -> String {
        let instances = self.instances_of(service);
        let ports: Vec<String> = instances
            .iter()
            .map(|instance| instance.port(CLIENT_PORT).to_string())
            .collect();
        ports.join(", ")
    }

    /// Waits until a condition holds, looking at it again and again.
    pub fn wait(
        &mut self,
        what: &str,
        limit: Duration,
        mut condition: impl FnMut(&mut Self) -> Result<bool, RigError>,
    ) -> Result<Duration, RigError> {
        let started = Instant::now();
        loop {
            if let Ok(true) = condition(self) {
                return Ok(started.elapsed());
            }
            if started.elapsed() >= limit {
                return Err(RigError::NotReached(what.to_owned(), limit));
            }
            std::thread::sleep(LOOK);
        }
    }

    /// Waits until a query shows every instance on every node.
    fn wait_until_known(&mut self, query: &str, limit: Duration) -> Result<(), RigError> {
        let instances = self.instances.clone();
        for instance in &instances {
            let what = format!("{} knows everybody", instance.name);
            self.wait(&what, limit, |world| world.knows_everybody(instance, query))?;
        }
        Ok(())
    }

    fn knows_everybody(&mut self, instance: &Instance, query: &str) -> Result<bool, RigError> {
        let total = self.instances.len();
        let reply = self.command(&instance.name, "rig", query)?;
        let reply = reply.json()?;
        Ok(reply["rows"]
            .as_array()
            .is_some_and(|rows| rows.len() == total))
    }

    fn start_platform(&mut self) -> Result<(), RigError> {
        let settings = format!("[platform]\naddress = {}\n", self.network.platform());
        self.write("platform.ini", &settings)?;
        self.start_process(PLATFORM, "sailtrack-platform")
    }

    fn start_process(&mut self, name: &str, program: &str) -> Result<(), RigError> {
        let settings = self.folder.path().join(format!("{name}.ini"));
        let log = self.folder.path().join(format!("{name}.log"));
        let process = Process::start(name, program, &settings, &log)?;
        self.processes.insert(name.to_owned(), process);
        Ok(())
    }

    fn record_path(&self, instance: &str) -> PathBuf {
        self.folder.path().join(format!("{instance}.record"))
    }

    /// Writes a file into the run's folder and returns its path.
    pub fn write(&self, name: &str, text: &str) -> Result<PathBuf, RigError> {
        let path = self.folder.path().join(name);
        std::fs::write(&path, text)?;
        Ok(path)
    }

    /// Applies the deployment's declaration through the first node that takes it.
    fn apply_declaration(&mut self) -> Result<(), RigError> {
        let text = std::fs::read_to_string(&self.deployment.declaration)?;
        let address = self.instances[0].port(OPERATOR_PORT);
        self.wait("the declaration is accepted", READY_TIME, |_| {
            let headers = [
                ("sailtrack-operator", "rig"),
                ("sailtrack-command", "first"),
            ];
            let reply = send("POST", address, "/apply", &headers, &text)?;
            if reply.status == 400 {
                eprintln!("{}", reply.body);
            }
            Ok(reply.status == 200 || reply.status == 409)
        })
        .map(|_| ())
    }
}

impl Drop for World {
    fn drop(&mut self) {
        self.cuts.end();
        self.processes.clear();
        for relay in self.relays.drain(..) {
            // The port of a relay that panicked is free as well.
            let _ = relay.join();
        }
        if std::env::var_os("SAILTRACK_KEEP").is_some() {
            let kept = std::mem::replace(&mut self.folder, tempfile::tempdir().expect("a folder"));
            eprintln!("kept in {}", kept.keep().display());
        }
    }
}

/// Returns the name of an instance's upstream process.
#[must_use]
pub fn upstream_name(instance: &str) -> String {
    format!("{instance}-upstream")
}

/// Runs the load tool and returns its results.
#[allow(clippy::disallowed_types)]
pub(crate) fn run_load(settings: &Path) -> Result<Value, RigError> {
    let program = crate::process::binary("sailtrack-load");
    let output = std::process::Command::new(program)
        .arg(settings)
        .output()
        .map_err(|error| RigError::Start("sailtrack-load".to_owned(), error))?;
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let complaint = String::from_utf8_lossy(&output.stderr).into_owned();
    serde_json::from_str(text.trim()).map_err(|_| RigError::Output(text + &complaint))
}
