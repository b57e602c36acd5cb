//! Assembles the services of a mesh node and runs it from start to shutdown.

mod start;
mod stop;
mod store;
mod tasks;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use monoio::time::sleep;
use sailtrack_admission::{Config, Policy};
use sailtrack_kernel::{Error, Joining, Lifecycle, Table};
use sailtrack_log::{catalogue, emit};
use sailtrack_net::signal::{Signal, Signals};
use sailtrack_units::Period;

use crate::configuration::Current;
use crate::dialect::Dialect;
use crate::reload::Reload;
use crate::settings::Settings;
use crate::store::Store;

/// How often a condition that the node waits for is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Admission to the own upstream. A root request is queued no longer than a medium request takes;
/// beyond that another upstream would serve it sooner. A nested call is queued longer, since
/// refusing it wastes the calls already made for its root request.
pub(crate) const ADMISSION_CONFIG: Config = Config {
    policy: Policy::Adaptive,
    fixed_limit: 100,
    queue_time: Period::from_millis(100),
    nested_queue_time: Period::from_millis(200),
    warm_up: Period::from_millis(2000),
};

/// The platform on which a mesh node runs.
pub struct Environment {
    /// The platform's names and formats.
    pub dialect: Rc<dyn Dialect>,
    /// The platform's store.
    pub store: Rc<dyn Store>,
}

/// Runs a node from start to graceful shutdown.
pub(crate) async fn run(settings: Settings, environment: Environment) -> Result<(), Error> {
    let mut signals = Signals::install().map_err(Error::Signal)?;
    let lifecycle = Lifecycle::<Joining>::default();
    let in_flight = Rc::new(Cell::new(0));
    let table = Rc::new(Table::default());
    start::start(&table, &settings, &environment, &lifecycle, &in_flight)?;
    let name = settings.identity.name.to_string();
    emit(
        &catalogue::PROCESS_STARTED,
        &[("process", &name), ("address", &settings.ports.entry)],
    );
    let current = table.find::<Current>()?;
    let reload = table.find::<Reload>()?;
    let configured = async {
        while current.get().is_none() {
            sleep(POLL_INTERVAL).await;
        }
    };
    let is_configured = monoio::select! {
        () = configured => true,
        result = stop::wait_for_shutdown(&mut signals, &reload) => {
            result?;
            false
        }
    };
    if is_configured {
        let lifecycle = lifecycle.serve();
        start::publish(&table)?;
        stop::wait_for_shutdown(&mut signals, &reload).await?;
        stop::drain(&table, lifecycle.drain(), &in_flight).await?;
    } else {
        let _stopped = lifecycle.abandon();
    }
    emit(&catalogue::PROCESS_STOPPED, &[("process", &name)]);
    Ok(())
}

/// Returns true for the signal that requests a shutdown.
fn is_shutdown(signal: Signal) -> bool {
    signal == Signal::Terminate
}
