//! The definition of the command line: subcommands, arguments and their help texts.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::builder::NonEmptyStringValueParser;
use clap::{Arg, ArgAction, Command, value_parser};
use sailtrack_units::{ConfigVersion, OperatorName, Period};

/// Returns the definition of the command line.
pub(crate) fn command() -> Command {
    Command::new("sailtrack")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Declares events and asks what is happening")
        .subcommand_required(true)
        .subcommand(check())
        .subcommand(apply())
        .subcommand(run())
        .subcommand(report())
        .subcommand(explain())
}

fn check() -> Command {
    Command::new("check")
        .about("Checks declarations without a running system")
        .arg(file("files", "The declarations").num_args(1..))
}

fn apply() -> Command {
    Command::new("apply")
        .about("Declares what a file says and waits until it is in force")
        .arg(file("file", "The declaration"))
        .arg(node())
        .arg(operator())
        .arg(
            Arg::new("base")
                .long("base")
                .value_name("VERSION")
                .help("The version that the file is based on [default: the one in force]")
                .value_parser(|text: &str| text.parse::<ConfigVersion>()),
        )
        .arg(output(&["table", "json"]))
}

fn run() -> Command {
    Command::new("run")
        .about("Runs a command or query, from the arguments, a file or the terminal")
        .arg(
            Arg::new("command")
                .value_name("COMMAND")
                .help("The command, such as: show upstreams where state = leaving")
                .num_args(0..),
        )
        .arg(
            Arg::new("file")
                .long("file")
                .value_name("FILE")
                .help("Run each line of a file")
                .conflicts_with("command")
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(node())
        .arg(operator())
        .arg(output(&["table", "json"]))
}

fn report() -> Command {
    Command::new("report")
        .about("Reports on service-level burn, by service and kind")
        .arg(node().action(ArgAction::Append).num_args(1..))
        .arg(period("short", "5m", "The short window of the burn rate"))
        .arg(period("long", "1h", "The long window of the burn rate"))
        .arg(
            Arg::new("event")
                .long("event")
                .value_name("NAME")
                .help("Report on the window of a declared event [default: all that is remembered]"),
        )
        .arg(output(&["text", "json", "svg"]))
        .arg(
            Arg::new("to")
                .long("to")
                .value_name("FILE")
                .help("Write to a file")
                .value_parser(value_parser!(PathBuf)),
        )
}

fn explain() -> Command {
    Command::new("explain")
        .about("Explains from logs of nodes how a request ended and why")
        .arg(
            Arg::new("request")
                .value_name("ID")
                .help("The id of the request's attempt [default: all that did not succeed]")
                .value_parser(NonEmptyStringValueParser::new()),
        )
        .arg(
            Arg::new("all")
                .long("all")
                .help("Count all requests that did not succeed; every argument is a log")
                .action(ArgAction::SetTrue),
        )
        .arg(
            Arg::new("logs")
                .value_name("FILE")
                .help("The logs, each named after its node [default: standard input]")
                .num_args(0..)
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(output(&["text", "json"]))
}

fn file(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .value_name("FILE")
        .help(help)
        .required(true)
        .value_parser(value_parser!(PathBuf))
}

fn node() -> Arg {
    Arg::new("node")
        .long("node")
        .value_name("ADDRESS")
        .help("The operator port of a node")
        .env("SAILTRACK_NODE")
        .required(true)
        .value_parser(value_parser!(SocketAddr))
}

fn operator() -> Arg {
    Arg::new("operator")
        .long("operator")
        .value_name("NAME")
        .help("Who gives the command")
        .env("SAILTRACK_OPERATOR")
        .default_value("operator")
        .value_parser(|text: &str| text.parse::<OperatorName>().map(|name| name.to_string()))
}

fn output(formats: &'static [&'static str]) -> Arg {
    Arg::new("output")
        .long("output")
        .value_name("FORMAT")
        .help("The form of the output")
        .default_value(formats[0])
        .value_parser(formats.to_vec())
}

fn period(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("PERIOD")
        .help(help)
        .default_value(default)
        .value_parser(|text: &str| text.parse::<Period>().map_err(|error| error.to_string()))
}
