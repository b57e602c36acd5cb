//! Checked options from the command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::ArgMatches;
use sailtrack_units::{ConfigVersion, Period};

use crate::error::Error;

/// How rows are shown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Format {
    Table,
    Json,
}

/// How a report is shown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReportFormat {
    Text,
    Json,
    Svg,
}

/// What `check` is asked for.
#[derive(Debug)]
pub(crate) struct Check {
    pub(crate) files: Vec<PathBuf>,
}

/// What `apply` is asked for.
#[derive(Debug)]
pub(crate) struct Apply {
    pub(crate) file: PathBuf,
    pub(crate) node: SocketAddr,
    pub(crate) operator: String,
    pub(crate) base: Option<ConfigVersion>,
    pub(crate) format: Format,
}

/// Where the commands of `run` come from.
#[derive(Debug)]
pub(crate) enum Script {
    Line(String),
    File(PathBuf),
    Terminal,
}

/// What `run` is asked for.
#[derive(Debug)]
pub(crate) struct Ask {
    pub(crate) script: Script,
    pub(crate) node: SocketAddr,
    pub(crate) operator: String,
    pub(crate) format: Format,
}

/// What `report` is asked for.
#[derive(Debug)]
pub(crate) struct Report {
    pub(crate) nodes: Vec<SocketAddr>,
    pub(crate) short: Period,
    pub(crate) long: Period,
    pub(crate) event: Option<String>,
    pub(crate) format: ReportFormat,
    pub(crate) to: Option<PathBuf>,
}

/// What `explain` is asked for.
#[derive(Debug)]
pub(crate) struct Explain {
    /// The request to explain; without one all that did not succeed are counted.
    pub(crate) request: Option<String>,
    /// Standard input if there are none.
    pub(crate) logs: Vec<PathBuf>,
    pub(crate) format: Format,
}

/// What is to be done.
#[derive(Debug)]
pub(crate) enum Action {
    Check(Check),
    Apply(Apply),
    Ask(Ask),
    Report(Report),
    Explain(Explain),
}

/// The whole of the command line.
#[derive(Debug)]
pub(crate) struct Options {
    pub(crate) action: Action,
}

impl Options {
    /// Returns the options, or what is wrong with them.
    pub(crate) fn from_matches(matches: &ArgMatches) -> Result<Self, Error> {
        let action = match matches.subcommand() {
            Some(("check", matches)) => Action::Check(check(matches)),
            Some(("apply", matches)) => Action::Apply(apply(matches)),
            Some(("explain", matches)) => Action::Explain(explain(matches)),
            Some(("report", matches)) => Action::Report(report(matches)?),
            Some((_, matches)) => Action::Ask(ask(matches)),
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
        file: one(matches, "file"),
        node: one(matches, "node"),
        operator: one(matches, "operator"),
        base: matches.get_one("base").copied(),
        format: format(matches),
    }
}

fn ask(matches: &ArgMatches) -> Ask {
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
    Ask {
        script,
        node: one(matches, "node"),
        operator: one(matches, "operator"),
        format: format(matches),
    }
}

fn report(matches: &ArgMatches) -> Result<Report, Error> {
    let nodes = matches.get_many::<SocketAddr>("node");
    let to = matches.get_one::<PathBuf>("to").cloned();
    let format = match one::<String>(matches, "output").as_str() {
        "json" => ReportFormat::Json,
        "svg" => ReportFormat::Svg,
        _ => ReportFormat::Text,
    };
    if format == ReportFormat::Svg && to.is_none() {
        return Err(Error::OutputFile("svg"));
    }
    Ok(Report {
        nodes: nodes.into_iter().flatten().copied().collect(),
        short: one(matches, "short"),
        long: one(matches, "long"),
        event: matches.get_one::<String>("event").cloned(),
        format,
        to,
    })
}

fn explain(matches: &ArgMatches) -> Explain {
    let named = matches.get_one::<String>("request").cloned();
    let logs = matches.get_many::<PathBuf>("logs");
    let mut logs: Vec<PathBuf> = logs.into_iter().flatten().cloned().collect();
    // With --all there is no id, and what stands in its place is the first log.
    let request = if matches.get_flag("all") {
        logs.splice(0..0, named.map(PathBuf::from));
        None
    } else {
        named
    };
    Explain {
        request,
        logs,
        format: format(matches),
    }
}

fn format(matches: &ArgMatches) -> Format {
    match one::<String>(matches, "output").as_str() {
        "json" => Format::Json,
        _ => Format::Table,
    }
}

/// Returns an argument that the command line says is always there.
fn one<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> T {
    let value = matches.get_one::<T>(name).cloned();
    value.expect("the argument is required or has a default")
}
