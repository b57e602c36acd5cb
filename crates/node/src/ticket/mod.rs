//! At-most-once execution by tickets.
//!
//! A ticket names the one incarnation of a node that may ever run its request.
//! That node remembers what became of it, so no other copy runs, and a repeat
//! gets the first answer. Each ticket has exactly one final outcome; a refusal
//! is remembered too, so that a late copy cannot run after it.

mod builder;
mod handover;
mod record;
#[cfg(test)]
mod tests;

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::channel::oneshot;
use rand::Rng as _;
use sailtrack_kernel::Service;
use sailtrack_units::{ByteSize, Clock, Incarnation, NodeName, Ticket, Timestamp};
use sailtrack_wire::Reason;

use crate::call::Answer;
use builder::Builder;
use handover::{Archive, for_handover};
pub(crate) use handover::{Entry, Part};
use record::{RECORD_OVERHEAD, Record, State, footprint};

/// A ticket minted further in the future than this is not valid.
const MAX_SKEW: Duration = Duration::from_mins(1);
/// The most tickets remembered at once.
const MAX_RECORDS: usize = 200_000;
/// The longest body of an answer that is handed over.
const MAX_HANDED_OVER_BODY: usize = 64 * 1024;

/// What to do with a call that brings a ticket.
pub(crate) enum Disposition {
    /// It is the first copy and is to run now.
    Run,
    /// A copy of it is running; its answer will come here.
    Wait(oneshot::Receiver<Answer>),
    /// Its final answer is known.
    Closed(Answer),
    /// The ticket is too old; nothing is remembered about it.
    Expired,
    /// There is no room to remember it.
    Full,
    /// It is not for this incarnation of this node.
    Foreign,
}

/// The tickets of this incarnation of the node.
pub(crate) struct Tickets {
    home: NodeName,
    incarnation: Incarnation,
    lifetime: Duration,
    memory: ByteSize,
    clock: Clock,
    records: RefCell<HashMap<u64, Record>>,
    by_arrival: RefCell<VecDeque<(Timestamp, u64)>>,
    used_bytes: Cell<usize>,
    /// What other nodes handed over when they stopped.
    archive: RefCell<Archive>,
}

impl Service for Tickets {
    const NAME: &'static str = "tickets";
}

impl Tickets {
    /// Starts to make the tickets of this incarnation of the node.
    pub(crate) fn builder(home: NodeName, incarnation: Incarnation) -> Builder {
        Builder::new(home, incarnation)
    }

    /// Makes a ticket whose request only `home` may run.
    pub(crate) fn mint(&self, home: NodeName, incarnation: Incarnation) -> Ticket {
        Ticket {
            home,
            incarnation,
            serial: rand::rng().random(),
            minted: self.clock.now(),
        }
    }

    /// Makes a ticket whose request only this node may run.
    pub(crate) fn mint_here(&self) -> Ticket {
        self.mint(self.home.clone(), self.incarnation)
    }

    /// Returns true if this incarnation of this node is the ticket's home.
    pub(crate) fn is_home(&self, ticket: &Ticket) -> bool {
        ticket.home == self.home && ticket.incarnation == self.incarnation
    }

    /// Says what to do with a call that brings `ticket`.
    pub(crate) fn begin(&self, ticket: &Ticket) -> Disposition {
        if !self.is_home(ticket) {
            return self.begin_foreign(ticket);
        }
        let now = self.clock.now();
        self.evict_expired(now);
        self.evict_handovers(Instant::now());
        let mut records = self.records.borrow_mut();
        if let Some(record) = records.get_mut(&ticket.serial) {
            return record.join();
        }
        if self.is_expired(ticket.minted, now) || ticket.minted > now.after(MAX_SKEW) {
            return Disposition::Expired;
        }
        if records.len() >= MAX_RECORDS || self.used_bytes.get() >= self.memory.as_usize() {
            return Disposition::Full;
        }
        records.insert(ticket.serial, Record::running(ticket.minted));
        self.by_arrival.borrow_mut().push_back((now, ticket.serial));
        self.used_bytes.set(self.used_bytes.get() + RECORD_OVERHEAD);
        Disposition::Run
    }

    /// Says what is known about a ticket of another node that has stopped.
    fn begin_foreign(&self, ticket: &Ticket) -> Disposition {
        let now = self.clock.now();
        if self.is_expired(ticket.minted, now) {
            return Disposition::Expired;
        }
        let safe_age = self.lifetime.saturating_sub(MAX_SKEW * 2);
        let recent = ticket.minted.after(safe_age) > now;
        let answer = self.archive.borrow().lookup(ticket, recent);
        answer.map_or(Disposition::Foreign, Disposition::Closed)
    }

