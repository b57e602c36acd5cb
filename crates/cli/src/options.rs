//! Options of the subcommands, as parsed from the command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::ArgMatches;
use sailtrack_units::{ConfigVersion, Period};

use crate::error::Error;

/// The output format of rows and results.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Format {
    Table,
    Json,
}

/// The output format of a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReportFormat {
    Text,
    Json,
    Svg,
}

/// Options of `sailtrack check`.
#[derive(Debug)]
pub(crate) struct Check {
    pub(crate) files: Vec<PathBuf>,
}

/// Options of `sailtrack apply`.
#[derive(Debug)]
pub(crate) struct Apply {
    pub(crate) file: PathBuf,
    pub(crate) node: SocketAddr,
    pub(crate) operator: String,
    pub(crate) base: Option<ConfigVersion>,
    pub(crate) format: Format,
}

/// The source of the commands of `sailtrack run`.
#[derive(Debug)]
pub(crate) enum Script {
    Line(String),
    File(PathBuf),
    Terminal,
}

/// Options of `sailtrack run`.
#[derive(Debug)]
pub(crate) struct Run {
    pub(crate) script: Script,
    pub(crate) node: SocketAddr,
    pub(crate) operator: String,
    pub(crate) format: Format,
}

/// Options of `sailtrack report`.
#[derive(Debug)]
pub(crate) struct Report {
    pub(crate) nodes: Vec<SocketAddr>,
    pub(crate) short: Period,
    pub(crate) long: Period,
    pub(crate) event: Option<String>,
    pub(crate) format: ReportFormat,
    pub(crate) to: Option<PathBuf>,
}

/// Options of `sailtrack explain`.
#[derive(Debug)]
pub(crate) struct Explain {
    /// The id of the request to explain; without one, all requests that did not succeed are
    /// counted.
    pub(crate) request: Option<String>,
    /// The log files; standard input is read if there are none.
    pub(crate) logs: Vec<PathBuf>,
    pub(crate) format: Format,
}

/// The subcommand with its options.
#[derive(Debug)]
pub(crate) enum Action {
    Check(Check),
    Apply(Apply),
    Run(Run),
    Report(Report),
    Explain(Explain),
}

/// The parsed command line.
#[derive(Debug)]
pub(crate) struct Options {
    pub(crate) action: Action,
}

impl Options {
    /// Returns the options, or an error that says what is wrong with them.
    pub(crate) fn from_matches(matches: &ArgMatches) -> Result<Self, Error> {
        let action = match matches.subcommand() {
            Some(("check", matches)) => Action::Check(check(matches)),
            Some(("apply", matches)) => Action::Apply(apply(matches)),
            Some(("explain", matches)) => Action::Explain(explain(matches)),
            Some(("report", matches)) => Action::Report(report(matches)?),
            Some((_, matches)) => Action::Run(run(matches)),
            None => return Err(Error::Refused("a subcommand is needed".to_owned())),
        };
        Ok(Self { action })
    }
}

fn check(matches: &ArgMatches) -> Check {
    let files = matches.get_many::<PathBuf>("files");
    Check {
        files: files.into_iter().flatten().cloned().collect(),
    }
}

fn apply(matches: &ArgMatches) -> Apply {
    Apply {
        file: required(matches, "file"),
        node: required(matches, "node"),
        operator: required(matches, "operator"),
        base: matches.get_one("base").copied(),
        format: format(matches),
    }
}

fn run(matches: &ArgMatches) -> Run {
    let words: Vec<String> = matches
        .get_many::<String>("command")
        .into_iter()
        .flatten()
        .cloned()
        .collect();
    let file = matches.get_one::<PathBuf>("file").cloned();
    let script = match (words.is_empty(), file) {
        (false, _) => Script::Line(words.join(" ")),
        (true, Some(file)) => Script::File(file),
        (true, None) => Script::Terminal,
    };
    Run {
        script,
        node: required(matches, "node"),
        operator: required(matches, "operator"),
        format: format(matches),
    }
}

fn report(matches: &ArgMatches) -> Result<Report, Error> {
    let nodes = matches.get_many::<SocketAddr>("node");
    let to = matches.get_one::<PathBuf>("to").cloned();
    let format = match required::<String>(matches, "output").as_str() {
        "json" => ReportFormat::Json,
        "svg" => ReportFormat::Svg,
        _ => ReportFormat::Text,
    };
    if format == ReportFormat::Svg && to.is_none() {
        return Err(Error::OutputFile("svg"));
    }
    Ok(Report {
        nodes: nodes.into_iter().flatten().copied().collect(),
        short: required(matches, "short"),
        long: required(matches, "long"),
        event: matches.get_one::<String>("event").cloned(),
        format,
        to,
    })
}

fn explain(matches: &ArgMatches) -> Explain {
    let first = matches.get_one::<String>("request").cloned();
    let logs = matches.get_many::<PathBuf>("logs");
    let mut logs: Vec<PathBuf> = logs.into_iter().flatten().cloned().collect();
    // With --all there is no request id, so the first positional argument is a log file.
    let request = if matches.get_flag("all") {
        logs.splice(0..0, first.map(PathBuf::from));
        None
    } else {
        first
    };
    Explain {
        request,
        logs,
        format: format(matches),
    }
}

fn format(matches: &ArgMatches) -> Format {
    match required::<String>(matches, "output").as_str() {
        "json" => Format::Json,
        _ => Format::Table,
    }
}

/// Returns an argument that is required or has a default, so that it always has a value.
fn required<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> T {
    let value = matches.get_one::<T>(name).cloned();
    value.expect("the argument is required or has a default")
}
