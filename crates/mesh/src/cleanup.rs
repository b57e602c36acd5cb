//! Removes the membership rows of dead nodes from the store.

use std::rc::Rc;

use monoio::time::sleep;
use rand::Rng as _;
use sailtrack_log::{catalogue, emit};

use crate::directory::Directory;
use crate::peer::Peers;
use crate::reload::Reload;
use crate::store::{Clock, Store, StoreError, Table};

/// Number of checks for dead nodes within the time after which a node counts as dead.
const CHECKS_PER_TIMEOUT: u32 = 4;

/// Removes the rows of nodes that were unreachable for `forget_after`, forever.
///
/// Removing the row of a live node costs only two writes, since the node notices that its row is
/// missing and writes it again. All nodes detect the same dead node, so each attempts the removal
/// with a probability of one in the number of nodes: on average one of them does.
pub(crate) async fn remove_dead(
    store: Rc<dyn Store>,
    directory: Rc<Directory>,
    peers: Rc<Peers>,
    clock: Rc<Clock>,
    reload: Rc<Reload>,
) {
    loop {
        let forget_after = reload.settings().forget_after.0;
        sleep(forget_after / CHECKS_PER_TIMEOUT).await;
        for name in peers.unreachable_for(forget_after) {
            // The store may have reused a version of an earlier era for another row.
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
                // Another node removed the row, or the node is back and wrote it again.
                Err(StoreError::Conflict) => {}
                Err(error) => emit(
                    &catalogue::STORE_FAILED,
                    &[("operation", &"remove row"), ("reason", &error)],
                ),
            }
        }
    }
}
