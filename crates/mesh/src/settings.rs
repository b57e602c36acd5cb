//! The settings of a mesh node.

mod stop_time;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use log::LevelFilter;
use sailtrack_quota::Tolerance;
use sailtrack_settings::{Document, Identity, Problems, Section};
use sailtrack_units::{ByteSize, Period, Ratio};

pub use stop_time::StopTime;

const SECTIONS: &str = "[node], [ports], [upstream], [store], [bounds], [log]";
const ADDRESS: &str = "an IP number with a port, such as 127.0.0.1:7100";
const PERIOD: &str = "a period such as 250ms, 2.5s or 10m";
const STOP_TIME: &str = "a period of 3s or more";
const RATIO: &str = "a number from 0 to 1";
const LEVEL: &str = "error, warn, info or debug";

/// The memory limit if none is set.
pub(crate) const DEFAULT_MEMORY: ByteSize = ByteSize(256 << 20);

/// Answers that wait for earlier answers of their connection may use the memory limit divided by
/// this.
const PENDING_RESPONSE_MEMORY_DIVISOR: usize = 16;
/// Input of clients and answers that they have not taken may use the memory limit divided by this,
/// and at least the minimum.
const CLIENT_MEMORY_DIVISOR: usize = 8;
const MIN_CLIENT_MEMORY: usize = 8 * 1024 * 1024;
/// Incomplete messages of other nodes may use the memory limit divided by this, and at least the
/// minimum.
const PEER_INPUT_DIVISOR: usize = 32;
const MIN_PEER_INPUT: usize = 2 * 1024 * 1024;

/// How long a node is unreachable before it is removed for good; longer than a reboot takes.
const DEFAULT_FORGET_AFTER: Period = Period::from_millis(300_000);

/// The default window in which workspace limits are measured.
const DEFAULT_QUOTA_WINDOW: Period = Period::from_millis(5_000);
/// The default share of its limit by which a workspace may exceed it: none.
const DEFAULT_QUOTA_OVERAGE: Ratio = Ratio(0.0);

/// The addresses on which the node listens.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Ports {
    /// For clients on this instance and for calls made by the own upstream.
    pub entry: SocketAddr,
    /// For readiness probes.
    pub ready: SocketAddr,
    /// For announcements of the own upstream.
    pub announcements: SocketAddr,
    /// For other nodes.
    pub peer: SocketAddr,
    /// The address by which other nodes reach the peer port; differs from `peer` behind a proxy or
    /// address translation.
    pub advertise: SocketAddr,
    /// For scraping metrics, if enabled.
    pub metrics: Option<SocketAddr>,
}

/// The limit on retries to one service, for all nodes together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBounds {
    /// The retries allowed in a window, as a share of the requests to the service.
    pub ratio: Ratio,
    /// The retries allowed in a window in addition to that share.
    pub slack: f64,
    /// The length of the window.
    pub window: Period,
}

/// All settings of a mesh node.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The file from which they were read, if any.
    pub file: Option<PathBuf>,
    /// The name, service and failure domain of the node.
    pub identity: Identity,
    /// Whether the whole mesh starts for the first time.
    pub first_start: bool,
    /// The addresses on which the node listens.
    pub ports: Ports,
    /// The address of the own upstream.
    pub upstream: SocketAddr,
    /// The address of the store.
    pub store: SocketAddr,
    /// The memory limit of the process.
    pub memory: ByteSize,
    /// The time limit of a graceful shutdown.
    pub stop_time: StopTime,
    /// How long another node is unreachable before it is removed for good.
    pub forget_after: Period,
    /// The limit on retries.
    pub retry: RetryBounds,
    /// How long a node that cannot learn of configuration changes may go on accepting a revoked
    /// key; without a limit if not set.
    pub revoke_time: Option<Period>,
    /// How far workspaces may exceed their limits.
    pub quota: Tolerance,
    /// The most detailed level that is logged.
    pub log_level: LevelFilter,
}

impl Settings {
    /// Reads settings from the file at `path`.
    pub fn load(path: &Path) -> Result<Self, Problems> {
        let settings = Self::read(Document::load(path)?)?;
        Ok(Self {
            file: Some(path.to_owned()),
            ..settings
        })
    }

    /// Parses settings from `text`; `file` is the name used in error messages.
    pub fn parse(file: &str, text: &str) -> Result<Self, Problems> {
        Self::read(Document::parse(file, text)?)
    }

    /// Returns how much memory answers that wait for earlier answers may use. Beyond it, connections
    /// process pipelined requests one at a time.
    pub(crate) fn pending_response_memory(&self) -> usize {
        self.memory.as_usize() / PENDING_RESPONSE_MEMORY_DIVISOR
    }

    /// Returns how much memory may be used for what clients have sent ahead or not taken. Beyond it,
    /// the connections that hold on to the most are closed.
    pub(crate) fn client_memory(&self) -> usize {
        MIN_CLIENT_MEMORY.max(self.memory.as_usize() / CLIENT_MEMORY_DIVISOR)
    }

    /// Returns how much memory incomplete messages of other nodes may use. Beyond it, the connections
    /// that hold on to the most are closed.
    pub(crate) fn peer_input_memory(&self) -> usize {
        MIN_PEER_INPUT.max(self.memory.as_usize() / PEER_INPUT_DIVISOR)
    }

    /// Returns these settings, except that those which only take effect at a start are taken from
    /// `other`.
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
        let stop_time = bounds.required("stop-time", STOP_TIME);
        let forget_after = bounds.or("forget-after", DEFAULT_FORGET_AFTER, PERIOD);
        let retry = read_retry(&bounds);
        let revoke_time = bounds.optional("revoke-time", PERIOD);
        let quota = read_quota(&bounds);
        drop(bounds);
        let log = document.optional_section("log");
        let log_level = log.or("level", LevelFilter::Info, LEVEL);
        drop(log);
        document.finish(SECTIONS)?;
        let all = || {
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
        all().ok_or_else(Problems::default)
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
