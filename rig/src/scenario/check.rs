//! Checks what a scenario expects.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use serde_json::Value;

use crate::error::RigError;
use crate::scenario::run::{Stage, outcome_of};
use crate::scenario::step::{Bound, Step};
use crate::world::{LOOK, World};

/// How long an upstream must have got no new work to be called quiet.
const QUIET_TIME: Duration = Duration::from_secs(1);
/// How often the new work of an upstream is looked at.
const QUIET_LOOK: Duration = Duration::from_millis(20);

fn expect(holds: bool, found: impl std::fmt::Display) -> Result<(), RigError> {
    if holds {
        return Ok(());
    }
    Err(RigError::Expectation(format!("found {found}")))
}

impl Stage {
    /// Checks one expectation.
    pub(crate) fn check(&mut self, step: &Step) -> Result<(), RigError> {
        match step {
            Step::ExpectCall {
                name,
                outcome,
                within,
            } => {
                let reply = self.reply(name, *within)?;
                let found = outcome_of(reply.as_ref());
                expect(found == *outcome, format!("{found:?} {reply:?}"))
            }
            Step::ExpectSame(one, other) => {
                let one = self.reply(one, Duration::from_secs(1))?;
                let other = self.reply(other, Duration::from_secs(1))?;
                let same = one.as_ref().map(|reply| (reply.status, &reply.body))
                    == other.as_ref().map(|reply| (reply.status, &reply.body));
                expect(same && one.is_some(), format!("{one:?} and {other:?}"))
            }
            Step::ExpectExit { name, code, within } => {
                let found = self.world()?.process(name)?.wait(*within)?;
                expect(found == Some(*code), format!("{found:?}"))
            }
            Step::ExpectRunning(name) => {
                let running = self.world()?.process(name)?.is_running();
                expect(running, "it has ended")
            }
            Step::ExpectRows {
                instance,
                query,
                bound,
                within,
            } => self.rows(instance, query, *bound, *within),
            Step::ExpectMetric {
                instance,
                metric,
                bound,
                within,
            } => {
                let world = self.world()?;
                poll(*bound, *within, || world.metric(instance, metric))
            }
            Step::ExpectVersion {
                version,
                except,
                within,
            } => self.version(*version, except, *within),
            Step::ExpectStarted {
                service,
                bound,
                within,
            } => {
                let world = self.world()?;
                poll(*bound, *within, || Ok(started(world, service)))
            }
            Step::ExpectQuiet { instance, within } => self.quiet(instance, *within),
            Step::ExpectRuns {
                service,
                path,
                bound,
            } => {
                let most = self.runs(service, path)?.into_values().max().unwrap_or(0);
                expect(holds(*bound, most), most)
            }
            Step::ExpectTotal {
                service,
                path,
                bound,
            } => {
                let total: usize = self.runs(service, path)?.into_values().sum();
                println!("executions of {service} {path}: {total}");
                expect(holds(*bound, total), total)
            }
            Step::ExpectTruth { load, service } => self.truth(load, service),
            Step::ExpectLoad {
                load,
                kind,
                field,
                bound,
            } => self.load_field(load, kind, field, *bound),
            Step::ExpectNoMixups => self.no_mixups(),
            Step::ExpectNoPanics => self.no_panics(),
            other => Err(RigError::Expectation(format!(
                "{other:?} is no expectation"
            ))),
        }
    }

    fn rows(
        &mut self,
        instance: &str,
        query: &str,
        bound: Bound,
        within: Duration,
    ) -> Result<(), RigError> {
        let world = self.world()?;
        poll(bound, within, || {
            let value = world.command(instance, "rig", query)?.json()?;
            let rows = value["rows"].as_array();
            let rows = rows.ok_or_else(|| RigError::Output(value.to_string()))?;
            Ok(to_number(rows.len()))
        })
    }

    fn version(
        &mut self,
        version: f64,
        except: &[String],
        within: Duration,
    ) -> Result<(), RigError> {
        let started = Instant::now();
        let world = self.world()?;
        for instance in world.instances.clone() {
            if except.contains(&instance.name) {
                continue;
            }
            let left = within.saturating_sub(started.elapsed()).max(LOOK);
            let what = format!("version {version} on {}", instance.name);
            world.wait(&what, left, |world| {
                let found = world.metric(&instance.name, "sailtrack_config_version")?;
                Ok(found >= version)
            })?;
        }
        println!("version {version} in force after {:?}", started.elapsed());
        Ok(())
    }

    /// Waits until an upstream gets no new work, and checks when the last came.
    fn quiet(&mut self, instance: &str, within: Duration) -> Result<(), RigError> {
        let world = self.world()?;
        let begun = Instant::now();
        let mut last_count = None;
        let mut last_change = Duration::ZERO;
        while begun.elapsed() < last_change + QUIET_TIME {
            let count = world.upstream_counts(instance)?["started"].as_u64();
            if last_count.is_some() && count != last_count {
                last_change = begun.elapsed();
            }
            last_count = count;
            if last_change > within {
                return Err(RigError::NotReached(format!("quiet of {instance}"), within));
            }
            std::thread::sleep(QUIET_LOOK);
        }
        println!("{instance}: last new work after {last_change:?}");
        Ok(())
    }

