//! A stand-in for the platform's transactional table service, for tests and trials.

mod fault;
mod rate;
mod service;
mod settings;
mod table;

use std::io;
use std::process::ExitCode;
use std::rc::Rc;

use sailtrack_net::http::{Limits, Port, serve};
use sailtrack_net::signal::Terminate;
use sailtrack_net::task;
use sailtrack_standin::Name;

use service::Service;
use settings::Settings;

/// How the stand-in presents itself.
const NAME: Name = Name {
    binary: "sailtrack-platform",
    about: "Stands in for the platform's table service, with rate limits and faults",
};

fn main() -> ExitCode {
    sailtrack_standin::run(NAME, Settings::load, stand_in)
}

async fn stand_in(settings: Settings) -> io::Result<()> {
    let mut terminate = Terminate::install()?;
    let port = Port::open("table", settings.address, Limits::server())?;
    let service = Rc::new(Service::new(&settings));
    task::spawn("table port", serve(port, service));
    terminate.wait().await
}
