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

/// A call for a request in progress waits this many times longer than a new one.
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
    /// What other nodes are told to connect to.
    pub(crate) advertise: SocketAddr,
    /// For operators and for scraping metrics.
    pub(crate) operator: SocketAddr,
}

/// Where the platform is and how often it is asked.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Platform {
    pub(crate) address: SocketAddr,
    /// How often the configuration's version is read.
    pub(crate) poll: Period,
    /// How often the node's own row is renewed.
    pub(crate) renew: Period,
}

/// How the node decides.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Tuning {
    /// Who may enter the own upstream.
    pub(crate) admission: admission::Config,
    /// The share of calls that retries may add.
    pub(crate) retry_ratio: Ratio,
    /// How long a ticket can be used.
    pub(crate) ticket_lifetime: Period,
    /// The most memory for the answers of finished tickets.
    pub(crate) ticket_memory: ByteSize,
}

/// How nodes watch each other.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Detector {
    /// The time between two probes.
    pub(crate) period: Period,
    /// How long an answer to a probe may take.
    pub(crate) timeout: Period,
    /// How long a suspected node may take to answer for itself.
    pub(crate) suspicion_timeout: Period,
    /// How long a dead node is remembered and looked for.
    pub(crate) retention: Period,
}

/// First contacts for a node that starts while the platform is down.
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
