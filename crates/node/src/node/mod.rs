//! Sets up the services of a node and runs it through its lifecycle.

mod handover;
mod maintenance;
mod services;

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use monoio::time::sleep;
use sailtrack_kernel::{Draining, Error, Joining, Lifecycle, Serving, Table};
use sailtrack_log::{catalogue, emit};
use sailtrack_net::signal::Terminate;
use sailtrack_net::task;
use sailtrack_units::ConfigVersion;
use sailtrack_wire::State;

use crate::configuration::Configuration;
use crate::execute::Executor;
use crate::membership::{Gossip, Membership};
use crate::platform::Platform;
use crate::settings::Settings;
use maintenance::Maintenance;

/// Interval at which wait conditions are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// How long a new node waits until another node has the same view of the members.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(2);
/// Minimum time for which a draining node keeps refusing calls from callers with an outdated view.
const MIN_DRAIN_TIME: Duration = Duration::from_secs(1);
/// Draining continues until no call has arrived for this long,
const QUIET_TIME: Duration = Duration::from_millis(500);
/// but no longer than this, since some callers may never learn that the node is draining.
const MAX_DRAIN_TIME: Duration = Duration::from_secs(3);
/// Time limit for removing the node's row at shutdown.
const DEREGISTRATION_TIMEOUT: Duration = Duration::from_millis(300);

/// Runs a node from start to planned shutdown.
pub(crate) async fn run(settings: Settings) -> Result<(), Error> {
    let mut terminate = Terminate::install().map_err(Error::Signal)?;
    let lifecycle = Lifecycle::<Joining>::default();
    let in_flight = Rc::new(Cell::new(0));
    let table = Rc::new(Table::default());
    services::start(&table, &settings, &lifecycle, &in_flight)?;
    let name = settings.identity.name.to_string();
    emit(
        &catalogue::PROCESS_STARTED,
        &[("process", &name), ("address", &settings.ports.client)],
    );
    let configured = join(&table, &mut terminate).await?;
    if configured {
        let lifecycle = serve(&table, lifecycle.serve(), &mut terminate, &in_flight).await?;
        drain(&table, &settings, lifecycle, terminate, &in_flight).await?;
    } else {
        let _stopped = lifecycle.abandon();
    }
    emit(&catalogue::PROCESS_STOPPED, &[("process", &name)]);
    Ok(())
}

/// Waits for the first configuration and for a converged view of the members; returns false if the
/// node is stopped before.
///
/// A node that served before it knew other members would fail the calls of its upstream.
async fn join(table: &Table, terminate: &mut Terminate) -> Result<bool, Error> {
    let configuration = table.find::<Configuration>()?;
    let membership = table.find::<Membership>()?;
    let started = Instant::now();
    let configured = async {
        while configuration.version() == ConfigVersion::default() {
            sleep(POLL_INTERVAL).await;
        }
        while !membership.has_converged() && started.elapsed() < CONVERGENCE_TIMEOUT {
            sleep(POLL_INTERVAL).await;
        }
    };
    monoio::select! {
        () = configured => Ok(true),
        result = terminate.wait() => result.map(|()| false).map_err(Error::Signal),
    }
}

/// Serves until the node is told to stop.
async fn serve(
    table: &Rc<Table>,
    lifecycle: Lifecycle<Serving>,
    terminate: &mut Terminate,
    in_flight: &Cell<usize>,
) -> Result<Lifecycle<Draining>, Error> {
    table.find::<Maintenance>()?.refresh().await;
    terminate.wait().await.map_err(Error::Signal)?;
    emit(
        &catalogue::STOP_REQUESTED,
        &[("in_flight", &in_flight.get())],
    );
    Ok(lifecycle.drain())
}

/// Announces that the node is leaving, finishes the calls in flight and shuts down.
async fn drain(
    table: &Rc<Table>,
    settings: &Settings,
    lifecycle: Lifecycle<Draining>,
    mut terminate: Terminate,
    in_flight: &Rc<Cell<usize>>,
) -> Result<(), Error> {
    let gossip = table.find::<Gossip>()?;
    let membership = table.find::<Membership>()?;
    let platform = table.find::<Platform>()?;
    membership.update_local_state(State::Leaving, 0);
    gossip.broadcast().await;
    let count = Rc::clone(in_flight);
    task::spawn("repeated stop", async move {
        while terminate.wait().await.is_ok() {
            emit(&catalogue::STOP_REPEATED, &[("in_flight", &count.get())]);
        }
    });
    let announced = Instant::now();
    let executor = table.find::<Executor>()?;
    let has_callers = || {
        let quiet = executor.has_been_quiet(Instant::now(), QUIET_TIME);
        !quiet && announced.elapsed() < MAX_DRAIN_TIME
    };
    while in_flight.get() > 0 || announced.elapsed() < MIN_DRAIN_TIME || has_callers() {
        sleep(POLL_INTERVAL).await;
    }
    handover::hand_over(table, settings).await?;
    let row = maintenance::row_key(&membership.local_member().node);
    // If this fails, the row is ignored once it is too old.
    let _ = monoio::time::timeout(DEREGISTRATION_TIMEOUT, platform.remove(&row)).await;
    let _stopped = lifecycle.stop();
    Ok(())
}
