//! The settings of the stand-in.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use sailtrack_settings::{Document, Problems, Section};
use sailtrack_units::{ByteSize, Period, Ratio};

use crate::route::{Route, SubcallList, WorkTime};

const PERIOD: &str = "a period such as 10ms or 2s";
const ADDRESS: &str = "an IP number with a port";

/// The settings of the stand-in.
#[derive(Debug, Clone)]
pub(crate) struct Settings {
    pub(crate) address: SocketAddr,
    /// The port of its node for announcements and calls.
    pub(crate) node: SocketAddr,
    pub(crate) slots: u32,
    /// The slots that it says it has, if that is not true.
    pub(crate) claimed_slots: Option<u32>,
    /// The calls that may wait for a slot; beyond that it sheds.
    pub(crate) queue: usize,
    pub(crate) connections: usize,
    pub(crate) accept_time: Period,
    /// How long it is slower after its start.
    pub(crate) cold_time: Period,
    pub(crate) announce_every: Period,
    /// Whether it may be ordered to send responses twice.
    pub(crate) sends_copies: bool,
    /// Where each execution is written down.
    pub(crate) record: Option<PathBuf>,
    pub(crate) routes: Vec<Route>,
}

impl Settings {
    /// Reads the settings in the file at `path`.
    pub(crate) fn load(path: &Path) -> Result<Self, Problems> {
        let document = Document::load(path)?;
        let section = document.section("upstream");
        let address = section.required("address", ADDRESS);
        let node = section.required("node", ADDRESS);
        let slots = section.ranged("slots", 20, 1..=100_000);
        let claimed_slots = section.optional("claimed-slots", "a number");
        let queue = section.ranged("queue", 1000, 0..=1_000_000);
        let connections = section.ranged("connections", 1000, 1..=100_000);
        let accept_time = section.or("accept-time", Period::default(), PERIOD);
        let cold_time = section.or("cold-time", Period::default(), PERIOD);
        let announce_every = section.or("announce-every", Period::from_millis(500), PERIOD);
        let sends_copies = section.or("copies", false, "true or false");
        let record = section.optional("record", "a path");
        drop(section);
        let routes = document.read_all("route", read_route);
        document.finish("[upstream], [route METHOD PATH]")?;
        let (Some(address), Some(node)) = (address, node) else {
            return Err(Problems::default());
        };
        Ok(Self {
            address,
            node,
            slots,
            claimed_slots,
            queue,
            connections,
            accept_time,
            cold_time,
            announce_every,
            sends_copies,
            record,
            routes,
        })
    }
}

fn read_route(name: &str, section: &Section<'_>) -> Option<Route> {
    let time = section.or("time", Period::from_millis(5), PERIOD);
    let spread = section.or("spread", WorkTime::Exponential, "fixed or exponential");
    let calls = section.or(
        "calls",
        SubcallList::default(),
        "METHOD SERVICE PATH, separated by ';'",
    );
    let parallel = section.or("parallel", false, "true or false");
    let retries = section.ranged("retries", 0, 0..=100);
    let answer = section.or("answer", ByteSize(64), "a size such as 2KiB");
    let fail = section.or("fail", Ratio(0.0), "from 0 to 1");
    let Some((method, path)) = name.split_once(' ') else {
        section.refuse("NAME", name, "not a route", "METHOD PATH");
        return None;
    };
    Some(Route {
        method: method.to_owned(),
        prefix: path.to_owned(),
        time,
        spread,
        calls: calls.0,
        parallel,
        retries,
        answer,
        fail,
    })
}
