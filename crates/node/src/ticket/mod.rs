//! At-most-once execution by tickets.
//!
//! A ticket names the only incarnation of a node, its home node, that may execute its request. That
//! node records the outcome, so no other copy is executed and a retry gets the first answer. Each
//! ticket has exactly one final outcome; a refusal is recorded as well, so that a delayed copy
//! cannot run after it.

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

/// Limit on how far in the future a ticket may be minted, to allow for clock skew.
const MAX_SKEW: Duration = Duration::from_mins(1);
/// Limit on the number of tickets recorded at once.
const MAX_RECORDS: usize = 200_000;
/// Limit on the body size of an answer that is handed over, in bytes.
const MAX_HANDED_OVER_BODY: usize = 64 * 1024;

/// What to do with a call that carries a ticket.
pub(crate) enum Disposition {
    /// This is the first copy: execute it.
    Run,
    /// A copy is running; its answer is sent to this receiver.
    Wait(oneshot::Receiver<Answer>),
    /// The final answer is recorded.
    Closed(Answer),
    /// The ticket has expired; its outcome is no longer recorded.
    Expired,
    /// There is no memory left to record the ticket.
    Full,
    /// The home of the ticket is another node or another incarnation.
    Foreign,
}

/// The tickets whose home is this incarnation of the node.
pub(crate) struct Tickets {
    home: NodeName,
    incarnation: Incarnation,
    lifetime: Duration,
    memory: ByteSize,
    clock: Clock,
    records: RefCell<HashMap<u64, Record>>,
    by_arrival: RefCell<VecDeque<(Timestamp, u64)>>,
    used_bytes: Cell<usize>,
    /// Answers handed over by other nodes at their shutdown.
    archive: RefCell<Archive>,
}

impl Service for Tickets {
    const NAME: &'static str = "tickets";
}

impl Tickets {
    /// Returns a builder for the tickets of this incarnation.
    pub(crate) fn builder(home: NodeName, incarnation: Incarnation) -> Builder {
        Builder::new(home, incarnation)
    }

    /// Mints a ticket whose request only `home` may execute.
    pub(crate) fn mint(&self, home: NodeName, incarnation: Incarnation) -> Ticket {
        Ticket {
            home,
            incarnation,
            serial: rand::rng().random(),
            minted: self.clock.now(),
        }
    }

    /// Mints a ticket whose request only this node may execute.
    pub(crate) fn mint_here(&self) -> Ticket {
        self.mint(self.home.clone(), self.incarnation)
    }

    /// Returns true if this incarnation of this node is the ticket's home.
    pub(crate) fn is_home(&self, ticket: &Ticket) -> bool {
        ticket.home == self.home && ticket.incarnation == self.incarnation
    }

    /// Decides what to do with a call that carries `ticket`, and records the ticket if it is new.
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

    /// Looks up the ticket of another node among the handed-over answers.
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

    /// Stores a part of a handover; returns false if there is not enough memory.
    pub(crate) fn receive(&self, part: Part, now: Instant) -> bool {
        self.evict_handovers(now);
        let mut archive = self.archive.borrow_mut();
        let used = self.used_bytes.get() + archive.used_bytes();
        let available = self.memory.as_usize().saturating_sub(used);
        archive.merge(part, now, available)
    }

    /// Drops handed-over answers whose tickets have all expired.
    pub(crate) fn evict_handovers(&self, now: Instant) {
        let mut archive = self.archive.borrow_mut();
        archive.evict_old(now, self.lifetime + MAX_SKEW);
    }

    /// Returns the handover of this incarnation's tickets, in parts of about `size` bytes.
    ///
    /// A request that is still running is handed over with an unknown outcome, so that no successor
    /// reports it as not run.
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

    /// Records the final answer of a request and sends it to everyone waiting for it.
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
                // The waiter may have disconnected.
                let _ = waiter.send(answer.clone());
            }
        }
    }

    /// Returns the number of recorded tickets, and the memory used by them and by handed-over
    /// answers.
    pub(crate) fn size(&self) -> (usize, ByteSize) {
        let bytes = self.used_bytes.get() + self.archive.borrow().used_bytes();
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        (self.records.borrow().len(), ByteSize(bytes))
    }

    fn is_expired(&self, minted: Timestamp, now: Timestamp) -> bool {
        minted.after(self.lifetime) < now
    }

    /// Drops the records of finished requests whose tickets have expired.
    ///
    /// The clock never goes back, so a ticket stays expired after its record is gone. Records
    /// are dropped in order of arrival, and no earlier than one ticket lifetime plus the maximum
    /// skew after it.
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

/// Guard that closes a ticket with an unknown outcome if its execution ends without an answer.
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
