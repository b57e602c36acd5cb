//! Graceful shutdown of a node.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use monoio::time::sleep;
use sailtrack_kernel::{Draining, Error, Lifecycle, Table};
use sailtrack_log::{catalogue, emit};
use sailtrack_net::signal::Signals;
use sailtrack_net::task;

use crate::clock;
use crate::entry::Entry;
use crate::gate::Upstream;
use crate::node::{POLL_INTERVAL, is_shutdown, start};
use crate::quota::Election;
use crate::reload::Reload;
use crate::shutdown::Shutdown;

/// Shortest drain, during which the node keeps accepting requests. A readiness probe that runs once
/// a second has failed twice by then.
const MIN_DRAIN_TIME: Duration = Duration::from_millis(2300);
/// How long a draining node still accepts requests for its upstream, which can only be reached
/// through this node and is idle until the node is back.
const GATE_OPEN_TIME: Duration = Duration::from_millis(1600);
/// The drain ends once nothing has been in flight for this long.
const IDLE_TIME: Duration = Duration::from_millis(200);

/// Waits for the shutdown signal, and requests a reload of the settings at each reload signal.
pub(super) async fn wait_for_shutdown(signals: &mut Signals, reload: &Reload) -> Result<(), Error> {
    loop {
        let signal = signals.next().await.map_err(Error::Signal)?;
        if is_shutdown(signal) {
            return Ok(());
        }
        reload.request();
    }
}

/// Announces that the node is shutting down, and returns once nothing is in flight or the shutdown
/// time is nearly over.
pub(super) async fn drain(
    table: &Table,
    lifecycle: Lifecycle<Draining>,
    in_flight: &Rc<Cell<usize>>,
) -> Result<(), Error> {
    emit(
        &catalogue::STOP_REQUESTED,
        &[("in_flight", &in_flight.get())],
    );
    start::publish(table)?;
    // The shutdown time is enforced from outside and also passes while the instance is suspended.
    let start_time = clock::now();
    let stop_time = table.find::<Reload>()?.settings().stop_time;
    let end = table.find::<Shutdown>()?.begin(start_time, stop_time);
    let mut last_busy = start_time;
    let election = table.find::<Election>()?;
    task::spawn("resignation", async move { election.resign().await });
    let entry = table.find::<Entry>()?;
    let upstream = table.find::<Upstream>()?;
    loop {
        sleep(POLL_INTERVAL).await;
        let now = clock::now();
        let elapsed = now.since(start_time);
        if elapsed >= GATE_OPEN_TIME {
            upstream.close();
        }
        if in_flight.get() > 0 || entry.closing.get() > 0 {
            last_busy = now;
        }
        let is_idle = now.since(last_busy) >= IDLE_TIME && elapsed >= MIN_DRAIN_TIME;
        if is_idle {
            break;
        }
        if now >= end {
            log_unfinished(in_flight.get());
            break;
        }
    }
    let _stopped = lifecycle.stop();
    Ok(())
}

/// Logs the requests that are cut off, if any.
fn log_unfinished(in_flight: usize) {
    if in_flight > 0 {
        emit(&catalogue::STOP_TIME_OVER, &[("in_flight", &in_flight)]);
    }
}
