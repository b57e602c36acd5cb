//! The node process of sailtrack.
//!
//! A node runs beside one upstream. It receives calls for this upstream from clients and other
//! nodes, and calls made by the upstream, and decides whether, where and how often each of them is
//! executed. Its parts are services that find each other by name in the table of the micro-kernel;
//! [`run`] is the only public function.

mod accountant;
mod burn;
mod call;
mod cli;
mod configuration;
mod context;
mod dispatch;
mod execute;
mod header;
mod membership;
mod metrics;
mod node;
mod operator;
mod options;
mod peer;
mod platform;
mod port;
mod retry;
mod routing;
mod settings;
mod ticket;
mod unknown;
mod upstream;

pub use sailtrack_kernel::Error;

/// Reads the command line and the settings and runs the node until it is stopped.
pub fn run() -> Result<(), Error> {
    let matches = cli::command().get_matches();
    let options = options::Options::from_matches(&matches)?;
    if options.check_only {
        println!("{}: sound", options.file.display());
        return Ok(());
    }
    sailtrack_log::install(options.settings.log_level);
    sailtrack_net::runtime::run(node::run(options.settings)).map_err(Error::Runtime)?
}
