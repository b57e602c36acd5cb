//! Puts the services of a node together and leads it through its life.

mod duty;
mod handover;
mod services;

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use monoio::time::sleep;
use sailtrack_kernel::{Draining, Error, Joining, Life, Serving, Table};
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
use duty::Duties;

/// How often waiting for a condition looks at it.
const LOOK: Duration = Duration::from_millis(10);
/// How long a new node waits for another one to know the same members.
const MEETING_TIME: Duration = Duration::from_secs(2);
/// How long a leaving node goes on refusing what stale callers still send.
const LEAVING_TIME: Duration = Duration::from_secs(1);
/// It goes on until none has sent anything for this long,
const QUIET_TIME: Duration = Duration::from_millis(500);
/// but no longer than this, since some may never hear that it leaves.
const LONGEST_LEAVING_TIME: Duration = Duration::from_secs(3);
/// How long removing the node's row may hold up its end.
const FAREWELL_TIME: Duration = Duration::from_millis(300);

/// Runs a node from its start to its planned stop.
pub(crate) async fn run(settings: Settings) -> Result<(), Error> {
    let mut terminate = Terminate::install().map_err(Error::Signal)?;
    let life = Life::<Joining>::default();
    let in_flight = Rc::new(Cell::new(0));
    let table = Rc::new(Table::default());
    services::start(&table, &settings, &life, &in_flight)?;
    let name = settings.identity.name.to_string();
    emit(
        &catalogue::PROCESS_STARTED,
        &[("process", &name), ("address", &settings.ports.client)],
    );
    let configured = join(&table, &mut terminate).await?;
    if configured {
        let life = serve(&table, life.serve(), &mut terminate, &in_flight).await?;
        drain(&table, &settings, life, terminate, &in_flight).await?;
    } else {
        let _stopped = life.abandon();
    }
    emit(&catalogue::PROCESS_STOPPED, &[("process", &name)]);
    Ok(())
}

/// Waits for the first configuration and for the members that others know; returns false if
/// the node is stopped before.
///
/// A node that served before it knew anybody would fail the calls of its upstream.
async fn join(table: &Table, terminate: &mut Terminate) -> Result<bool, Error> {
    let configuration = table.find::<Configuration>()?;
    let membership = table.find::<Membership>()?;
    let started = Instant::now();
    let configured = async {
        while configuration.version() == ConfigVersion::default() {
            sleep(LOOK).await;
        }
        while !membership.has_agreed() && started.elapsed() < MEETING_TIME {
            sleep(LOOK).await;
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
    life: Life<Serving>,
    terminate: &mut Terminate,
    in_flight: &Cell<usize>,
) -> Result<Life<Draining>, Error> {
    table.find::<Duties>()?.refresh().await;
    terminate.wait().await.map_err(Error::Signal)?;
    emit(
        &catalogue::STOP_REQUESTED,
        &[("in_flight", &in_flight.get())],
    );
    Ok(life.drain())
}

/// Announces that the node leaves, finishes what is in flight and ends its life.
async fn drain(
    table: &Rc<Table>,
    settings: &Settings,
    life: Life<Draining>,
    mut terminate: Terminate,
    in_flight: &Rc<Cell<usize>>,
) -> Result<(), Error> {
    let gossip = table.find::<Gossip>()?;
    let membership = table.find::<Membership>()?;
    let platform = table.find::<Platform>()?;
    membership.say(State::Leaving, 0);
    gossip.tell_all().await;
    let count = Rc::clone(in_flight);
    task::spawn("repeated stop", async move {
        while terminate.wait().await.is_ok() {
            emit(&catalogue::STOP_REPEATED, &[("in_flight", &count.get())]);
        }
    });
    let announced = Instant::now();
    let executor = table.find::<Executor>()?;
    let has_callers = || {
        let quiet = executor.is_quiet(Instant::now(), QUIET_TIME);
        !quiet && announced.elapsed() < LONGEST_LEAVING_TIME
    };
    while in_flight.get() > 0 || announced.elapsed() < LEAVING_TIME || has_callers() {
        sleep(LOOK).await;
    }
    handover::hand_over(table, settings).await?;
    let row = duty::row_key(&membership.me().node);
    // The row of a node that is gone is ignored by its age in any case.
    let _ = monoio::time::timeout(FAREWELL_TIME, platform.remove(&row)).await;
    let _stopped = life.stop();
    Ok(())
}
