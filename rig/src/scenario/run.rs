//! Runs the steps of a scenario.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::Path;
use std::sync::mpsc::{Receiver, channel};
use std::thread::JoinHandle;
use std::time::Duration;

use serde_json::Value;

use crate::deployment::{Deployment, set};
use crate::error::RigError;
use crate::http::{Reply, send};
use crate::net::{CLIENT_PORT, OPERATOR_PORT};
use crate::scenario::step::{Call, Outcome, Step};
use crate::world::{StartOptions, World, run_load};

/// Runs every scenario under a baseline policy, to see which ones it breaks.
const POLICY: &str = "SAILTRACK_POLICY";
/// How long a load may take beyond its length.
const LOAD_SLACK: Duration = Duration::from_mins(1);

/// A scenario while it runs.
pub(crate) struct Stage {
    root: std::path::PathBuf,
    deployment: Option<Deployment>,
    options: StartOptions,
    world: Option<World>,
    loads: BTreeMap<String, Receiver<Result<Value, RigError>>>,
    pub(crate) results: BTreeMap<String, Value>,
    tickets: BTreeMap<String, String>,
    calls: BTreeMap<String, JoinHandle<Result<Reply, RigError>>>,
    replies: BTreeMap<String, Option<Reply>>,
}

/// Runs a scenario; files in it are relative to `root`.
pub fn run(steps: &[(usize, Step)], root: &Path) -> Result<(), RigError> {
    let mut stage = Stage {
        root: root.to_path_buf(),
        deployment: None,
        options: StartOptions {
            records: true,
            ..StartOptions::default()
        },
        world: None,
        loads: BTreeMap::new(),
        results: BTreeMap::new(),
        tickets: BTreeMap::new(),
        calls: BTreeMap::new(),
        replies: BTreeMap::new(),
    };
    for (line, step) in steps {
        stage.take(step).map_err(|error| {
            let logs = stage
                .world
                .as_ref()
                .map(World::last_logs)
                .unwrap_or_default();
            RigError::Expectation(format!("line {line}: {step:?}: {error}\n{logs}"))
        })?;
    }
    Ok(())
}

impl Stage {
    pub(crate) fn world(&mut self) -> Result<&mut World, RigError> {
        let world = self.world.as_mut();
        world.ok_or_else(|| RigError::Expectation("nothing is started yet".to_owned()))
    }

    fn take(&mut self, step: &Step) -> Result<(), RigError> {
        match step {
            Step::Deploy { file, relays } => {
                self.deployment = Some(Deployment::load(&self.root.join(file))?);
                self.options.relays = *relays;
                Ok(())
            }
            Step::Set {
                section,
                key,
                value,
            } => self.set(section, key, value),
            Step::Start => self.start(),
            Step::Load {
                name,
                service,
                length,
                settings,
            } => self.load(name, service, *length, settings),
            Step::Finish(name) => self.finish(name),
            Step::Kill(name) => self.world()?.process(name)?.kill(),
            Step::Freeze(name) => {
                self.world()?.process(name)?.freeze();
                Ok(())
            }
            Step::Thaw(name) => {
                self.world()?.process(name)?.thaw();
                Ok(())
            }
            Step::Stop(name) => {
                self.world()?.process(name)?.terminate();
                Ok(())
            }
            Step::Restart(name) => self.world()?.restart(name),
            Step::Cut(one, other) => self.cut(one, other, true),
            Step::CutOneWay(from, to) => self.cut(from, to, false),
            Step::Heal => {
                self.world()?.cuts.heal();
                Ok(())
            }
            Step::Platform(fault) => self.world()?.platform_fault(fault),
            Step::Order(instance, order) => self.world()?.order(instance, order),
            Step::Ticket {
                name,
                instance,
                kind,
            } => self.ticket(name, instance, kind),
            Step::Call(call) => self.call(call),
            Step::Command {
                instance,
                operator,
                text,
                result,
            } => self.command(instance, operator, text, result),
            Step::Race { operators, text } => self.race(*operators, text),
            expectation => self.check(expectation),
        }
    }