    /// Takes in what a node hands over; returns false if there is no room.
    pub(crate) fn receive(&self, part: Part, now: Instant) -> bool {
        self.evict_handovers(now);
        let mut archive = self.archive.borrow_mut();
        let used = self.used_bytes.get() + archive.used_bytes();
        let available = self.memory.as_usize().saturating_sub(used);
        archive.merge(part, now, available)
    }

    /// Forgets what was handed over when no ticket of that life can be used any more.
    pub(crate) fn evict_handovers(&self, now: Instant) {
        let mut archive = self.archive.borrow_mut();
        archive.evict_old(now, self.lifetime + MAX_SKEW);
    }

    /// Returns what this life hands over about its tickets, in parts of about `size` bytes.
    ///
    /// A request that still runs is handed over as unknown, so nobody calls it not run.
    pub(crate) fn handover_parts(&self, size: usize) -> Vec<Part> {
        let records = self.records.borrow();
        let total = records.len();
        let mut parts = vec![self.part(total)];
        let mut filled = 0;
        for (serial, record) in records.iter() {
            let answer = record.final_answer().map_or_else(
                || Answer::unknown(Reason::Cancelled),
                |answer| for_handover(answer, MAX_HANDED_OVER_BODY),
            );
            let length = footprint(&answer);
            if filled + length > size {
                parts.push(self.part(total));
                filled = 0;
            }
            filled += length;
            let ticket = Ticket {
                home: self.home.clone(),
                incarnation: self.incarnation,
                serial: *serial,
                minted: record.minted,
            };
            if let Some(part) = parts.last_mut() {
                part.entries.push(Entry { ticket, answer });
            }
        }
        parts
    }

    fn part(&self, total: usize) -> Part {
        Part {
            home: self.home.clone(),
            incarnation: self.incarnation,
            entries: Vec::new(),
            total,
        }
    }

    /// Keeps the final answer of the request and tells it to all who wait for it.
    pub(crate) fn close(&self, ticket: &Ticket, answer: &Answer) {
        let mut records = self.records.borrow_mut();
        let Some(record) = records.get_mut(&ticket.serial) else {
            return;
        };
        self.used_bytes
            .set(self.used_bytes.get() + answer.body.len());
        let earlier = std::mem::replace(&mut record.state, State::Closed(answer.clone()));
        if let State::Running(waiters) = earlier {
            for waiter in waiters {
                // A waiter that has gone needs no answer.
                let _ = waiter.send(answer.clone());
            }
        }
    }

    /// Returns how many own tickets are remembered, and the memory they take up with what
    /// was handed over.
    pub(crate) fn size(&self) -> (usize, ByteSize) {
        let bytes = self.used_bytes.get() + self.archive.borrow().used_bytes();
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        (self.records.borrow().len(), ByteSize(bytes))
    }

    fn is_expired(&self, minted: Timestamp, now: Timestamp) -> bool {
        minted.after(self.lifetime) < now
    }

    /// Forgets the closed requests whose tickets can no longer be used.
    ///
    /// The clock never goes back, so a forgotten ticket stays expired. Records
    /// leave in the order in which they came, once twice the life and the
    /// greatest skew have passed since.
    fn evict_expired(&self, now: Timestamp) {
        let mut by_arrival = self.by_arrival.borrow_mut();
        let mut records = self.records.borrow_mut();
        while let Some((arrived, serial)) = by_arrival.front().copied() {
            let Some(record) = records.get(&serial) else {
                by_arrival.pop_front();
                continue;
            };
            let is_past_retention = arrived.after(self.lifetime + MAX_SKEW) < now;
            if !is_past_retention || !self.is_expired(record.minted, now) || record.is_running() {
                return;
            }
            let size = RECORD_OVERHEAD + record.answer_length();
            self.used_bytes
                .set(self.used_bytes.get().saturating_sub(size));
            records.remove(&serial);
            by_arrival.pop_front();
        }
    }
}

/// Closes a ticket as unknown if its execution ends without an answer.
pub(crate) struct CloseGuard {
    tickets: Rc<Tickets>,
    ticket: Ticket,
    closed: bool,
}

impl CloseGuard {
    pub(crate) fn new(tickets: &Rc<Tickets>, ticket: &Ticket) -> Self {
        Self {
            tickets: Rc::clone(tickets),
            ticket: ticket.clone(),
            closed: false,
        }
    }

    /// Closes the ticket with its final answer.
    pub(crate) fn close(mut self, answer: &Answer) {
        self.tickets.close(&self.ticket, answer);
        self.closed = true;
    }
}

impl Drop for CloseGuard {
    fn drop(&mut self) {
        if !self.closed {
            let answer = Answer::unknown(Reason::Cancelled);
            self.tickets.close(&self.ticket, &answer);
        }
    }
}
