//! Puts the services of a mesh node together and leads it through its life.

mod start;
mod stop;
mod store;
mod tasks;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use monoio::time::sleep;
use sailtrack_admission::{Config, Policy};
use sailtrack_kernel::{Error, Joining, Life, Table};
use sailtrack_log::{catalogue, emit};
use sailtrack_net::signal::{Signal, Signals};
use sailtrack_units::Period;

use crate::configuration::Current;
use crate::dialect::Dialect;
use crate::reload::Reload;
use crate::settings::Settings;
use crate::store::Store;

/// How often waiting for a condition looks at it.
const LOOK: Duration = Duration::from_millis(10);

/// Who may enter an upstream. A request waits no longer than one of middle length runs; beyond
/// that another upstream serves it sooner. A call of a request in progress waits longer: refusing
/// it loses the calls that were made before it.
pub(crate) const ADMISSION_RULES: Config = Config {
    policy: Policy::Adaptive,
    fixed_limit: 100,
    queue_time: Period::from_millis(100),
    nested_queue_time: Period::from_millis(200),
    warm_up: Period::from_millis(2000),
};

/// What a mesh node meets in the place where it runs.
pub struct Surroundings {
    /// The names and formats there.
    pub dialect: Rc<dyn Dialect>,
    /// The store there.
    pub store: Rc<dyn Store>,
}

/// Runs a node from its start to its planned stop.
pub(crate) async fn run(settings: Settings, surroundings: Surroundings) -> Result<(), Error> {
    let mut signals = Signals::install().map_err(Error::Signal)?;
    let life = Life::<Joining>::default();
    let in_flight = Rc::new(Cell::new(0));
    let table = Rc::new(Table::default());
    start::start(&table, &settings, &surroundings, &life, &in_flight)?;
    let name = settings.identity.name.to_string();
    emit(
        &catalogue::PROCESS_STARTED,
        &[("process", &name), ("address", &settings.ports.entry)],
    );
    let current = table.find::<Current>()?;
    let reload = table.find::<Reload>()?;
    let configured = async {
        while current.get().is_none() {
            sleep(LOOK).await;
        }
    };
    let is_configured = monoio::select! {
        () = configured => true,
        result = stop::wait_for_stop(&mut signals, &reload) => {
            result?;
            false
        }
    };
    if is_configured {
        let life = life.serve();
        start::publish(&table)?;
        stop::wait_for_stop(&mut signals, &reload).await?;
        stop::drain(&table, life.drain(), &in_flight).await?;
    } else {
        let _stopped = life.abandon();
    }
    emit(&catalogue::PROCESS_STOPPED, &[("process", &name)]);
    Ok(())
}

/// Returns true for the signal that asks for an end.
fn is_stop(signal: Signal) -> bool {
    signal == Signal::Terminate
}