    fn set(&mut self, section: &str, key: &str, value: &str) -> Result<(), RigError> {
        let unknown = || RigError::Expectation(format!("cannot set [{section}]"));
        let deployment = self.deployment.as_mut().ok_or_else(unknown)?;
        let keys = match section {
            "policy" => &mut deployment.policy,
            "membership" => &mut deployment.membership,
            "platform" => &mut deployment.platform,
            _ => return Err(unknown()),
        };
        set(keys, key, value);
        Ok(())
    }

    fn start(&mut self) -> Result<(), RigError> {
        let deployment = self.deployment.take();
        let mut deployment =
            deployment.ok_or_else(|| RigError::Expectation("nothing to start".to_owned()))?;
        if let Ok(policy) = std::env::var(POLICY) {
            deployment.set_policy("mode", &policy);
        }
        self.world = Some(World::start(deployment, self.options)?);
        Ok(())
    }

    fn load(
        &mut self,
        name: &str,
        service: &str,
        length: Duration,
        settings: &str,
    ) -> Result<(), RigError> {
        let world = self.world()?;
        let outcomes = world.folder().join(format!("{name}.outcomes"));
        let mut text = format!(
            "[load]\ntargets = {}\nlength = {}ms\noutcomes = {}\n",
            world.targets(service),
            length.as_millis(),
            outcomes.display()
        );
        text.push_str(settings);
        let path = world.write(&format!("{name}.load.ini"), &text)?;
        let (sender, receiver) = channel();
        std::thread::spawn(move || {
            // The scenario may have ended.
            let _ = sender.send(run_load(&path));
        });
        self.loads.insert(name.to_owned(), receiver);
        Ok(())
    }

    fn finish(&mut self, name: &str) -> Result<(), RigError> {
        let receiver = self.loads.remove(name);
        let receiver = receiver.ok_or_else(|| RigError::NoProcess(name.to_owned()))?;
        let result = receiver.recv_timeout(LOAD_SLACK);
        let result =
            result.map_err(|_| RigError::NotReached(format!("the end of {name}"), LOAD_SLACK))?;
        println!("load {name}: {}", brief(result.as_ref().ok()));
        self.results.insert(name.to_owned(), result?);
        Ok(())
    }

    fn cut(&mut self, from: &str, to: &str, both_ways: bool) -> Result<(), RigError> {
        let world = self.world()?;
        let (from, to) = (world.domain(from)?, world.domain(to)?);
        if both_ways {
            world.cuts.cut(from, to);
        } else {
            world.cuts.cut_one_way(from, to);
        }
        Ok(())
    }

    fn ticket(&mut self, name: &str, instance: &str, kind: &str) -> Result<(), RigError> {
        let address = self.world()?.instance(instance)?.port(CLIENT_PORT);
        let headers = [("sailtrack-kind", kind)];
        let reply = send("POST", address, "/.sailtrack/tickets", &headers, "")?;
        let ticket = reply.header("sailtrack-ticket");
        let ticket = ticket.ok_or_else(|| RigError::Output(reply.body.clone()))?;
        self.tickets.insert(name.to_owned(), ticket.to_owned());
        Ok(())
    }

