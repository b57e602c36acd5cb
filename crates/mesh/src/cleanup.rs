//! Removes the rows of nodes that are gone for good.

use std::rc::Rc;

use monoio::time::sleep;
use rand::Rng as _;
use sailtrack_log::{catalogue, emit};

use crate::directory::Directory;
use crate::peer::Peers;
use crate::reload::Reload;
use crate::store::{Clock, Store, StoreError, Table};

/// How often lost nodes are looked for, as a part of the time after which they are gone.
const LOOKS: u32 = 4;

/// Removes the rows of nodes that could not be reached for `forget_after`, for as long as the task
/// lives.
///
/// A node that is alive finds its row missing and writes it again, so removing one too many costs
/// two writes. All nodes see the same dead one; each tries with a probability that makes it one
/// of them on average.
pub(crate) async fn remove_dead(
    store: Rc<dyn Store>,
    directory: Rc<Directory>,
    peers: Rc<Peers>,
    clock: Rc<Clock>,
    reload: Rc<Reload>,
) {
    loop {
        let forget_after = reload.settings().forget_after.0;
        sleep(forget_after / LOOKS).await;
        for name in peers.unreachable_for(forget_after) {
            // A version of an earlier era may by now be that of another row.
            let version = directory.row_version(&name);
            let Some(version) = version.filter(|version| version.era == clock.era()) else {
                continue;
            };
            let nodes = peers.open_count() + 1;
            if rand::rng().random_range(0..nodes) > 0 {
                continue;
            }
            match store.remove(Table::Members, name.as_str(), version).await {
                Ok(()) => emit(&catalogue::ROW_REMOVED, &[("node", &name)]),
                // Somebody else removed it, or the node is back.
                Err(StoreError::Conflict) => {}
                Err(error) => emit(
                    &catalogue::STORE_FAILED,
                    &[("operation", &"remove row"), ("reason", &error)],
                ),
            }
        }
    }
}
