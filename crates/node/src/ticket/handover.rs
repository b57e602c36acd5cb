//! What a node that stopped in an orderly way handed over to this one about its tickets.

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

/// A part of what one life of a node hands over.
#[derive(Debug, Clone)]
pub(crate) struct Part {
    pub(crate) home: NodeName,
    pub(crate) incarnation: Incarnation,
    pub(crate) entries: Vec<Entry>,
    /// How many tickets there are in all parts.
    pub(crate) total: usize,
}

/// What one life of a node has handed over.
#[derive(Debug)]
struct Received {
    answers: HashMap<u64, Answer>,
    total: usize,
    arrived: Instant,
    /// The memory of the answers.
    bytes: usize,
}

impl Received {
    /// Returns true if every ticket that this life ever ran is here.
    fn is_complete(&self) -> bool {
        self.answers.len() >= self.total
    }

    /// Keeps an answer and returns by how many bytes that needs more memory.
    fn insert(&mut self, entry: Entry) -> usize {
        let bytes = footprint(&entry.answer);
        let previous = self.answers.insert(entry.ticket.serial, entry.answer);
        let added = bytes.saturating_sub(previous.as_ref().map_or(0, footprint));
        self.bytes += added;
        added
    }
}

/// What other nodes have handed over to this one.
#[derive(Debug, Default)]
pub(crate) struct Archive {
    handovers: HashMap<(NodeName, Incarnation), Received>,
    used_bytes: usize,
}

impl Archive {
    /// Takes in a part of what a node hands over, unless it needs more than `room` bytes.
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

    /// Returns the final answer to a ticket of a life that has ended, if it is known here.
    ///
    /// A ticket that is missing from a complete handover was never run, and no longer can be; that is
    /// said only if the ticket is `recent`, since the home may have forgotten an old one.
    pub(crate) fn lookup(&self, ticket: &Ticket, recent: bool) -> Option<Answer> {
        let key = (ticket.home.clone(), ticket.incarnation);
        let received = self.handovers.get(&key)?;
        let known = received.answers.get(&ticket.serial).cloned();
        known.or_else(|| {
            let never_run = recent && received.is_complete();
            never_run.then(|| Answer::not_run(Reason::TicketClosed))
        })
    }

    /// Forgets what arrived longer ago than `life`.
    pub(crate) fn evict_old(&mut self, now: Instant, retention: Duration) {
        let mut freed = 0;
        self.handovers.retain(|_, received| {
            let keep = now.saturating_duration_since(received.arrived) < retention;
            freed += if keep { 0 } else { received.bytes };
            keep
        });
        self.used_bytes -= freed;
    }

    /// Returns the memory that is taken up.
    pub(crate) fn used_bytes(&self) -> usize {
        self.used_bytes
    }
}

/// Returns the answer as it is handed over: one whose body is too long is unknown.
pub(crate) fn for_handover(answer: &Answer, max_body: usize) -> Answer {
    if answer.outcome == Outcome::Done && answer.body.len() > max_body {
        return Answer::unknown(Reason::AnswerTooLarge);
    }
    answer.clone()
}
