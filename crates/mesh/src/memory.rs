//! Limits on the memory used for bodies.
//!
//! A body is charged to a budget from its first byte until its last copy is dropped. Bodies of
//! clients and bodies of peers have separate budgets: a body of a client is held until another node
//! accepts it, so with one budget two full nodes could wait for each other. Together they have a
//! bound that leaves a part to each of them. Answers have a third budget.

mod budget;
mod buffer;

use std::rc::Rc;
use std::time::Duration;

use sailtrack_kernel::Service;
use sailtrack_units::{ByteSize, NodeName, WorkspaceName};

pub(crate) use budget::{Bound, Budget, Charge, Exhausted, Sample};
pub(crate) use buffer::{Assembly, Buffer};

/// The bodies of clients may use this share of the memory limit, as numerator and denominator.
const CLIENT_SHARE: (usize, usize) = (3, 8);
/// The bodies sent by peers may use this share; they are dropped once the upstream has them.
const PEER_SHARE: (usize, usize) = (1, 4);
/// Answers of the own upstream that are read before they are passed on may use this share, and at
/// least the minimum.
const ANSWER_SHARE: (usize, usize) = (1, 16);
const MIN_ANSWER_BYTES: usize = 4 * 1024 * 1024;
/// The bodies of both may use this share together, and so may a single one.
const BODY_SHARE: (usize, usize) = (1, 2);

/// The longest wait of a body for memory, and the part of the time left of its request.
const MAX_PATIENCE: Duration = Duration::from_millis(250);
const PATIENCE_DIVISOR: u32 = 8;

/// Returns how long the body of a request with this time left may wait for memory: so short that a
/// refusal still leaves its caller time to retry.
pub(crate) fn patience(time_left: Duration) -> Duration {
    (time_left / PATIENCE_DIVISOR).min(MAX_PATIENCE)
}

/// On whose behalf a body is held.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) enum Caller {
    /// Clients that name no workspace.
    Anonymous,
    /// The clients of a workspace.
    Workspace(WorkspaceName),
    /// The own upstream, which makes calls for the requests that it runs.
    Upstream,
    /// Another node.
    Peer(NodeName),
}

/// The budgets of a node for bodies.
pub(crate) struct Memory {
    /// Bodies that arrive from clients and from the own upstream.
    pub(crate) clients: Budget,
    /// Bodies that arrive from peers.
    pub(crate) peers: Budget,
    /// Bodies of answers that arrive from the own upstream.
    pub(crate) answers: Budget,
    /// Bodies of clients and of peers together.
    bodies: Rc<Bound>,
    answer_bound: Rc<Bound>,
}

impl Service for Memory {
    const NAME: &'static str = "memory";
}

impl Memory {
    /// Returns the budgets of a process with this memory limit.
    pub(crate) fn new(limit: ByteSize) -> Self {
        let sizes = Sizes::from(limit);
        let bodies = Bound::new(sizes.bodies);
        let answer_bound = Bound::new(sizes.answers);
        Self {
            clients: Budget::new(sizes.clients, &bodies),
            peers: Budget::new(sizes.peers, &bodies),
            answers: Budget::new(sizes.answers, &answer_bound),
            bodies,
            answer_bound,
        }
    }

    /// Changes the memory limit; bodies that are held stay.
    pub(crate) fn resize(&self, limit: ByteSize) {
        let sizes = Sizes::from(limit);
        self.clients.resize(sizes.clients);
        self.peers.resize(sizes.peers);
        self.answers.resize(sizes.answers);
        self.bodies.resize(sizes.bodies);
        self.answer_bound.resize(sizes.answers);
    }
}

/// The sizes of the budgets and of their bounds, in bytes.
struct Sizes {
    clients: usize,
    peers: usize,
    answers: usize,
    bodies: usize,
}

impl From<ByteSize> for Sizes {
    /// Returns the sizes for a process with this memory limit.
    fn from(limit: ByteSize) -> Self {
        let share = |(numerator, denominator)| limit.as_usize() / denominator * numerator;
        Self {
            clients: share(CLIENT_SHARE),
            peers: share(PEER_SHARE),
            answers: share(ANSWER_SHARE).max(MIN_ANSWER_BYTES),
            bodies: share(BODY_SHARE),
        }
    }
}
