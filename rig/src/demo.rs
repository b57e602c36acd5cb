//! The main job: an event of the Hooghly sizes, scaled, on embedded stand-ins.

use std::fmt::Write as _;
use std::path::Path;
use std::time::Duration;

use serde_json::Value;

use crate::deployment::Deployment;
use crate::error::RigError;
use crate::net::OPERATOR_PORT;
use crate::process::binary;
use crate::world::{StartOptions, World, run_load};

/// How long the demand lasts.
const LENGTH: Duration = Duration::from_secs(16);
/// When the ledger becomes slow.
const SLOW_FROM: Duration = Duration::from_secs(6);
/// How long it is slow.
const SLOW_FOR: Duration = Duration::from_secs(3);
/// How many times slower it is.
const SLOW_FACTOR: f64 = 2.0;
/// The demand, with a surge at the start of the event and clients that do not wait.
const DEMAND: &str = "
[clients]
retries = 6
pause = 200ms
patience = 4s
timeout = 2s
distance = 8ms

[surge]
at = 5s
length = 5s
factor = 3

[kind disbursement]
route = POST /disbursements
repeat = never
importance = critical
rate = 80/s

[kind advance]
route = POST /advances
repeat = never
importance = high
rate = 50/s

[kind register]
route = GET /registers
importance = normal
rate = 10/s

[kind lookup]
route = GET /records
importance = low
rate = 400/s
";

/// Runs the event and prints a summary.
pub fn run(root: &Path) -> Result<(), RigError> {
    let deployment = Deployment::load(&root.join("deployments/hooghly/deployment.ini"))?;
    println!(
        "{}: {} services in {} failure domains, at {} of the true slots",
        deployment.name,
        deployment.services.len(),
        deployment.domains.len(),
        deployment.scale
    );
    let mut world = World::start(
        deployment,
        StartOptions {
            records: true,
            ..StartOptions::default()
        },
    )?;
    println!(
        "{} upstreams, each with its node, serve",
        world.instances.len()
    );
    let start =
        humantime::format_rfc3339_seconds(std::time::SystemTime::now() + Duration::from_secs(5));
    let command = format!("move event salary-day to {start}");
    let reply = world.command("paydesk-1", "demo", &command)?.json()?;
    println!(
        "{command}: {}, {}",
        reply["result"],
        describe(&reply["in_force"])
    );
    let mut settings = format!(
        "[load]\ntargets = {}\nlength = {}ms\n",
        world.targets("paydesk"),
        LENGTH.as_millis()
    );
    settings.push_str(DEMAND);
    let settings = world.write("load.ini", &settings)?;
    println!(
        "salary day: {} s of demand, three times as much from 5 s to 10 s, the ledger slow from 6 s to 9 s",
        LENGTH.as_secs()
    );
    let load = std::thread::spawn(move || run_load(&settings));
    std::thread::sleep(SLOW_FROM);
    set_factor(&world, SLOW_FACTOR)?;
    std::thread::sleep(SLOW_FOR);
    set_factor(&world, 1.0)?;
    let result = load
        .join()
        .map_err(|_| RigError::Output("the load panicked".to_owned()))??;
    println!("\n{}", summary(&world, &result));
    report(&world);
    Ok(())
}

fn set_factor(world: &World, factor: f64) -> Result<(), RigError> {
    for instance in world.instances_of("ledger") {
        world.order(&instance.name, &format!("{{\"factor\": {factor:.1}}}"))?;
    }
    Ok(())
}

fn describe(in_force: &Value) -> String {
    format!(
        "in force on {} of {} instances after {} ms",
        in_force["in_force"], in_force["instances"], in_force["after_ms"]
    )
}

fn summary(world: &World, result: &Value) -> String {
    let mut text = String::from(
        "kind          importance  offered  complete   share  refused  unknown  p50 ms  p99 ms\n",
    );
    for kind in result["kinds"].as_array().into_iter().flatten() {
        let number = |field: &str| kind[field].as_f64().unwrap_or(0.0);
        let share = 100.0 * number("complete") / number("offered").max(1.0);
        // Writing to a string does not fail.
        let _ = writeln!(
            text,
            "{:<13} {:<10} {:>8} {:>9} {share:>6.1}% {:>8} {:>8} {:>7.1} {:>7.1}",
            kind["kind"].as_str().unwrap_or_default(),
            kind["importance"].as_str().unwrap_or_default(),
            number("offered"),
            number("complete"),
            number("not_run"),
            number("unknown"),
            number("p50_us") / 1000.0,
            number("p99_us") / 1000.0,
        );
    }
    let records = world.records();
    let mut services: Vec<&str> = records
        .iter()
        .filter_map(|line| line.split(' ').next())
        .collect();
    services.sort_unstable();
    services.dedup();
    let _ = writeln!(
        text,
        "services that ran a part of it: {}",
        services.join(", ")
    );
    let _ = writeln!(
        text,
        "non-idempotent executions run twice: {}",
        run_twice(&records)
    );
    text
}

fn run_twice(records: &[String]) -> usize {
    const POSTED: [&str; 4] = ["/disbursements", "/advances", "/payments", "/entries"];
    let mut keys: Vec<(&str, &str)> = records
        .iter()
        .filter_map(|line| {
            let words: Vec<&str> = line.split(' ').collect();
            match words[..] {
                [_, "start", _, path, key] if POSTED.contains(&path) => Some((path, key)),
                _ => None,
            }
        })
        .collect();
    let all = keys.len();
    keys.sort_unstable();
    keys.dedup();
    all - keys.len()
}

/// Shows the report on service-level burn as an operator would ask for it.
#[allow(clippy::disallowed_types)]
fn report(world: &World) {
    let mut command = std::process::Command::new(binary("sailtrack"));
    command.args(["report", "--short", "10s", "--long", "1m", "--node"]);
    for instance in &world.instances {
        command.arg(instance.port(OPERATOR_PORT).to_string());
    }
    match command.output() {
        Ok(output) => println!(
            "service-level burn:\n{}",
            String::from_utf8_lossy(&output.stdout)
        ),
        Err(error) => println!("no report: {error}"),
    }
}
