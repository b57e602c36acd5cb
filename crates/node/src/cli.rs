//! The command line.

use clap::{Arg, ArgAction, Command, value_parser};

/// Returns the definition of the command line.
pub(crate) fn command() -> Command {
    Command::new("sailtrack-node")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Runs beside one upstream and controls the calls into and out of it")
        .arg(
            Arg::new("settings")
                .value_name("FILE")
                .help("The settings of the node, in INI")
                .required(true)
                .value_parser(value_parser!(std::path::PathBuf)),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .help("Check the settings and open nothing")
                .action(ArgAction::SetTrue),
        )
}
