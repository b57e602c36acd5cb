//! The node of sailtrack: one small process beside each upstream.

use std::process::ExitCode;

fn main() -> ExitCode {
    match sailtrack_node::run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("sailtrack-node: {error}");
            ExitCode::FAILURE
        }
    }
}
