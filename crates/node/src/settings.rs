//! The settings of a node.

use std::net::SocketAddr;
use std::path::Path;

use log::LevelFilter;
use sailtrack_admission::{self as admission, Policy};
use sailtrack_settings::{Document, Identity, Problems, Section};
use sailtrack_units::{ByteSize, Period, Ratio};

const SECTIONS: &str = "[node], [ports], [platform], [policy], [membership], [log]";
const ADDRESS: &str = "an IP number with a port, such as 127.0.0.1:7100";
const PERIOD: &str = "a period such as 250ms, 5s or 10m";

/// A nested call may wait in the admission queue this many times longer than a root request.
const NESTED_QUEUE_TIME_FACTOR: u32 = 2;

/// The addresses on which the node listens.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Ports {
    /// For clients.
    pub(crate) client: SocketAddr,
    /// For the own upstream.
    pub(crate) local: SocketAddr,
    /// For other nodes, TCP and UDP.
    pub(crate) peer: SocketAddr,
    /// The address advertised to other nodes.
    pub(crate) advertise: SocketAddr,
    /// For operators and for scraping metrics.
    pub(crate) operator: SocketAddr,
}

/// Address of the platform, and polling intervals.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Platform {
    pub(crate) address: SocketAddr,
    /// Interval at which the configuration's version is polled.
    pub(crate) poll: Period,
    /// Interval at which the node's row is renewed.
    pub(crate) renew: Period,
}

/// Settings of admission, retries and tickets.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Tuning {
    /// Admission to the own upstream.
    pub(crate) admission: admission::Config,
    /// Ratio of retries to successful calls.
    pub(crate) retry_ratio: Ratio,
    /// Lifetime of a ticket.
    pub(crate) ticket_lifetime: Period,
    /// Limit on the memory for the answers of finished tickets.
    pub(crate) ticket_memory: ByteSize,
}

/// Settings of the failure detector.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Detector {
    /// Interval between two probes.
    pub(crate) period: Period,
    /// Timeout of a probe.
    pub(crate) timeout: Period,
    /// How long a suspect may take to refute the suspicion before it is declared dead.
    pub(crate) suspicion_timeout: Period,
    /// How long a dead member's record is kept and the member is still probed.
    pub(crate) retention: Period,
}

/// Addresses of first contacts for a node that starts while the platform is down.
pub(crate) type Seeds = Vec<SocketAddr>;

/// All settings of a node.
#[derive(Debug, Clone)]
pub(crate) struct Settings {
    pub(crate) identity: Identity,
    pub(crate) ports: Ports,
    pub(crate) platform: Platform,
    pub(crate) tuning: Tuning,
    pub(crate) detector: Detector,
    pub(crate) seeds: Seeds,
    pub(crate) log_level: LevelFilter,
}

impl Settings {
    /// Reads the settings in the file at `path`.
    pub(crate) fn load(path: &Path) -> Result<Self, Problems> {
        let document = Document::load(path)?;
        let identity = Identity::read(&document.section("node"));
        let ports = read_ports(&document.section("ports"));
        let platform = read_platform(&document.section("platform"));
        let tuning = read_tuning(&document.optional_section("policy"));
        let membership = document.optional_section("membership");
        let detector = read_detector(&membership);
        let seeds = membership.list("seeds", ADDRESS);
        drop(membership);
        let log = document.optional_section("log");
        let log_level = log.or("level", LevelFilter::Info, "error, warn, info or debug");
        drop(log);
        document.finish(SECTIONS)?;
        match (identity, ports, platform) {
            (Some(identity), Some(ports), Some(platform)) => Ok(Self {
                identity,
                ports,
                platform,
                tuning,
                detector,
                seeds,
                log_level,
            }),
            _ => Err(Problems::default()),
        }
    }
}

fn read_ports(section: &Section<'_>) -> Option<Ports> {
    let client = section.required("client", ADDRESS);
    let local = section.required("local", ADDRESS);
    let peer = section.required("peer", ADDRESS);
    let advertise = section.optional("advertise", ADDRESS);
    let operator = section.required("operator", ADDRESS);
    Some(Ports {
        client: client?,
        local: local?,
        peer: peer?,
        advertise: advertise.or(peer)?,
        operator: operator?,
    })
}

fn read_platform(section: &Section<'_>) -> Option<Platform> {
    let address = section.required("address", ADDRESS);
    let poll = section.or("poll", Period::from_millis(4000), PERIOD);
    let renew = section.or("renew", Period::from_millis(30_000), PERIOD);
    Some(Platform {
        address: address?,
        poll,
        renew,
    })
}

fn read_tuning(section: &Section<'_>) -> Tuning {
    let queue_time = section.or("queue-time", Period::from_millis(100), PERIOD);
    Tuning {
        admission: admission::Config {
            policy: section.or("mode", Policy::Adaptive, "forward, fixed or adaptive"),
            fixed_limit: section.ranged("fixed-limit", 100, 1..=100_000),
            queue_time,
            nested_queue_time: Period(queue_time.0 * NESTED_QUEUE_TIME_FACTOR),
            warm_up: section.or("warm-up", Period::from_millis(2000), PERIOD),
        },
        retry_ratio: section.or("retry-ratio", Ratio(0.1), "from 0 to 1"),
        ticket_lifetime: section.or("ticket-life", Period::from_millis(300_000), PERIOD),
        ticket_memory: section.or("ticket-memory", ByteSize(16 << 20), "such as 16MiB"),
    }
}

fn read_detector(section: &Section<'_>) -> Detector {
    Detector {
        period: section.or("period", Period::from_millis(500), PERIOD),
        timeout: section.or("timeout", Period::from_millis(200), PERIOD),
        suspicion_timeout: section.or("suspicion", Period::from_millis(1500), PERIOD),
        retention: section.or("forget", Period::from_millis(600_000), PERIOD),
    }
}
