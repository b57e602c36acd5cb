//! Runs a stand-in from its command line to its end.

use std::future::Future;
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Arg, ArgAction, Command, value_parser};
use sailtrack_settings::Problems;

use crate::error::Error;

/// How a stand-in presents itself.
#[derive(Debug, Clone, Copy)]
pub struct Name {
    /// The name of its binary.
    pub binary: &'static str,
    /// What it does, in one sentence.
    pub about: &'static str,
}

/// Runs a stand-in: reads its settings by `load` and runs `main` with them.
///
/// With `--check` the settings are only checked.
pub fn run<S, F>(
    name: Name,
    load: impl FnOnce(&Path) -> Result<S, Problems>,
    main: impl FnOnce(S) -> F,
) -> ExitCode
where
    F: Future<Output = io::Result<()>>,
{
    match try_run(name, load, main) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{}: {error}", name.binary);
            ExitCode::FAILURE
        }
    }
}

fn try_run<S, F>(
    name: Name,
    load: impl FnOnce(&Path) -> Result<S, Problems>,
    main: impl FnOnce(S) -> F,
) -> Result<(), Error>
where
    F: Future<Output = io::Result<()>>,
{
    let matches = command(name).get_matches();
    let file = matches.get_one::<PathBuf>("settings").cloned();
    let file = file.unwrap_or_default();
    let settings = load(&file).map_err(Error::Settings)?;
    if matches.get_flag("check") {
        println!("{}: sound", file.display());
        return Ok(());
    }
    sailtrack_log::install(log::LevelFilter::Info);
    sailtrack_net::runtime::run(main(settings))
        .map_err(Error::Io)?
        .map_err(Error::Io)
}

fn command(name: Name) -> Command {
    Command::new(name.binary)
        .version(env!("CARGO_PKG_VERSION"))
        .about(name.about)
        .arg(
            Arg::new("settings")
                .value_name("FILE")
                .help("The settings, in INI")
                .required(true)
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .help("Check the settings and open nothing")
                .action(ArgAction::SetTrue),
        )
}
