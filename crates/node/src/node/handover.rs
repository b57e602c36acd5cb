//! Hands over the answers of finished tickets to other nodes at a planned shutdown.

use std::rc::Rc;
use std::time::Duration;

use monoio::time::timeout;
use sailtrack_kernel::{Missing, Table};
use sailtrack_log::{catalogue, emit};

use crate::membership::Peer;
use crate::peer::Peers;
use crate::routing::{Routing, Target};
use crate::settings::Settings;
use crate::ticket::{Part, Tickets};

/// Time limit of the handover to one node.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(2);
/// Limit on the bytes of answers in one message.
const PART_SIZE: usize = 256 * 1024;

/// Hands over the tickets of this incarnation to its successors.
pub(crate) async fn hand_over(table: &Table, settings: &Settings) -> Result<(), Missing> {
    let routing = table.find::<Routing>()?;
    let tickets = table.find::<Tickets>()?;
    let peers = table.find::<Peers>()?;
    let home = tickets.mint_here();
    for successor in routing.successors(&settings.identity.service, &home) {
        if let Target::Remote(peer) = successor {
            hand_over_to(&peers, &peer, tickets.handover_parts(PART_SIZE)).await;
        }
    }
    Ok(())
}

async fn hand_over_to(peers: &Peers, successor: &Rc<Peer>, parts: Vec<Part>) {
    let total = parts.first().map_or(0, |part| part.total);
    let sending = async {
        for part in &parts {
            if !peers.hand_over(successor, part).await {
                return false;
            }
        }
        true
    };
    let accepted = timeout(HANDOVER_TIMEOUT, sending).await.unwrap_or(false);
    emit(
        &catalogue::TICKETS_HANDED_OVER,
        &[
            ("node", &successor.name),
            ("tickets", &total),
            ("taken", &accepted),
        ],
    );
}
