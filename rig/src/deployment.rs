//! What is to be started: failure domains, services, upstreams and routes.

use std::path::{Path, PathBuf};

use ini::{Ini, Properties};
use sailtrack_units::Ratio;

use crate::error::RigError;

/// One service of a deployment.
#[derive(Debug, Clone)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// How many upstreams it has.
    pub upstreams: usize,
    /// The keys of `[upstream]` in the settings of each upstream.
    pub upstream_keys: Vec<(String, String)>,
    /// The sections `[route ...]` in the settings of each upstream.
    pub routes: Vec<(String, Vec<(String, String)>)>,
}

/// A deployment, read from an INI file.
#[derive(Debug, Clone)]
pub struct Deployment {
    /// Its name.
    pub name: String,
    /// The failure domains.
    pub domains: Vec<String>,
    /// The share of its true slots and connections that is started.
    pub scale: Ratio,
    /// The services.
    pub services: Vec<Service>,
    /// The keys of `[policy]` in the settings of each node.
    pub policy: Vec<(String, String)>,
    /// The keys of `[membership]` in the settings of each node.
    pub membership: Vec<(String, String)>,
    /// The keys of `[platform]` in the settings of each node, without the address.
    pub platform: Vec<(String, String)>,
    /// The declaration that is applied at the start.
    pub declaration: PathBuf,
}

impl Deployment {
    /// Reads the deployment in the file at `path`.
    pub fn load(path: &Path) -> Result<Self, RigError> {
        let file = path.display().to_string();
        let wrong = |text: String| RigError::Deployment {
            file: file.clone(),
            text,
        };
        let ini = Ini::load_from_file_noescape(path).map_err(|error| wrong(error.to_string()))?;
        let main = ini
            .section(Some("deployment"))
            .ok_or_else(|| wrong("[deployment] is missing".to_owned()))?;
        let get = |key: &str| {
            let value = main.get(key);
            value.ok_or_else(|| wrong(format!("[deployment] {key} is missing")))
        };
        let scale = main.get("scale").unwrap_or("1").parse();
        let domains = get("domains")?
            .split(',')
            .map(|name| name.trim().to_owned());
        let folder = path.parent().unwrap_or(Path::new("."));
        Ok(Self {
            name: get("name")?.to_owned(),
            domains: domains.collect(),
            scale: scale.map_err(|error| wrong(format!("scale: {error}")))?,
            services: services(&ini),
            policy: keys(ini.section(Some("policy"))),
            membership: keys(ini.section(Some("membership"))),
            platform: keys(ini.section(Some("platform"))),
            declaration: folder.join(get("declaration")?),
        })
    }

    /// Sets how often every service repeats a call that failed.
    pub fn set_service_retries(&mut self, retries: u32) {
        for service in &mut self.services {
            for (_, keys) in &mut service.routes {
                set(keys, "retries", &retries.to_string());
            }
        }
    }

    /// Sets a key of `[policy]` for all nodes.
    pub fn set_policy(&mut self, key: &str, value: &str) {
        set(&mut self.policy, key, value);
    }
}

/// Sets a key in a list of keys.
pub fn set(keys: &mut Vec<(String, String)>, key: &str, value: &str) {
    keys.retain(|(name, _)| name != key);
    keys.push((key.to_owned(), value.to_owned()));
}

fn keys(section: Option<&Properties>) -> Vec<(String, String)> {
    let pairs = section.into_iter().flat_map(Properties::iter);
    pairs
        .map(|(key, value)| (key.to_owned(), value.to_owned()))
        .collect()
}

fn services(ini: &Ini) -> Vec<Service> {
    let names = ini
        .sections()
        .flatten()
        .filter_map(|name| name.strip_prefix("service "));
    let services = names.map(|name| {
        let mut upstream_keys = keys(ini.section(Some(format!("service {name}"))));
        let upstreams = upstream_keys.iter().find(|(key, _)| key == "upstreams");
        let upstreams = upstreams
            .and_then(|(_, count)| count.parse().ok())
            .unwrap_or(1);
        upstream_keys.retain(|(key, _)| key != "upstreams");
        Service {
            name: name.to_owned(),
            upstreams,
            upstream_keys,
            routes: routes(ini, name),
        }
    });
    services.collect()
}

/// Returns the sections `[route SERVICE METHOD PATH]` of a service.
fn routes(ini: &Ini, service: &str) -> Vec<(String, Vec<(String, String)>)> {
    let prefix = format!("route {service} ");
    let found = ini.sections().flatten().filter_map(|name| {
        let route = name.strip_prefix(&prefix)?;
        Some((route.to_owned(), keys(ini.section(Some(name)))))
    });
    found.collect()
}
