//! Runs demonstrations, experiments and benches on real processes.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};
use sailtrack_rig::{RigError, capacity, demo, experiment, hop, model};

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("sailtrack-rig: {error}");
            ExitCode::FAILURE
        }
    }
}

fn command() -> Command {
    Command::new("sailtrack-rig")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Runs demonstrations, experiments and benches on real processes")
        .subcommand_required(true)
        .subcommand(Command::new("demo").about("Runs an event of the Hooghly sizes, scaled"))
        .subcommand(Command::new("capacity").about("Measures what control costs at several sizes"))
        .subcommand(
            Command::new("experiment")
                .about("Compares policies under the same demand and triggers")
                .arg(
                    Arg::new("file")
                        .value_name("FILE")
                        .required(true)
                        .value_parser(value_parser!(PathBuf)),
                ),
        )
        .subcommand(
            Command::new("model")
                .about(
                    "Plays drawn service graphs with and without each mechanism of the decisions",
                )
                .arg(
                    Arg::new("graphs")
                        .long("graphs")
                        .value_name("COUNT")
                        .help("How many graphs are drawn")
                        .default_value("200")
                        .value_parser(value_parser!(u64).range(1..)),
                )
                .arg(
                    Arg::new("output")
                        .long("output")
                        .value_name("FORMAT")
                        .help("The form of the output")
                        .default_value("text")
                        .value_parser(["text", "json"]),
                ),
        )
        .subcommand(
            Command::new("hop")
                .about("Measures the time that a node adds to a call")
                .arg(
                    Arg::new("calls")
                        .long("calls")
                        .value_name("COUNT")
                        .default_value("20000")
                        .value_parser(value_parser!(usize)),
                ),
        )
}

fn run() -> Result<(), RigError> {
    let matches = command().get_matches();
    let root = Path::new(".");
    match matches.subcommand() {
        Some(("experiment", matches)) => experiment::run(&file(matches)).map(|_| ()),
        Some(("capacity", _)) => capacity::run(),
        Some(("model", matches)) => {
            let graphs = matches.get_one::<u64>("graphs").copied().unwrap_or(1);
            let is_json = matches
                .get_one::<String>("output")
                .is_some_and(|form| form == "json");
            model::run(graphs, is_json)
        }
        Some(("hop", matches)) => {
            let calls = matches.get_one::<usize>("calls").copied().unwrap_or(1);
            hop::run(root, calls)
        }
        _ => demo::run(root),
    }
}

fn file(matches: &ArgMatches) -> PathBuf {
    matches
        .get_one::<PathBuf>("file")
        .cloned()
        .unwrap_or_default()
}
