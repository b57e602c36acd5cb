//! Measures the time that a node adds to a call, against a direct call in the same run.

use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

use crate::deployment::Deployment;
use crate::error::RigError;
use crate::net::{CLIENT_PORT, UPSTREAM_PORT};
use crate::world::{StartOptions, World};

/// The calls that are left out at the start.
const WARM_UP: usize = 500;
/// The longest time recorded, in nanoseconds.
const LONGEST_NS: u64 = 10_000_000_000;
/// The aim of the letter: the time added to a call for 99 in 100.
const AIM: Duration = Duration::from_micros(630);

/// Measures `calls` calls over each path, in turn, and prints the times.
pub fn run(root: &Path, calls: usize) -> Result<(), RigError> {
    let deployment = Deployment::load(&root.join("rig/tests/deployments/hop.ini"))?;
    let world = World::start(deployment, StartOptions::default())?;
    let near = world.instance("near-1")?;
    let direct = Route::new(near.port(UPSTREAM_PORT), "/echo");
    let through = Route::new(near.port(CLIENT_PORT), "/echo");
    let across = Route::new(near.port(CLIENT_PORT), "/far");
    let mut paths = [direct, through, across];
    for round in 0..calls + WARM_UP {
        for path in &mut paths {
            path.call(round >= WARM_UP)?;
        }
    }
    let [direct, through, across] = &paths;
    println!("calls on each path: {calls}, keep-alive, one at a time");
    print("direct to the upstream", direct, None);
    print("through its own node (one hop)", through, Some(direct));
    print(
        "through two nodes (client, near, far)",
        across,
        Some(direct),
    );
    println!("aim for the time added: p99 {} us", AIM.as_micros());
    Ok(())
}

/// One path with the times of its calls.
struct Route {
    url: String,
    agent: ureq::Agent,
    times: Histogram<u64>,
}

impl Route {
    fn new(address: SocketAddr, path: &str) -> Self {
        Self {
            url: format!("http://{address}{path}"),
            agent: ureq::Agent::config_builder().no_delay(true).build().into(),
            times: Histogram::new_with_bounds(1, LONGEST_NS, 3).expect("sound bounds"),
        }
    }

    fn call(&mut self, counts: bool) -> Result<(), RigError> {
        let begun = Instant::now();
        let failed = |error: ureq::Error| RigError::Http(self.url.clone(), error.to_string());
        let mut response = self.agent.get(&self.url).call().map_err(failed)?;
        response.body_mut().read_to_vec().map_err(failed)?;
        if counts {
            let nanos = u64::try_from(begun.elapsed().as_nanos()).unwrap_or(LONGEST_NS);
            self.times.saturating_record(nanos);
        }
        Ok(())
    }

    fn micros(&self, quantile: f64) -> f64 {
        let nanos = u32::try_from(self.times.value_at_quantile(quantile)).unwrap_or(u32::MAX);
        f64::from(nanos) / 1000.0
    }
}

fn print(name: &str, path: &Route, direct: Option<&Route>) {
    let (p50, p99) = (path.micros(0.5), path.micros(0.99));
    print!("{name}: p50 {p50:.0} us, p99 {p99:.0} us");
    if let Some(direct) = direct {
        let (base50, base99) = (direct.micros(0.5), direct.micros(0.99));
        print!(
            "; added p50 {:.0} us, p99 {:.0} us",
            p50 - base50,
            p99 - base99
        );
    }
    println!();
}
