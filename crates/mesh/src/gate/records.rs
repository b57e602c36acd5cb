//! Execution records of non-idempotent requests.
//!
//! Only this node can reach its upstream, so its word about a request is final:
//! a request that was recalled before it ran is refused from then on.

mod digest;
#[cfg(test)]
mod tests;

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::channel::oneshot;
use sailtrack_kernel::Service;
use sailtrack_units::ByteSize;
use sailtrack_wire::{Outcome, Reason};

use crate::key::AttemptKey;
use crate::request::Response;
use crate::settings::DEFAULT_MEMORY;
use digest::Digest;

/// How long a record is kept: no client waits longer than this.
const RETENTION: Duration = Duration::from_mins(1);
/// How long a response is kept for a caller whose connection broke; callers ask for it within two
/// seconds.
const RESPONSE_RETENTION: Duration = Duration::from_secs(5);
/// What is counted for a record, and for a response beside its bytes.
const RECORD_BYTES: usize = 192;
const RESPONSE_BYTES: usize = 512;

/// The records may use the memory limit divided by this, and at least the minimum: of 20,000
/// requests in the retention time.
const RECORD_MEMORY_DIVISOR: usize = 16;
const MIN_RECORD_MEMORY: usize = 4 * 1024 * 1024;
/// The responses that are kept may use the memory limit divided by this, and at least the minimum.
const RESPONSE_MEMORY_DIVISOR: usize = 32;
const MIN_RESPONSE_MEMORY: usize = 2 * 1024 * 1024;

/// So many ids whose records were removed wait for their time before they are looked for; where the
/// room is used up, the number of records divided by this.
const MIN_FORGOTTEN: usize = 256;
const REMOVED_DIVISOR: usize = 16;

/// The execution state of a request.
enum Record {
    /// It waits for admission and has not been sent.
    Waiting,
    /// It was sent to the upstream; the senders notify those who wait for the result.
    Running(Vec<oneshot::Sender<Response>>),
    /// It ran or may have run, with the response if that is still kept.
    Ended(Option<Box<Response>>),
    /// It never ran and never will.
    Refused,
}

/// The result of a recall.
pub(crate) enum Recalled {
    /// The request has ended.
    Ended(Box<Response>),
    /// The request is running; the receiver yields its result.
    Running(oneshot::Receiver<Response>),
}

impl Recalled {
    fn ended(response: Response) -> Self {
        Self::Ended(Box::new(response))
    }
}

/// Execution records of non-idempotent requests.
pub(crate) struct Records {
    by_attempt: RefCell<HashMap<Digest, Record>>,
    by_age: RefCell<VecDeque<(Instant, Digest)>>,
    /// The maximum length of `by_age`.
    max_len: Cell<usize>,
    responses: RefCell<VecDeque<(Instant, Digest, usize)>>,
    response_bytes: Cell<usize>,
    max_response_bytes: Cell<usize>,
}

impl Default for Records {
    fn default() -> Self {
        Self::new(DEFAULT_MEMORY)
    }
}

impl Service for Records {
    const NAME: &'static str = "records";
}

impl Records {
    /// Returns empty records of a process with this memory limit.
    pub(crate) fn new(limit: ByteSize) -> Self {
        let records = Self {
            by_attempt: RefCell::default(),
            by_age: RefCell::default(),
            max_len: Cell::default(),
            responses: RefCell::default(),
            response_bytes: Cell::default(),
            max_response_bytes: Cell::default(),
        };
        records.resize(limit);
        records
    }

    /// Changes the memory limit; records stay for their time.
    pub(crate) fn resize(&self, limit: ByteSize) {
        let limit = limit.as_usize();
        let records = MIN_RECORD_MEMORY.max(limit / RECORD_MEMORY_DIVISOR);
        self.max_len.set(records / RECORD_BYTES);
        self.max_response_bytes
            .set(MIN_RESPONSE_MEMORY.max(limit / RESPONSE_MEMORY_DIVISOR));
    }

    /// Creates the record of a request, or returns `None` if there is one already.
    pub(crate) fn begin(self: &Rc<Self>, attempt: &AttemptKey, now: Instant) -> Option<Entry> {
        self.evict_expired(now);
        let attempt = Digest::from(attempt);
        let mut records = self.by_attempt.borrow_mut();
        if records.contains_key(&attempt) {
            return None;
        }
        records.insert(attempt, Record::Waiting);
        self.by_age.borrow_mut().push_back((now, attempt));
        Some(Entry {
            records: Rc::clone(self),
            attempt,
        })
    }

    /// Returns the result of a request. One that has not run is refused for good.
    pub(crate) fn recall(&self, attempt: &AttemptKey, now: Instant) -> Recalled {
        self.evict_expired(now);
        let attempt = Digest::from(attempt);
        let mut records = self.by_attempt.borrow_mut();
        let Some(record) = records.get_mut(&attempt) else {
            records.insert(attempt, Record::Refused);
            self.by_age.borrow_mut().push_back((now, attempt));
            return Recalled::ended(Response::refused(Reason::Connection));
        };
        match record {
            Record::Running(waiting) => {
                let (sender, receiver) = oneshot::channel();
                waiting.push(sender);
                Recalled::Running(receiver)
            }
            Record::Ended(Some(response)) => {
                let unknown = || Response::unknown(Reason::Connection);
                Recalled::ended(response.try_clone().unwrap_or_else(unknown))
            }
            Record::Ended(None) => Recalled::ended(Response::unknown(Reason::Connection)),
            Record::Waiting | Record::Refused => {
                *record = Record::Refused;
                Recalled::ended(Response::refused(Reason::Connection))
            }
        }
    }

