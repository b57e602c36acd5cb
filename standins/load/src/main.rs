//! An open-loop client with surges and hard retries, for tests and trials.

mod arrival;
mod client;
mod outcome;
mod settings;
mod summary;
mod tally;

use std::cell::Cell;
use std::io;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration, Instant};

use monoio::time::sleep;
use sailtrack_net::task::{self, Guard};
use sailtrack_standin::Name;

use arrival::Arrivals;
use client::Client;
use settings::Settings;
use tally::Tally;

/// How often the end of the last requests is looked for.
const LOOK: Duration = Duration::from_millis(20);

/// How the stand-in presents itself.
const NAME: Name = Name {
    binary: "sailtrack-load",
    about: "Sends an open-loop load with surges and retries, and reports whole requests",
};

fn main() -> ExitCode {
    sailtrack_standin::run(NAME, Settings::load, load)
}

/// Sends every request at its time, whatever became of the earlier ones.
async fn load(settings: Settings) -> io::Result<()> {
    let started = Instant::now();
    let tally = Rc::new(Tally::new(&settings, started)?);
    let client = Rc::new(Client::new(&settings, Rc::clone(&tally)));
    let open = Rc::new(Cell::new(0));
    for arrival in Arrivals::new(&settings) {
        let wait = (started + arrival.at).saturating_duration_since(Instant::now());
        if !wait.is_zero() {
            sleep(wait).await;
        }
        let held = Guard::new(&open);
        let client = Rc::clone(&client);
        task::spawn("request", async move {
            client.request(&arrival).await;
            drop(held);
        });
    }
    let patience = Instant::now() + settings.behaviour.patience.0 * 2;
    while open.get() > 0 && Instant::now() < patience {
        sleep(LOOK).await;
    }
    summary::print(&settings, &tally, open.get());
    Ok(())
}
