//! The steps of a scenario.

use std::time::Duration;

/// How two numbers are compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Comparison {
    /// `=`
    Equal,
    /// `<=`
    AtMost,
    /// `>=`
    AtLeast,
}

impl Comparison {
    /// Returns true if the comparison holds.
    #[must_use]
    pub fn holds(self, found: f64, wanted: f64) -> bool {
        match self {
            Self::Equal => (found - wanted).abs() < 1e-9,
            Self::AtMost => found <= wanted + 1e-9,
            Self::AtLeast => found >= wanted - 1e-9,
        }
    }
}

/// What a caller is told about a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It ran.
    Done,
    /// It did not run.
    NotRun,
    /// It may or may not have run.
    Unknown,
    /// Nothing came back at all.
    Nothing,
}

/// One single call.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Call {
    /// The name by which it is found.
    pub name: String,
    /// The instance to whose node it is sent.
    pub instance: String,
    /// The method.
    pub method: String,
    /// The path.
    pub path: String,
    /// The name of the ticket that it brings.
    pub ticket: Option<String>,
    /// The idempotency key that it brings.
    pub key: Option<String>,
    /// The body.
    pub body: String,
    /// How long it may take.
    pub timeout: Option<Duration>,
}

/// A bound on a number.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bound {
    /// How it is compared.
    pub comparison: Comparison,
    /// With what.
    pub value: f64,
}

/// One step of a scenario.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// Names the deployment.
    Deploy {
        /// The file, relative to the root of the repository.
        file: String,
        /// Whether relays stand between the failure domains.
        relays: bool,
    },
    /// Sets a key of a section of the nodes' settings before the start.
    Set {
        /// The section.
        section: String,
        /// The key.
        key: String,
        /// The value.
        value: String,
    },
    /// Starts the deployment.
    Start,
    /// Sends a load in the background.
    Load {
        /// The name by which it is found.
        name: String,
        /// The service that it is sent to.
        service: String,
        /// How long.
        length: Duration,
        /// The other settings of the load, as INI.
        settings: String,
    },
    /// Waits for the end of a load.
    Finish(String),
    /// Kills a process.
    Kill(String),
    /// Freezes a process.
    Freeze(String),
    /// Thaws a process.
    Thaw(String),
    /// Asks a process to end.
    Stop(String),
    /// Starts a process again.
    Restart(String),
    /// Cuts two failure domains off from each other.
    Cut(String, String),
    /// Loses what goes from the first failure domain to the second one.
    CutOneWay(String, String),
    /// Heals all cuts.
    Heal,
    /// Puts a fault into the platform.
    Platform(String),
    /// Changes how an upstream behaves.
    Order(String, String),
    /// Gets a ticket.
    Ticket {
        /// Its name.
        name: String,
        /// The instance whose node is asked.
        instance: String,
        /// The kind of the request.
        kind: String,
    },
    /// Makes a call in the background.
    Call(Call),
    /// Gives a command and looks at its result.
    Command {
        /// The instance whose node is asked.
        instance: String,
        /// Who gives it.
        operator: String,
        /// The command.
        text: String,
        /// The result that is expected, or `rows`.
        result: String,
    },
    /// Several operators give conflicting commands at once.
    Race {
        /// How many.
        operators: usize,
        /// The command, in which `{}` stands for a number of each operator.
        text: String,
    },
    /// Expects the outcome of a call.
    ExpectCall {
        /// The call.
        name: String,
        /// What its caller is told.
        outcome: Outcome,
        /// How soon.
        within: Duration,
    },
    /// Expects two calls to have the same whole answer.
    ExpectSame(String, String),
    /// Expects an orderly end of a process.
    ExpectExit {
        /// The process.
        name: String,
        /// The exit code.
        code: i32,
        /// How soon.
        within: Duration,
    },
    /// Expects a process to go on running.
    ExpectRunning(String),
    /// Expects a number of rows of a query.
    ExpectRows {
        /// The instance whose node is asked.
        instance: String,
        /// The query.
        query: String,
        /// How many.
        bound: Bound,
        /// How soon.
        within: Duration,
    },
    /// Expects the value of a metric of a node.
    ExpectMetric {
        /// The instance.
        instance: String,
        /// The metric.
        metric: String,
        /// The value.
        bound: Bound,
        /// How soon.
        within: Duration,
    },
    /// Expects every node that runs to have the same version in force.
    ExpectVersion {
        /// The lowest version.
        version: f64,
        /// Nodes that are left out.
        except: Vec<String>,
        /// How soon.
        within: Duration,
    },
    /// Expects executions to have begun in a service.
    ExpectStarted {
        /// The service.
        service: String,
        /// How many.
        bound: Bound,
        /// How soon.
        within: Duration,
    },
    /// Expects an upstream to get no new work.
    ExpectQuiet {
        /// The instance.
        instance: String,
        /// How soon the last new work has come.
        within: Duration,
    },
    /// Expects a bound on executions of a path in a service, for each key.
    ExpectRuns {
        /// The service.
        service: String,
        /// The path.
        path: String,
        /// How many for each key.
        bound: Bound,
    },
    /// Expects a bound on all executions of a path in a service.
    ExpectTotal {
        /// The service.
        service: String,
        /// The path.
        path: String,
        /// How many.
        bound: Bound,
    },
    /// Expects that no request of a load that was told "not run" was run.
    ExpectTruth {
        /// The load.
        load: String,
        /// The service that it was sent to.
        service: String,
    },
    /// Expects a number in the results of a load.
    ExpectLoad {
        /// The load.
        load: String,
        /// The kind, or `all`.
        kind: String,
        /// The field, or `share` for the completed share in percent.
        field: String,
        /// The number.
        bound: Bound,
    },
    /// Expects no mix-up of answers between services.
    ExpectNoMixups,
    /// Expects no node to have met a panic.
    ExpectNoPanics,
}
