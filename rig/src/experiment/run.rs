//! Runs an experiment: each policy with each seed.

use std::fmt::Write as _;
use std::path::Path;
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

use sailtrack_declaration::{Declaration, Repeat};

use crate::deployment::Deployment;
use crate::error::RigError;
use crate::experiment::measure::{Evidence, Measures, measure};
use crate::experiment::plan::{Plan, Policy, Trigger};
use crate::experiment::table;
use crate::world::{StartOptions, World, run_load, upstream_name};

/// How long a load may take beyond its length.
const LOAD_SLACK: Duration = Duration::from_mins(1);
/// How often the time of the next change is looked at.
const LOOK: Duration = Duration::from_millis(5);

/// Runs the experiment in the file at `path`, prints a JSON line for each run and a table.
pub fn run(path: &Path) -> Result<Vec<Measures>, RigError> {
    let plan = Plan::load(path)?;
    let mut all = Vec::new();
    for seed in &plan.seeds {
        for policy in &plan.policies {
            let measures = run_once(&plan, policy, *seed)?;
            let line = serde_json::to_string(&measures);
            println!(
                "{}",
                line.map_err(|error| RigError::Output(error.to_string()))?
            );
            all.push(measures);
        }
    }
    println!("\n{}", table::render(&plan, &all));
    Ok(all)
}

fn run_once(plan: &Plan, policy: &Policy, seed: u64) -> Result<Measures, RigError> {
    let mut deployment = Deployment::load(&plan.deployment)?;
    deployment.set_policy("mode", &policy.mode);
    deployment.set_service_retries(policy.service_retries);
    let options = StartOptions {
        relays: plan.relays,
        records: true,
        ..StartOptions::default()
    };
    let declaration = Declaration::load(&deployment.declaration)?;
    let kinds = declaration.kinds.into_iter();
    let non_idempotent = kinds.filter(|kind| kind.repeat == Repeat::Never).collect();
    let mut world = World::start(deployment, options)?;
    let outcomes = world.folder().join("outcomes");
    let settings = load_settings(plan, policy, seed, &world, &outcomes);
    let settings = world.write("load.ini", &settings)?;
    let (sender, receiver) = channel();
    let started = Instant::now();
    std::thread::spawn(move || {
        // The experiment may have ended.
        let _ = sender.send(run_load(&settings));
    });
    make_changes(plan, &mut world, started)?;
    let limit = plan.length + LOAD_SLACK;
    let result = receiver.recv_timeout(limit);
    let result =
        result.map_err(|_| RigError::NotReached("the end of the load".to_owned(), limit))?;
    let evidence = Evidence {
        policy: policy.mode.clone(),
        seed,
        result: result?,
        outcomes: std::fs::read_to_string(&outcomes)?,
        records: world.records(),
        non_idempotent,
    };
    Ok(measure(plan, &evidence))
}

fn load_settings(
    plan: &Plan,
    policy: &Policy,
    seed: u64,
    world: &World,
    outcomes: &Path,
) -> String {
    let mut text = String::new();
    // Writing to a string does not fail.
    let _ = writeln!(
        text,
        "[load]\ntargets = {}\nlength = {}ms\nseed = {seed}\noutcomes = {}\n",
        world.targets(&plan.entry),
        plan.length.as_millis(),
        outcomes.display()
    );
    let _ = writeln!(text, "[clients]\ntickets = {}", policy.mode == "adaptive");
    for (key, value) in &plan.clients {
        let _ = writeln!(text, "{key} = {value}");
    }
    if let Some((at, length, factor)) = plan.surge {
        let (at, length) = (at.as_millis(), length.as_millis());
        let _ = writeln!(
            text,
            "\n[surge]\nat = {at}ms\nlength = {length}ms\nfactor = {factor}"
        );
    }
    for demand in &plan.demands {
        let _ = writeln!(
            text,
            "\n[kind {}]\nroute = {}\nrepeat = {}\nimportance = {}\nrate = {}",
            demand.kind, demand.route, demand.repeat, demand.importance, demand.rate
        );
    }
    text
}

/// Begins and ends the triggers at their times.
fn make_changes(plan: &Plan, world: &mut World, started: Instant) -> Result<(), RigError> {
    let begins = plan
        .triggers
        .iter()
        .map(|trigger| (trigger.at, true, trigger));
    let ends = plan
        .triggers
        .iter()
        .map(|trigger| (trigger.at + trigger.length, false, trigger));
    let mut changes: Vec<(Duration, bool, &Trigger)> = begins.chain(ends).collect();
    changes.sort_by_key(|(at, _, _)| *at);
    for (at, begins, trigger) in changes {
        while started.elapsed() < at {
            std::thread::sleep(LOOK);
        }
        change(world, trigger, begins)?;
    }
    Ok(())
}

fn change(world: &mut World, trigger: &Trigger, begins: bool) -> Result<(), RigError> {
    if let Some((service, factor)) = &trigger.slow {
        let factor = if begins { *factor } else { 1.0 };
        let instances: Vec<String> = world
            .instances_of(service)
            .iter()
            .map(|instance| instance.name.clone())
            .collect();
        for instance in instances {
            world.order(&instance, &format!("{{\"factor\": {factor:.1}}}"))?;
        }
    }
    if let Some(instance) = &trigger.kill {
        for process in [instance.clone(), upstream_name(instance)] {
            if begins {
                world.process(&process)?.kill()?;
            } else {
                world.restart(&process)?;
            }
        }
    }
    if let Some(fault) = &trigger.platform {
        world.platform_fault(if begins {
            fault
        } else {
            "{\"mode\": \"none\"}"
        })?;
    }
    if let Some((one, other)) = &trigger.cut {
        let (one, other) = (world.domain(one)?, world.domain(other)?);
        if begins {
            world.cuts.cut(one, other);
        } else {
            world.cuts.heal();
        }
    }
    Ok(())
}
