//! What an experiment does, read from an INI file.

use std::path::{Path, PathBuf};
use std::time::Duration;

use sailtrack_settings::{Document, Problems, Section};
use sailtrack_units::{Importance, Period, Rate};

const PERIOD: &str = "a period such as 250ms or 10s";
const SECTIONS: &str = "[experiment], [clients], [surge], [trigger NAME], [kind NAME], [slots]";

/// What happens to the deployment for a while.
#[derive(Debug, Clone)]
pub struct Trigger {
    /// When it begins, counted from the start of the load.
    pub at: Duration,
    /// How long it lasts.
    pub length: Duration,
    /// The service whose upstreams become slower, with the factor.
    pub slow: Option<(String, f64)>,
    /// The instance whose node and upstream are killed and started again at the end.
    pub kill: Option<String>,
    /// The fault of the platform, as JSON.
    pub platform: Option<String>,
    /// Two failure domains that are cut off from each other.
    pub cut: Option<(String, String)>,
}

/// The demand for one kind of request, with what it costs in slot time.
#[derive(Debug, Clone)]
pub struct Demand {
    /// The kind.
    pub kind: String,
    /// How it is sent.
    pub route: String,
    /// Whether it may be repeated.
    pub repeat: String,
    /// How much it matters.
    pub importance: Importance,
    /// How many a second without a surge.
    pub rate: Rate,
    /// The slot time it takes up in each service.
    pub costs: Vec<(String, Duration)>,
}

/// The policies that are compared.
#[derive(Debug, Clone)]
pub struct Policy {
    /// The mode of the nodes.
    pub mode: String,
    /// How often the services themselves repeat a call that failed.
    pub service_retries: u32,
}

/// What an experiment does.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The name of the file without its ending.
    pub name: String,
    /// The deployment.
    pub deployment: PathBuf,
    /// The service that clients send to.
    pub entry: String,
    /// How long the load lasts.
    pub length: Duration,
    /// The seeds of the demand, one run each.
    pub seeds: Vec<u64>,
    /// The policies.
    pub policies: Vec<Policy>,
    /// Whether failure domains can be cut off.
    pub relays: bool,
    /// The keys of `[clients]` for the load tool.
    pub clients: Vec<(String, String)>,
    /// When the surge begins, how long it lasts and by what it multiplies the demand.
    pub surge: Option<(Duration, Duration, f64)>,
    /// What happens meanwhile.
    pub triggers: Vec<Trigger>,
    /// The demand.
    pub demands: Vec<Demand>,
    /// All slots of each service, for working out what the capacity allows.
    pub slots: Vec<(String, f64)>,
}

const CLIENT_KEYS: [&str; 6] = [
    "retries", "pause", "obey", "patience", "timeout", "distance",
];

impl Plan {
    /// Reads the experiment in the file at `path`.
    pub fn load(path: &Path) -> Result<Self, Problems> {
        let document = Document::load(path)?;
        let folder = path.parent().unwrap_or(Path::new(".")).to_path_buf();
        let main = document.section("experiment");
        let deployment = main.required::<PathBuf>("deployment", "a path relative to this file");
        let entry = main.required("entry", "the name of a service");
        let length = main.or("length", Period::from_millis(20_000), PERIOD).0;
        let seeds = main.list("seeds", "numbers");
        let policies = main.list("policies", "MODE/SERVICE-RETRIES, such as forward/3");
        let relays = main.or("relays", false, "true or false");
        drop(main);
        let clients = read_clients(&document.optional_section("clients"));
        let surge = read_surge(&document.optional_section("surge"));
        let triggers = document.read_all("trigger", |_, section| read_trigger(section));
        let slots = read_slots(&document);
        let services: Vec<String> = slots.iter().map(|(name, _)| name.clone()).collect();
        let demands = document.read_all("kind", |name, section| {
            read_demand(name, section, &services)
        });
        document.finish(SECTIONS)?;
        let (Some(deployment), Some(entry)) = (deployment, entry) else {
            return Err(Problems::default());
        };
        let name = path
            .file_stem()
            .map(|name| name.to_string_lossy().into_owned());
        Ok(Self {
            name: name.unwrap_or_default(),
            deployment: folder.join(deployment),
            entry,
            length,
            seeds,
            policies: policies
                .iter()
                .filter_map(|text: &String| policy(text))
                .collect(),
            relays,
            clients,
            surge,
            triggers,
            demands,
            slots,
        })
    }

