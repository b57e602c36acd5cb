//! A small deployment: the store, and machines with a node and a backend each.

use std::path::{Path, PathBuf};
use std::time::Duration;

use serde_json::{Value, json};

use crate::backend::Backend;
use crate::node::{Node, Plan};
use crate::proxy::Proxy;
use crate::store::Store;
use crate::{own_address, wait_until};

/// A machine.
pub struct Machine {
    pub node: Node,
    pub backend: Backend,
    /// The proxy in front of the node's port for other nodes, if it has one.
    pub proxy: Option<Proxy>,
}

/// A deployment.
pub struct Deployment {
    pub store: Store,
    pub machines: Vec<Machine>,
    folder: PathBuf,
}

/// What to start.
pub struct Layout<'a> {
    pub root: &'a Path,
    /// The service and the zone of each machine.
    pub machines: &'a [(&'a str, &'a str)],
    pub configuration: &'a Value,
    pub bounds: Value,
    /// How long backends work on a request.
    pub work_time: Duration,
    /// Whether a proxy stands in front of each node's port for other nodes.
    pub has_proxies: bool,
}

impl Deployment {
    /// Starts a deployment for the first time; returns `None` if it does not become ready.
    pub fn start(layout: &Layout<'_>) -> Option<Self> {
        let folder = std::env::temp_dir().join(format!("sailtrack-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).ok()?;
        let store = Store::start();
        store.configure(layout.configuration);
        let plan = Plan {
            root: layout.root.to_owned(),
            folder: folder.clone(),
            store: store.address,
            bounds: layout.bounds.clone(),
        };
        let mut machines = Vec::new();
        for (number, (service, zone)) in layout.machines.iter().enumerate() {
            let mut node = Node::new(&format!("sidecar-{zone}-{number}"), service, zone, &plan);
            let proxy = layout.has_proxies.then(|| {
                let address = (own_address(), 7620).into();
                Proxy::start(address, node.peer())
            });
            node.advertise = proxy.as_ref().map(|proxy| proxy.address);
            node.start(true).ok()?;
            let names = (&*format!("i-{number:02}a{number:02}"), *service, *zone);
            let backend = Backend::start(names, node.backend(), node.control(), layout.work_time);
            machines.push(Machine {
                node,
                backend,
                proxy,
            });
        }
        let deployment = Self {
            store,
            machines,
            folder,
        };
        deployment.wait_until_ready().then_some(deployment)
    }

    /// Waits until all nodes are ready; returns false if one is not.
    pub fn wait_until_ready(&self) -> bool {
        let mut nodes = self.machines.iter().map(|machine| &machine.node);
        nodes.all(|node| wait_until(Duration::from_secs(10), || node.is_ready()))
    }

    /// Returns the names of the nodes whose processes have ended by themselves.
    pub fn ended_nodes(&mut self) -> Vec<String> {
        let nodes = self.machines.iter_mut().map(|machine| &mut machine.node);
        let ended = nodes.filter_map(|node| node.has_ended().then(|| node.name.clone()));
        ended.collect()
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for machine in &mut self.machines {
            machine.node.kill();
        }
        if std::env::var_os("KEEP").is_none() {
            // It lies in the temporary folder.
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// Returns a configuration with a route for each service: its name, kind and path prefix.
pub fn configuration(routes: &[(&str, &str, &str)]) -> Value {
    let rules: Vec<Value> = routes
        .iter()
        .map(|(service, kind, prefix)| {
            json!({
                "name": format!("r-{service}-{kind}"), "kind": kind, "targetLatencyS": 1.5,
                "priority": 1, "match": {"pathPrefix": prefix},
                "action": {"service": service, "timeoutS": 5, "maxAttempts": 2},
            })
        })
        .collect();
    let mut services: Vec<&str> = routes.iter().map(|(service, _, _)| *service).collect();
    services.sort_unstable();
    services.dedup();
    let clusters: Vec<Value> = services
        .iter()
        .map(|service| {
            json!({"name": service, "healthPath": "/health", "maxConnections": 772,
                   "protocol": "h1", "tls": false})
        })
        .collect();
    json!({
        "version": 7,
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1_048_576, "headerTimeoutS": 3,
                   "idleTimeoutS": 15},
        "listeners": [{"host": HOST, "rules": rules}],
        "clusters": clusters,
    })
}

/// The host of all routes.
pub const HOST: &str = "hulo84.example";
