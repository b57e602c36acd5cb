//! Measures what control costs a node at several sizes, and fits lines to it.

use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use sailtrack_units::Ratio;

use crate::deployment::{Deployment, Service};
use crate::error::RigError;
use crate::world::{StartOptions, World, run_load};

/// The numbers of nodes that are measured.
const SIZES: [usize; 5] = [8, 16, 32, 64, 110];
/// The calls a second that are measured.
const RATES: [u32; 4] = [100, 200, 400, 800];
/// How long each measurement lasts.
const LENGTH: Duration = Duration::from_secs(8);
/// How long nodes may settle before they are measured.
const SETTLE: Duration = Duration::from_secs(4);
/// The nodes of one service, as in the letter: 560 nodes in 59 services.
const NODES_PER_SERVICE: usize = 9;
/// The nodes of the letter.
const LETTER_NODES: f64 = 560.0;
/// The calls a second of the letter, for each node.
const LETTER_CALLS: f64 = 220_000.0 / LETTER_NODES;
/// Clock ticks a second in `/proc/PID/stat`.
const TICKS: f64 = 100.0;
/// Bytes in a KiB and KiB in a MiB.
const KIB: f64 = 1024.0;

/// A measured quantity with how it is read from a sample.
type Column = (&'static str, fn(&Sample) -> f64);

/// One measured size.
struct Sample {
    size: f64,
    cpu_percent: f64,
    memory_mib: f64,
    sent: f64,
    received: f64,
    platform: f64,
    in_force_ms: f64,
    /// Rows read and written on the platform for each node until all know all.
    start_reads: f64,
    start_writes: f64,
}

/// Measures and prints everything.
pub fn run() -> Result<(), RigError> {
    println!(
        "idle nodes, means over all nodes, {} s each",
        LENGTH.as_secs()
    );
    println!(
        "nodes | cpu % of a core | MiB | sent B/s | received B/s | platform op/s each | change in force ms | platform rows read, written each at the start"
    );
    let mut samples = Vec::new();
    for size in SIZES {
        let sample = idle(size)?;
        println!(
            "{} | {:.3} | {:.2} | {:.0} | {:.0} | {:.3} | {:.0} | {:.1}, {:.1}",
            sample.size,
            sample.cpu_percent,
            sample.memory_mib,
            sample.sent,
            sample.received,
            sample.platform,
            sample.in_force_ms,
            sample.start_reads,
            sample.start_writes
        );
        samples.push(sample);
    }
    let columns: [Column; 6] = [
        ("cpu % of a core", |sample| sample.cpu_percent),
        ("MiB", |sample| sample.memory_mib),
        ("sent B/s", |sample| sample.sent),
        ("received B/s", |sample| sample.received),
        ("platform op/s each", |sample| sample.platform),
        ("platform rows read each at the start", |sample| {
            sample.start_reads
        }),
    ];
    for (name, read) in columns {
        let points: Vec<(f64, f64)> = samples.iter().map(|one| (one.size, read(one))).collect();
        print_fit(name, "node", &points, LETTER_NODES);
    }
    calls()
}

/// A line through measured points.
struct Fit {
    intercept: f64,
    slope: f64,
    /// The root of the mean of the squared residuals.
    residual: f64,
}

impl Fit {
    fn of(points: &[(f64, f64)]) -> Self {
        let count = f64::from(u32::try_from(points.len()).unwrap_or(1));
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let covariance: f64 = points
            .iter()
            .map(|(x, y)| (x - mean_x) * (y - mean_y))
            .sum();
        let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let slope = covariance / variance.max(f64::EPSILON);
        let intercept = mean_y - slope * mean_x;
        let squares = points
            .iter()
            .map(|(x, y)| (y - intercept - slope * x).powi(2));
        let residual = (squares.sum::<f64>() / count).sqrt();
        Self {
            intercept,
            slope,
            residual,
        }
    }

    fn at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}

fn print_fit(name: &str, unit: &str, points: &[(f64, f64)], target: f64) {
    let fit = Fit::of(points);
    println!(
        "{name} = {:.4} + {:.6} for each {unit}, residual {:.4}; at {target:.0}: {:.3}",
        fit.intercept,
        fit.slope,
        fit.residual,
        fit.at(target)
    );
}

/// Returns a deployment of this many nodes without work.
fn deployment(nodes: usize) -> Deployment {
    let services = nodes.div_ceil(NODES_PER_SERVICE);
    let services = (0..services).map(|at| Service {
        name: format!("s{at}"),
        upstreams: NODES_PER_SERVICE.min(nodes - at * NODES_PER_SERVICE),
        upstream_keys: Vec::new(),
        routes: Vec::new(),
    });
    Deployment {
        name: "capacity".to_owned(),
        domains: (0..10).map(|at| format!("d{at}")).collect(),
        scale: Ratio(1.0),
        services: services.collect(),
        policy: Vec::new(),
        membership: Vec::new(),
        platform: Vec::new(),
        declaration: PathBuf::new(),
    }
}

/// Returns a declaration of the letter's 59 services.
fn declaration() -> String {
    let services = (0..59).map(|at| {
        format!(
            "[service s{at}]\nlimit = auto\n\n[kind k{at}]\nservice = s{at}\nroute = GET /k{at}\n\
             repeat = retry\nallowance = 2\nimportance = normal\ntimeout = 2s\n\n"
        )
    });
    services.collect()
}

fn idle(nodes: usize) -> Result<Sample, RigError> {
    let folder = tempfile::tempdir()?;
    let mut deployment = deployment(nodes);
    deployment.declaration = folder.path().join("declaration.ini");
    std::fs::write(&deployment.declaration, declaration())?;
    let options = StartOptions {
        without_upstreams: true,
        ..StartOptions::default()
    };
    let mut world = World::start(deployment, options)?;
    let start = world.platform_counts()?;
    std::thread::sleep(SETTLE);
    let before = Reading::take(&mut world)?;
    std::thread::sleep(LENGTH);
    let after = Reading::take(&mut world)?;
    let reply = world
        .command("s0-1", "capacity", "set limit s0 to 9")?
        .json()?;
    let in_force_ms = reply["in_force"]["after_ms"].as_f64().unwrap_or(f64::NAN);
    let mut sample = after.since(&before, nodes, in_force_ms);
    sample.start_reads = start["reads"].as_f64().unwrap_or(f64::NAN) / sample.size;
    sample.start_writes = start["writes"].as_f64().unwrap_or(f64::NAN) / sample.size;
    Ok(sample)
}

/// The sums of what all nodes have used up.
struct Reading {
    at: Instant,
    cpu: f64,
    memory: f64,
    sent: f64,
    received: f64,
    platform: f64,
}

impl Reading {
    fn take(world: &mut World) -> Result<Self, RigError> {
        let mut reading = Self {
            at: Instant::now(),
            cpu: 0.0,
            memory: 0.0,
            sent: 0.0,
            received: 0.0,
            platform: 0.0,
        };
        for instance in world.instances.clone() {
            let id = world.process(&instance.name)?.id();
            reading.cpu += cpu_seconds(id);
            reading.memory += resident_mib(id);
            reading.sent += world.metric(&instance.name, "sailtrack_control_sent_bytes_total")?;
            let received = "sailtrack_control_received_bytes_total";
            reading.received += world.metric(&instance.name, received)?;
            reading.platform += world.metric(&instance.name, "sailtrack_platform_operations")?;
        }
        Ok(reading)
    }

    fn since(&self, before: &Self, nodes: usize, in_force_ms: f64) -> Sample {
        let seconds = (self.at - before.at).as_secs_f64();
        let nodes = f64::from(u32::try_from(nodes).unwrap_or(1));
        let each = |after: f64, before: f64| (after - before) / seconds / nodes;
        Sample {
            size: nodes,
            cpu_percent: 100.0 * each(self.cpu, before.cpu),
            memory_mib: self.memory / nodes,
            sent: each(self.sent, before.sent),
            received: each(self.received, before.received),
            platform: each(self.platform, before.platform),
            in_force_ms,
            start_reads: 0.0,
            start_writes: 0.0,
        }
    }
}

/// Returns the processor time that a process has used.
fn cpu_seconds(id: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    let fields = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let ticks = |at: usize| fields.get(at).and_then(|text| text.parse::<f64>().ok());
    (ticks(11).unwrap_or(0.0) + ticks(12).unwrap_or(0.0)) / TICKS
}

/// Returns the memory that a process has resident.
fn resident_mib(id: u32) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number
        .and_then(|number| number.parse::<f64>().ok())
        .unwrap_or(0.0)
        / KIB
}

