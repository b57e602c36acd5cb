//! The `sailtrack` command line program for operators.

mod apply;
mod burn;
mod check;
mod cli;
mod error;
mod exit;
mod explain;
mod export;
mod node;
mod options;
mod output;
mod report;
mod run;

use std::process::ExitCode;

use error::Error;
use exit::Exit;
use options::{Action, Options};

fn main() -> ExitCode {
    match run() {
        Ok(exit) => exit.into(),
        Err(error) => {
            eprintln!("sailtrack: {error}");
            error.exit().into()
        }
    }
}

fn run() -> Result<Exit, Error> {
    let options = Options::from_matches(&cli::command().get_matches())?;
    match options.action {
        Action::Check(check) => Ok(check::run(&check)),
        Action::Apply(apply) => sailtrack_net::runtime::run(apply::run(apply))?,
        Action::Run(run) => sailtrack_net::runtime::run(run::run(run))?,
        Action::Explain(explain) => explain::run(&explain),
        Action::Report(report) => sailtrack_net::runtime::run(burn::run(report))?,
    }
}
