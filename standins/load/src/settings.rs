//! The settings of the load.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use sailtrack_declaration::{Repeat, Route};
use sailtrack_settings::{Document, Problems, Section};
use sailtrack_units::{Importance, KindName, Period, Rate};

const PERIOD: &str = "a period such as 250ms or 10s";

/// How clients behave.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Behaviour {
    /// How often a client sends its request again.
    pub(crate) retries: u32,
    /// The pause before it does so.
    pub(crate) pause: Period,
    /// Whether it comes back when it is told to.
    pub(crate) obey: bool,
    /// How long a client waits for its whole request.
    pub(crate) patience: Period,
    /// How long one attempt may take.
    pub(crate) timeout: Period,
    /// Whether non-idempotent requests bring tickets.
    pub(crate) tickets: bool,
    /// The one-way time between clients and nodes.
    pub(crate) distance: Period,
}

/// A time of higher demand.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Surge {
    pub(crate) at: Period,
    pub(crate) length: Period,
    pub(crate) factor: f64,
}

/// The demand for one kind of request.
#[derive(Debug, Clone)]
pub(crate) struct Demand {
    pub(crate) kind: KindName,
    pub(crate) route: Route,
    pub(crate) repeat: Repeat,
    pub(crate) importance: Importance,
    pub(crate) rate: Rate,
}

/// The settings of the load.
#[derive(Debug, Clone)]
pub(crate) struct Settings {
    pub(crate) targets: Vec<SocketAddr>,
    pub(crate) length: Period,
    pub(crate) seed: u64,
    /// Where what became of each request is written.
    pub(crate) outcomes: Option<PathBuf>,
    pub(crate) behaviour: Behaviour,
    pub(crate) surge: Option<Surge>,
    pub(crate) demands: Vec<Demand>,
}

impl Settings {
    /// Reads the settings in the file at `path`.
    pub(crate) fn load(path: &Path) -> Result<Self, Problems> {
        let document = Document::load(path)?;
        let section = document.section("load");
        let targets = section.list("targets", "addresses of client ports");
        let length = section.or("length", Period::from_millis(10_000), PERIOD);
        let seed = section.or("seed", 1, "a number");
        let outcomes = section.optional("outcomes", "a path");
        if targets.is_empty() {
            section.refuse("targets", "", "there is nobody to send to", "client ports");
        }
        drop(section);
        let behaviour = read_behaviour(&document.optional_section("clients"));
        let surge = read_surge(&document.optional_section("surge"));
        let demands = document.read_all("kind", read_demand);
        document.finish("[load], [clients], [surge], [kind NAME]")?;
        Ok(Self {
            targets,
            length,
            seed,
            outcomes,
            behaviour,
            surge,
            demands,
        })
    }
}

fn read_behaviour(section: &Section<'_>) -> Behaviour {
    Behaviour {
        retries: section.ranged("retries", 3, 0..=100),
        pause: section.or("pause", Period::from_millis(50), PERIOD),
        obey: section.or("obey", true, "true or false"),
        patience: section.or("patience", Period::from_millis(5000), PERIOD),
        timeout: section.or("timeout", Period::from_millis(2000), PERIOD),
        tickets: section.or("tickets", true, "true or false"),
        distance: section.or("distance", Period::default(), PERIOD),
    }
}

fn read_surge(section: &Section<'_>) -> Option<Surge> {
    let at = section.optional("at", PERIOD)?;
    let length = section.required("length", PERIOD);
    let factor = section.ranged("factor", 3.0, 0.0..=1000.0);
    Some(Surge {
        at,
        length: length?,
        factor,
    })
}

fn read_demand(name: &str, section: &Section<'_>) -> Option<Demand> {
    let route = section.required("route", "a method and a path");
    let rate = section.required("rate", "a rate such as 100/s");
    let repeat = section.or("repeat", Repeat::Retry, "retry, once or never");
    let importance = section.or(
        "importance",
        Importance::Normal,
        "low, normal, high, critical",
    );
    Some(Demand {
        kind: name.parse().ok()?,
        route: route?,
        repeat,
        importance,
        rate: rate?,
    })
}