/// Measures what calls cost the nodes that they cross.
fn calls() -> Result<(), RigError> {
    println!(
        "\ncalls from one node to another, {} s each",
        LENGTH.as_secs()
    );
    println!("calls/s | near node cpu % | far node cpu % | near MiB | far MiB");
    let file = Path::new("rig/tests/deployments/hop.ini");
    let mut near = Vec::new();
    let mut far = Vec::new();
    for rate in RATES {
        let mut world = World::start(Deployment::load(file)?, StartOptions::default())?;
        let settings = format!(
            "[load]\ntargets = {}\nlength = {}ms\n[kind far]\nroute = GET /far\nrate = {rate}/s\n",
            world.targets("near"),
            LENGTH.as_millis()
        );
        let settings = world.write("load.ini", &settings)?;
        let ids = [world.process("near-1")?.id(), world.process("far-1")?.id()];
        let before = ids.map(cpu_seconds);
        run_load(&settings)?;
        let after = ids.map(cpu_seconds);
        let percent = |at: usize| 100.0 * (after[at] - before[at]) / LENGTH.as_secs_f64();
        let memory = ids.map(resident_mib);
        let (one, other) = (percent(0), percent(1));
        println!(
            "{rate} | {one:.2} | {other:.2} | {:.1} | {:.1}",
            memory[0], memory[1]
        );
        near.push((f64::from(rate), one));
        far.push((f64::from(rate), other));
    }
    print_fit("near node cpu %", "call/s", &near, LETTER_CALLS);
    print_fit("far node cpu %", "call/s", &far, LETTER_CALLS);
    Ok(())
}