    fn call(&mut self, call: &Call) -> Result<(), RigError> {
        let address = self.world()?.instance(&call.instance)?.port(CLIENT_PORT);
        let mut headers: Vec<(&'static str, String)> = Vec::new();
        if let Some(ticket) = &call.ticket {
            let ticket = self.tickets.get(ticket);
            let ticket = ticket.ok_or_else(|| RigError::NoProcess(call.name.clone()))?;
            headers.push(("sailtrack-ticket", ticket.clone()));
        }
        if let Some(key) = &call.key {
            headers.push(("idempotency-key", key.clone()));
        }
        if let Some(timeout) = call.timeout {
            headers.push(("sailtrack-timeout-ms", timeout.as_millis().to_string()));
        }
        let Call {
            method, path, body, ..
        } = call.clone();
        let thread = std::thread::spawn(move || {
            let headers: Vec<(&str, &str)> = headers
                .iter()
                .map(|(name, value)| (*name, value.as_str()))
                .collect();
            send(&method, address, &path, &headers, &body)
        });
        self.calls.insert(call.name.clone(), thread);
        Ok(())
    }

    /// Returns the reply to a call once it has come, or nothing if the call failed.
    pub(crate) fn reply(
        &mut self,
        name: &str,
        within: Duration,
    ) -> Result<Option<Reply>, RigError> {
        if let Some(reply) = self.replies.get(name) {
            return Ok(reply.clone());
        }
        let thread = self.calls.remove(name);
        let thread = thread.ok_or_else(|| RigError::NoProcess(name.to_owned()))?;
        let started = std::time::Instant::now();
        while !thread.is_finished() {
            if started.elapsed() >= within {
                return Err(RigError::NotReached(
                    format!("the answer to {name}"),
                    within,
                ));
            }
            std::thread::sleep(crate::world::LOOK);
        }
        let reply = thread.join().ok().and_then(Result::ok);
        self.replies.insert(name.to_owned(), reply.clone());
        Ok(reply)
    }

    fn command(
        &mut self,
        instance: &str,
        operator: &str,
        text: &str,
        result: &str,
    ) -> Result<(), RigError> {
        let text = self.fill_in_tickets(text);
        let reply = self.world()?.command(instance, operator, &text)?;
        let value = reply.json()?;
        let found = value["result"].as_str().unwrap_or("none");
        let found = if value["error"].is_string() && reply.status == 400 {
            "error"
        } else {
            found
        };
        if found == result {
            return Ok(());
        }
        Err(RigError::Expectation(format!("{text} gave {value}")))
    }

    /// Puts tickets in the place of their names in braces.
    fn fill_in_tickets(&self, text: &str) -> String {
        let mut text = text.to_owned();
        for (name, ticket) in &self.tickets {
            text = text.replace(&format!("{{{name}}}"), ticket);
        }
        text
    }

    /// Lets operators race; exactly one must win and the others must be told who did.
    fn race(&mut self, operators: usize, text: &str) -> Result<(), RigError> {
        let world = self.world()?;
        let instances = world.instances.clone();
        let version = world.metric(&instances[0].name, "sailtrack_config_version")?;
        let threads: Vec<_> = (0..operators)
            .map(|number| {
                let address = instances[number % instances.len()].port(OPERATOR_PORT);
                let text = text.replace("{}", &(number + 10).to_string());
                std::thread::spawn(move || {
                    let operator = format!("operator-{number}");
                    let command = format!("race-{version}-{number}");
                    let base = format!("{version}");
                    let headers = [
                        ("sailtrack-operator", operator.as_str()),
                        ("sailtrack-command", command.as_str()),
                        ("sailtrack-base", base.as_str()),
                    ];
                    send("POST", address, "/command", &headers, &text)
                })
            })
            .collect();
        let mut winners = Vec::new();
        let mut told = Vec::new();
        for (number, thread) in threads.into_iter().enumerate() {
            let reply = thread
                .join()
                .map_err(|_| RigError::Output("a panic".to_owned()))??;
            let value = reply.json()?;
            match value["result"].as_str() {
                Some("accepted") => winners.push(format!("operator-{number}")),
                Some("conflict") => told.push(value["winner"]["operator"].to_string()),
                _ => return Err(RigError::Expectation(format!("operator-{number}: {value}"))),
            }
        }
        let winner = format!("{:?}", winners.first().cloned().unwrap_or_default());
        if winners.len() != 1 || told.iter().any(|name| *name != winner) {
            let text = format!("winners: {winners:?}, losers were told: {told:?}");
            return Err(RigError::Expectation(text));
        }
        Ok(())
    }
}

/// Returns what a caller was told.
pub(crate) fn outcome_of(reply: Option<&Reply>) -> Outcome {
    match reply.map(|reply| reply.header("sailtrack-outcome")) {
        None => Outcome::Nothing,
        Some(Some("not-run")) => Outcome::NotRun,
        Some(Some("unknown")) => Outcome::Unknown,
        Some(_) => Outcome::Done,
    }
}

/// Returns the results of a load on one line, without the series.
fn brief(result: Option<&Value>) -> String {
    let mut text = String::new();
    let kinds = result.and_then(|result| result["kinds"].as_array());
    for kind in kinds.into_iter().flatten() {
        // Writing to a string does not fail.
        let _ = write!(
            text,
            "{} offered {} complete {} not-run {} unknown {} failed {} mixups {} attempts {}; ",
            kind["kind"],
            kind["offered"],
            kind["complete"],
            kind["not_run"],
            kind["unknown"],
            kind["failed"],
            kind["mixups"],
            kind["attempts"]
        );
    }
    text
}