    /// Returns the number of records.
    pub(crate) fn len(&self) -> usize {
        self.by_attempt.borrow().len()
    }

    /// Returns true if the request has a record or there is room for one. None is dropped before its
    /// time: without it, a request that ran would be taken for one that never did.
    pub(crate) fn has_room_for(&self, attempt: &AttemptKey, now: Instant) -> bool {
        self.evict_expired(now);
        if self.is_full() {
            self.forget_removed(self.max_len.get() / REMOVED_DIVISOR);
        }
        let attempt = Digest::from(attempt);
        !self.is_full() || self.by_attempt.borrow().contains_key(&attempt)
    }

    fn is_full(&self) -> bool {
        self.by_age.borrow().len() >= self.max_len.get()
    }

    /// Drops the ages of records that were removed, if there are more of them than this.
    fn forget_removed(&self, count: usize) {
        let by_attempt = self.by_attempt.borrow();
        let mut by_age = self.by_age.borrow_mut();
        if by_age.len() > count + by_attempt.len() {
            by_age.retain(|(_, attempt)| by_attempt.contains_key(attempt));
        }
    }

    /// Removes the record of a request that has not run.
    fn remove(&self, attempt: Digest) -> Option<Record> {
        let removed = self.by_attempt.borrow_mut().remove(&attempt);
        self.forget_removed(MIN_FORGOTTEN + self.len());
        removed
    }

    /// Records the end of a request that ran or may have run; returns the previous record.
    fn record_end(&self, attempt: Digest, response: &Response, now: Instant) -> Option<Record> {
        let copy = response.try_clone();
        if copy.is_some() {
            self.retain_response(attempt, response, now);
        }
        let ended = Record::Ended(copy.map(Box::new));
        self.by_attempt.borrow_mut().insert(attempt, ended)
    }

    fn retain_response(&self, attempt: Digest, response: &Response, now: Instant) {
        let body = response.body.whole().map_or(0, Bytes::len);
        let size = RESPONSE_BYTES + response.head.len() + body;
        self.responses.borrow_mut().push_back((now, attempt, size));
        self.response_bytes.set(self.response_bytes.get() + size);
    }

    fn evict_expired(&self, now: Instant) {
        self.evict_responses(now);
        let mut by_age = self.by_age.borrow_mut();
        let is_expired =
            |entry: &(Instant, Digest)| now.saturating_duration_since(entry.0) >= RETENTION;
        while by_age.front().is_some_and(is_expired) {
            if let Some((_, attempt)) = by_age.pop_front() {
                self.by_attempt.borrow_mut().remove(&attempt);
            }
        }
    }

    fn evict_responses(&self, now: Instant) {
        let mut responses = self.responses.borrow_mut();
        while let Some((added, attempt, size)) = responses.front() {
            let is_expired = now.saturating_duration_since(*added) >= RESPONSE_RETENTION;
            if !is_expired && self.response_bytes.get() <= self.max_response_bytes.get() {
                return;
            }
            if let Some(record) = self.by_attempt.borrow_mut().get_mut(attempt) {
                *record = Record::Ended(None);
            }
            self.response_bytes.set(self.response_bytes.get() - size);
            responses.pop_front();
        }
    }
}

/// Handle of the record of a request that is being executed.
///
/// Dropping it before the request was sent removes the record.
pub(crate) struct Entry {
    records: Rc<Records>,
    attempt: Digest,
}

impl Entry {
    /// Marks the request as sent; returns false if it has been refused meanwhile.
    pub(crate) fn start(&self) -> bool {
        let mut records = self.records.by_attempt.borrow_mut();
        match records.get_mut(&self.attempt) {
            Some(record @ Record::Waiting) => {
                *record = Record::Running(Vec::new());
                true
            }
            _ => false,
        }
    }

    /// Records the result and notifies everyone who waits for it.
    ///
    /// If the upstream rejected the request, the record is removed so that the caller may retry,
    /// also on this node. If the caller recalls the request instead, it is refused for good.
    pub(crate) fn finish(self, response: &Response, now: Instant) {
        let ended = if response.outcome == Outcome::NotRun {
            self.records.remove(self.attempt)
        } else {
            self.records.record_end(self.attempt, response, now)
        };
        let Some(Record::Running(waiting)) = ended else {
            return;
        };
        for sender in waiting {
            let unknown = || Response::unknown(Reason::AnswerTooLarge);
            // The receiver may have been dropped.
            let _ = sender.send(response.try_clone().unwrap_or_else(unknown));
        }
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        let is_waiting = {
            let mut records = self.records.by_attempt.borrow_mut();
            let record = records.get_mut(&self.attempt);
            match record {
                Some(record @ Record::Running(_)) => {
                    *record = Record::Ended(None);
                    false
                }
                Some(Record::Waiting) => true,
                Some(Record::Ended(_) | Record::Refused) | None => false,
            }
        };
        if is_waiting {
            self.records.remove(self.attempt);
        }
    }
}
