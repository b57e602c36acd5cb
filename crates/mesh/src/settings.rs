//! The settings of a mesh node.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use log::LevelFilter;
use sailtrack_quota::Tolerance;
use sailtrack_settings::{Document, Identity, Problems, Section};
use sailtrack_units::{ByteSize, Period, Ratio};

const SECTIONS: &str = "[node], [ports], [upstream], [store], [bounds], [log]";
const ADDRESS: &str = "an IP number with a port, such as 127.0.0.1:7100";
const PERIOD: &str = "a period such as 250ms, 2.5s or 10m";
const RATIO: &str = "a number from 0 to 1";
const LEVEL: &str = "error, warn, info or debug";

/// The memory that a node is reckoned to have if nothing is set.
const DEFAULT_MEMORY: ByteSize = ByteSize(256 << 20);

/// The bodies of requests may take up one part in so many of the memory. Each stands there up to
/// twice, at the entry and on its way to another node; the rest is for answers and connections.
const BODY_SHARE: usize = 6;
/// The part of the memory for finished answers that wait for their turn.
const READY_SHARE: usize = 16;

/// After how long a node is taken for gone for good: longer than a reboot takes.
const DEFAULT_FORGET: Period = Period::from_millis(300_000);

/// In which time limits of workspaces are measured if nothing is set, and which share of them may
/// run beside them: none.
const DEFAULT_QUOTA_WINDOW: Period = Period::from_millis(5_000);
const DEFAULT_QUOTA_OVERAGE: Ratio = Ratio(0.0);

/// The addresses on which the node listens.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Ports {
    /// For clients on this instance and for the calls of the own upstream.
    pub entry: SocketAddr,
    /// For the question whether the node is ready.
    pub ready: SocketAddr,
    /// For the announcements of the own upstream.
    pub announcements: SocketAddr,
    /// For other nodes.
    pub peer: SocketAddr,
    /// Where other nodes reach that port; another address if something stands between.
    pub advertise: SocketAddr,
    /// For scraping counters, if they are wanted.
    pub metrics: Option<SocketAddr>,
}

/// What all nodes together may send once more to one service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBounds {
    /// The share of its requests that repeats may add,
    pub ratio: Ratio,
    /// beside this many repeats,
    pub slack: f64,
    /// in any window of this length.
    pub window: Period,
}

/// All settings of a mesh node.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The file in which they stand, if they stand in one.
    pub file: Option<PathBuf>,
    /// Who the node is.
    pub identity: Identity,
    /// The whole mesh starts for the first time.
    pub first_start: bool,
    /// Where it listens.
    pub ports: Ports,
    /// Where the upstream beside it is.
    pub upstream: SocketAddr,
    /// Where the store is.
    pub store: SocketAddr,
    /// The most memory that the process may hold.
    pub memory: ByteSize,
    /// How long a planned stop may take.
    pub stop_time: Period,
    /// After this time without a connection a node is taken for gone for good.
    pub forget_after: Period,
    /// What may be sent once more.
    pub retry: RetryBounds,
    /// How long a key that was taken away may go on to be served by a node that cannot hear of it;
    /// without it, until it hears.
    pub revoke_time: Option<Period>,
    /// How far workspaces may go beyond their limits.
    pub quota: Tolerance,
    /// What is logged.
    pub log_level: LevelFilter,
}

impl Settings {
    /// Reads the settings in the file at `path`.
    pub fn load(path: &Path) -> Result<Self, Problems> {
        let settings = Self::read(Document::load(path)?)?;
        Ok(Self {
            file: Some(path.to_owned()),
            ..settings
        })
    }

    /// Reads the settings in `text`; `file` names it in messages.
    pub fn parse(file: &str, text: &str) -> Result<Self, Problems> {
        Self::read(Document::parse(file, text)?)
    }

    /// Returns how much memory the bodies of requests may take up together.
    pub(crate) fn body_memory(&self) -> usize {
        self.memory.as_usize() / BODY_SHARE
    }

    /// Returns how much memory finished answers may take up before connections begin requests one
    /// at a time.
    pub(crate) fn pending_response_memory(&self) -> usize {
        self.memory.as_usize() / READY_SHARE
    }

    /// Returns these settings with those of `other` that only a start can change.
    pub(crate) fn with_fixed_from(self, other: Self) -> Self {
        Self {
            identity: other.identity,
            ports: other.ports,
            upstream: other.upstream,
            store: other.store,
            ..self
        }
    }

    fn read(document: Document) -> Result<Self, Problems> {
        let node = document.section("node");
        let identity = Identity::read(&node);
        let first_start = node.or("first-start", false, "true or false");
        drop(node);
        let ports = read_ports(&document.section("ports"));
        let upstream = document.section("upstream").required("address", ADDRESS);
        let store = document.section("store").required("address", ADDRESS);
        let bounds = document.section("bounds");
        let memory = bounds.or("memory", DEFAULT_MEMORY, "a size such as 256MiB");
        let stop_time = bounds.required("stop-time", PERIOD);
        let forget_after = bounds.or("forget-after", DEFAULT_FORGET, PERIOD);
        let retry = read_retry(&bounds);
        let revoke_time = bounds.optional("revoke-time", PERIOD);
        let quota = read_quota(&bounds);
        drop(bounds);
        let log = document.optional_section("log");
        let log_level = log.or("level", LevelFilter::Info, LEVEL);
        drop(log);
        document.finish(SECTIONS)?;
        let whole = || {
            Some(Self {
                file: None,
                identity: identity?,
                first_start,
                ports: ports?,
                upstream: upstream?,
                store: store?,
                memory,
                stop_time: stop_time?,
                forget_after,
                retry: retry?,
                revoke_time,
                quota,
                log_level,
            })
        };
        whole().ok_or_else(Problems::default)
    }
}

fn read_ports(section: &Section<'_>) -> Option<Ports> {
    let entry = section.required("entry", ADDRESS);
    let ready = section.required("ready", ADDRESS);
    let announcements = section.required("announcements", ADDRESS);
    let peer = section.required("peer", ADDRESS);
    let advertise = section.optional("advertise", ADDRESS);
    Some(Ports {
        entry: entry?,
        ready: ready?,
        announcements: announcements?,
        peer: peer?,
        advertise: advertise.or(peer)?,
        metrics: section.optional("metrics", ADDRESS),
    })
}

fn read_quota(section: &Section<'_>) -> Tolerance {
    let window = section.or("quota-window", DEFAULT_QUOTA_WINDOW, PERIOD);
    let overage = section.or("quota-overage", DEFAULT_QUOTA_OVERAGE, RATIO);
    let slack = section.or("quota-slack", 0.0, "a number of requests");
    Tolerance {
        window: window.0,
        overage: overage.0,
        slack,
    }
}

fn read_retry(section: &Section<'_>) -> Option<RetryBounds> {
    let ratio = section.required("retry-ratio", RATIO);
    let slack = section.required("retry-slack", "a number of requests");
    let window = section.required("retry-window", PERIOD);
    Some(RetryBounds {
        ratio: ratio?,
        slack: slack?,
        window: window?,
    })
}
