//! A stand-in for an instance of a service, for tests and trials.

mod announce;
mod control;
mod copies;
mod record;
mod route;
mod service;
mod settings;
mod slots;

use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use monoio::time::sleep;
use sailtrack_net::http::{Limits, Port, serve};
use sailtrack_net::signal::Terminate;
use sailtrack_net::task;
use sailtrack_standin::Name;

use service::Service;
use settings::Settings;

/// How long a leaving upstream goes on before it may end.
const LEAVING_TIME: Duration = Duration::from_millis(1500);
/// How often a leaving upstream looks whether its work is finished.
const LOOK: Duration = Duration::from_millis(10);

/// How the stand-in presents itself.
const NAME: Name = Name {
    binary: "sailtrack-upstream",
    about: "Stands in for an instance of a service, with slots, calls and faults",
};

fn main() -> ExitCode {
    sailtrack_standin::run(NAME, Settings::load, stand_in)
}

async fn stand_in(settings: Settings) -> io::Result<()> {
    let mut terminate = Terminate::install()?;
    let limits = Limits {
        connections: settings.connections,
        accept_time: settings.accept_time.0,
        ..Limits::server()
    };
    let address = if settings.sends_copies {
        SocketAddr::new(settings.address.ip(), 0)
    } else {
        settings.address
    };
    let port = Port::open("service", address, limits)?;
    let service = Rc::new(Service::new(settings)?);
    if service.settings.sends_copies {
        let selection = &service.control.copies;
        copies::start(service.settings.address, port.address()?, selection)?;
    }
    task::spawn("service port", serve(port, Rc::clone(&service)));
    task::spawn(
        "announcements",
        announce::keep_announcing(Rc::clone(&service)),
    );
    terminate.wait().await?;
    service.control.leave();
    announce::announce(&service).await;
    sleep(LEAVING_TIME).await;
    while service.slots.in_use() > 0 {
        sleep(LOOK).await;
    }
    Ok(())
}