    /// Returns how often each key was run on a path of a service.
    fn runs(&mut self, service: &str, path: &str) -> Result<BTreeMap<String, usize>, RigError> {
        let mut runs = BTreeMap::new();
        for line in self.world()?.records() {
            let words: Vec<&str> = line.split_whitespace().collect();
            if let [found_service, "start", _, found_path, key] = words[..]
                && found_service == service
                && found_path == path
            {
                *runs.entry(key.to_owned()).or_default() += 1;
            }
        }
        Ok(runs)
    }

    /// Checks that nothing that was told "not run" stands in the records.
    fn truth(&mut self, load: &str, service: &str) -> Result<(), RigError> {
        let world = self.world()?;
        let path = world.folder().join(format!("{load}.outcomes"));
        let outcomes = std::fs::read_to_string(path)?;
        let told: BTreeSet<&str> = outcomes
            .lines()
            .filter(|line| line.starts_with("NotRun"))
            .filter_map(|line| line.split_whitespace().nth(2))
            .collect();
        let records = world.records();
        let ran = records.iter().filter_map(|line| {
            let words: Vec<&str> = line.split_whitespace().collect();
            match words[..] {
                [found, "start", _, _, key] if found == service => Some(key.to_owned()),
                _ => None,
            }
        });
        let false_ones = ran.filter(|key| told.contains(key.as_str())).count();
        println!("told not-run: {}, of which ran: {false_ones}", told.len());
        expect(false_ones == 0, format!("{false_ones} of {}", told.len()))
    }

    fn load_field(
        &mut self,
        load: &str,
        kind: &str,
        field: &str,
        bound: Bound,
    ) -> Result<(), RigError> {
        let result = self.results.get(load);
        let result = result.ok_or_else(|| RigError::NoProcess(load.to_owned()))?;
        let found = field_of(result, kind, field);
        expect(bound.comparison.holds(found, bound.value), found)
    }

    fn no_mixups(&mut self) -> Result<(), RigError> {
        let world = self.world()?;
        let mut mixups = 0;
        for instance in world.instances.clone() {
            let counts = world.upstream_counts(&instance.name);
            mixups += counts.map_or(0, |counts| counts["mixups"].as_u64().unwrap_or(0));
        }
        expect(mixups == 0, mixups)
    }

    fn no_panics(&mut self) -> Result<(), RigError> {
        let world = self.world()?;
        for instance in world.instances.clone() {
            let panics = world.metric(&instance.name, "sailtrack_task_panics");
            let panics = panics.unwrap_or(0.0);
            expect(panics < 0.5, format!("{panics} on {}", instance.name))?;
        }
        Ok(())
    }
}

fn started(world: &World, service: &str) -> f64 {
    let mut total = 0;
    for instance in world.instances_of(service) {
        let counts = world.upstream_counts(&instance.name);
        total += counts.map_or(0, |counts| counts["started"].as_u64().unwrap_or(0));
    }
    to_number(usize::try_from(total).unwrap_or(usize::MAX))
}

/// Looks at a number again and again until it is within the bound.
fn poll(
    bound: Bound,
    within: Duration,
    mut look: impl FnMut() -> Result<f64, RigError>,
) -> Result<(), RigError> {
    let begun = Instant::now();
    loop {
        let found = look();
        if let Ok(found) = found
            && bound.comparison.holds(found, bound.value)
        {
            return Ok(());
        }
        if begun.elapsed() >= within {
            let found = found.map_or_else(|error| error.to_string(), |found| found.to_string());
            return Err(RigError::Expectation(format!(
                "still {found} after {within:?}"
            )));
        }
        std::thread::sleep(LOOK);
    }
}

/// Returns a field of a load's results, added up over the kinds that are meant.
fn field_of(result: &Value, kind: &str, field: &str) -> f64 {
    if let Some(number) = result[field].as_f64() {
        return number;
    }
    let kinds = result["kinds"].as_array();
    let meant = kinds
        .into_iter()
        .flatten()
        .filter(|found| kind == "all" || found["kind"] == kind);
    let meant: Vec<&Value> = meant.collect();
    let sum = |field: &str| {
        meant
            .iter()
            .filter_map(|kind| kind[field].as_f64())
            .sum::<f64>()
    };
    match field {
        "share" => 100.0 * sum("complete") / sum("offered").max(1.0),
        field => sum(field),
    }
}

fn holds(bound: Bound, count: usize) -> bool {
    bound.comparison.holds(to_number(count), bound.value)
}

#[allow(clippy::cast_precision_loss)]
fn to_number(count: usize) -> f64 {
    count as f64
}
