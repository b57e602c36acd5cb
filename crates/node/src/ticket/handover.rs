//! Answers handed over to this node by nodes that shut down.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use sailtrack_units::{Incarnation, NodeName, Ticket};
use sailtrack_wire::{Outcome, Reason};

use crate::call::Answer;
use crate::ticket::record::footprint;

/// A ticket with the final answer of its request.
#[derive(Debug, Clone)]
pub(crate) struct Entry {
    pub(crate) ticket: Ticket,
    pub(crate) answer: Answer,
}

/// A part of the handover of one incarnation of a node.
#[derive(Debug, Clone)]
pub(crate) struct Part {
    pub(crate) home: NodeName,
    pub(crate) incarnation: Incarnation,
    pub(crate) entries: Vec<Entry>,
    /// Number of tickets in all parts together.
    pub(crate) total: usize,
}

/// The handover received from one incarnation of a node.
#[derive(Debug)]
struct Received {
    answers: HashMap<u64, Answer>,
    total: usize,
    arrived: Instant,
    /// Memory used by the answers.
    bytes: usize,
}

impl Received {
    /// Returns true if the outcomes of all tickets that the incarnation had on record have been
    /// received.
    fn is_complete(&self) -> bool {
        self.answers.len() >= self.total
    }

    /// Stores an answer and returns the additional memory used, in bytes.
    fn insert(&mut self, entry: Entry) -> usize {
        let bytes = footprint(&entry.answer);
        let previous = self.answers.insert(entry.ticket.serial, entry.answer);
        let added = bytes.saturating_sub(previous.as_ref().map_or(0, footprint));
        self.bytes += added;
        added
    }
}

/// All handovers received by this node.
#[derive(Debug, Default)]
pub(crate) struct Archive {
    handovers: HashMap<(NodeName, Incarnation), Received>,
    used_bytes: usize,
}

impl Archive {
    /// Stores a part of a handover, unless it needs more than `available` bytes.
    pub(crate) fn merge(&mut self, part: Part, now: Instant, available: usize) -> bool {
        let sizes = part.entries.iter().map(|entry| footprint(&entry.answer));
        if sizes.sum::<usize>() > available {
            return false;
        }
        let received = self
            .handovers
            .entry((part.home, part.incarnation))
            .or_insert_with(|| Received {
                answers: HashMap::new(),
                total: part.total,
                arrived: now,
                bytes: 0,
            });
        for entry in part.entries {
            self.used_bytes += received.insert(entry);
        }
        true
    }

    /// Returns the final answer for a ticket of an incarnation that has ended, if it is known.
    ///
    /// A ticket missing from a complete handover was never executed and no longer can be. This is
    /// only concluded for a `recent` ticket, since the home node may have dropped the record of an
    /// old one.
    pub(crate) fn lookup(&self, ticket: &Ticket, recent: bool) -> Option<Answer> {
        let key = (ticket.home.clone(), ticket.incarnation);
        let received = self.handovers.get(&key)?;
        let known = received.answers.get(&ticket.serial).cloned();
        known.or_else(|| {
            let never_run = recent && received.is_complete();
            never_run.then(|| Answer::not_run(Reason::TicketClosed))
        })
    }

    /// Drops handovers received longer than `retention` ago.
    pub(crate) fn evict_old(&mut self, now: Instant, retention: Duration) {
        let mut freed = 0;
        self.handovers.retain(|_, received| {
            let keep = now.saturating_duration_since(received.arrived) < retention;
            freed += if keep { 0 } else { received.bytes };
            keep
        });
        self.used_bytes -= freed;
    }

    /// Returns the memory used.
    pub(crate) fn used_bytes(&self) -> usize {
        self.used_bytes
    }
}

/// Returns the answer to hand over: if the body is too long, an unknown outcome instead.
pub(crate) fn for_handover(answer: &Answer, max_body: usize) -> Answer {
    if answer.outcome == Outcome::Done && answer.body.len() > max_body {
        return Answer::unknown(Reason::AnswerTooLarge);
    }
    answer.clone()
}
