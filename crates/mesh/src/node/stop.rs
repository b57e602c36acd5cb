//! Ends a node without cutting anything.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use monoio::time::sleep;
use sailtrack_kernel::{Draining, Error, Life, Table};
use sailtrack_log::{catalogue, emit};
use sailtrack_net::signal::Signals;
use sailtrack_net::task;

use crate::clock;
use crate::entry::Entry;
use crate::gate::Upstream;
use crate::node::{LOOK, is_stop, start};
use crate::quota::Election;
use crate::reload::Reload;

/// How long a leaving node goes on taking requests: whoever asks once a second whether it is
/// ready has been told no twice by then.
const LEAVING_TIME: Duration = Duration::from_millis(2300);
/// How long it lets requests to its upstream in: the upstream can be reached through no other
/// node, and goes without work until this one is back.
const GATE_TIME: Duration = Duration::from_millis(1600);
/// It ends once nothing has been in flight for this long.
const QUIET_TIME: Duration = Duration::from_millis(200);
/// After this share of the time for a stop no new requests of clients are taken: a client may go
/// on sending when too few other nodes are ready, and what is taken has to be finished.
const TAKING_SHARE: f64 = 0.45;
/// How long before the end of the time for a stop it ends in any case.
const RESERVE: Duration = Duration::from_millis(300);

/// Waits for the signal that asks for an end; another one asks for the settings to be read again.
pub(super) async fn wait_for_stop(signals: &mut Signals, reload: &Reload) -> Result<(), Error> {
    loop {
        let signal = signals.next().await.map_err(Error::Signal)?;
        if is_stop(signal) {
            return Ok(());
        }
        reload.request();
    }
}

/// Tells everybody that the node leaves, and ends once nothing is in flight.
pub(super) async fn drain(
    table: &Table,
    life: Life<Draining>,
    in_flight: &Rc<Cell<usize>>,
) -> Result<(), Error> {
    emit(
        &catalogue::STOP_REQUESTED,
        &[("in_flight", &in_flight.get())],
    );
    start::publish(table)?;
    // Who waits for the end counts the time in which the instance is suspended.
    let began = clock::now();
    let stop_time = table.find::<Reload>()?.settings().stop_time.0;
    let longest = stop_time.saturating_sub(RESERVE);
    let mut busy = began;
    let election = table.find::<Election>()?;
    task::spawn("resignation", async move { election.resign().await });
    let entry = table.find::<Entry>()?;
    let upstream = table.find::<Upstream>()?;
    let taking = stop_time.mul_f64(TAKING_SHARE);
    loop {
        sleep(LOOK).await;
        let now = clock::now();
        let passed = now.since(began);
        if passed >= GATE_TIME {
            upstream.close();
        }
        if passed >= taking {
            entry.close();
        }
        if in_flight.get() > 0 {
            busy = now;
        }
        let is_quiet = now.since(busy) >= QUIET_TIME && passed >= LEAVING_TIME;
        if is_quiet || passed >= longest {
            break;
        }
    }
    let _stopped = life.stop();
    Ok(())
}