    /// Returns when the last trigger and the surge have ended.
    #[must_use]
    pub fn trigger_end(&self) -> Duration {
        let triggers = self
            .triggers
            .iter()
            .map(|trigger| trigger.at + trigger.length);
        let surge = self.surge.map(|(at, length, _)| at + length);
        triggers.chain(surge).max().unwrap_or_default()
    }

    /// Returns when the first trigger or the surge begins.
    #[must_use]
    pub fn trigger_start(&self) -> Duration {
        let triggers = self.triggers.iter().map(|trigger| trigger.at);
        let surge = self.surge.map(|(at, _, _)| at);
        triggers.chain(surge).min().unwrap_or_default()
    }
}

fn policy(text: &str) -> Option<Policy> {
    let (mode, retries) = text.split_once('/')?;
    Some(Policy {
        mode: mode.to_owned(),
        service_retries: retries.parse().ok()?,
    })
}

fn read_clients(section: &Section<'_>) -> Vec<(String, String)> {
    let keys = CLIENT_KEYS.iter();
    let pairs = keys.filter_map(|key| {
        let value: Option<String> = section.optional(key, "as in the settings of the load tool");
        Some(((*key).to_owned(), value?))
    });
    pairs.collect()
}

fn read_surge(section: &Section<'_>) -> Option<(Duration, Duration, f64)> {
    let at: Period = section.optional("at", PERIOD)?;
    let length: Option<Period> = section.required("length", PERIOD);
    let factor = section.ranged("factor", 3.0, 0.0..=100.0);
    Some((at.0, length?.0, factor))
}

fn read_trigger(section: &Section<'_>) -> Option<Trigger> {
    let at: Option<Period> = section.required("at", PERIOD);
    let length: Option<Period> = section.required("length", PERIOD);
    let slow: Option<String> = section.optional("slow", "the name of a service");
    let factor = section.ranged("factor", 10.0, 0.0..=1000.0);
    let cut: Vec<String> = section.list("cut", "two failure domains, or one and platform");
    let [one, other] = cut.as_slice() else {
        return Some(Trigger {
            at: at?.0,
            length: length?.0,
            slow: slow.map(|service| (service, factor)),
            kill: section.optional("kill", "the name of an instance"),
            platform: section.optional("platform", "a fault as JSON"),
            cut: None,
        });
    };
    Some(Trigger {
        at: at?.0,
        length: length?.0,
        slow: None,
        kill: None,
        platform: None,
        cut: Some((one.clone(), other.clone())),
    })
}

fn read_slots(document: &Document) -> Vec<(String, f64)> {
    let section = document.optional_section("slots");
    let names: Vec<String> = section.list("services", "names of services");
    let slots = names.into_iter().filter_map(|name| {
        let slots = section.required(&name, "all slots of the service")?;
        Some((name, slots))
    });
    slots.collect()
}

fn read_demand(name: &str, section: &Section<'_>, services: &[String]) -> Option<Demand> {
    let route = section.required("route", "a method and a path");
    let rate = section.required("rate", "a rate such as 100/s");
    let repeat = section.or("repeat", "retry".to_owned(), "retry, once or never");
    let importance = section.or(
        "importance",
        Importance::Normal,
        "low, normal, high, critical",
    );
    let costs = services.iter().filter_map(|service| {
        let cost: Option<Period> = section.optional(service, PERIOD);
        Some((service.clone(), cost?.0))
    });
    let costs = costs.collect();
    Some(Demand {
        kind: name.to_owned(),
        route: route?,
        repeat,
        importance,
        rate: rate?,
        costs,
    })
}
