//! What became of the requests that must not run twice.
//!
//! Only the node beside an upstream can reach it, so its word about a request
//! is final: a request that it has refused here it never lets run later.

#[cfg(test)]
mod tests;

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::channel::oneshot;
use sailtrack_kernel::Service;
use sailtrack_wire::{Outcome, Reason};

use crate::key::AttemptKey;
use crate::request::Response;

/// How long the end of a request is remembered: no client waits longer than this.
const MEMORY: Duration = Duration::from_mins(1);
/// How long an answer is kept for a caller whose connection broke; it asks within two seconds.
const ANSWER_MEMORY: Duration = Duration::from_secs(5);
/// The most bytes of answers that are kept.
const ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// Where a request is in its life.
enum Record {
    /// It waits for admission and has not been sent.
    Waiting,
    /// It was sent to the upstream; these wait for what becomes of it.
    Running(Vec<oneshot::Sender<Response>>),
    /// It ran or may have run; the answer if it is still kept.
    Ended(Option<Box<Response>>),
    /// It never ran and never will.
    Refused,
}

/// What is known about a request.
pub(crate) enum Recalled {
    /// It is over.
    Ended(Response),
    /// It runs; the answer comes through the receiver.
    Running(oneshot::Receiver<Response>),
}

/// What became of the requests that must not run twice.
#[derive(Default)]
pub(crate) struct Records {
    by_attempt: RefCell<HashMap<AttemptKey, Record>>,
    by_age: RefCell<VecDeque<(Instant, AttemptKey)>>,
    answers: RefCell<VecDeque<(Instant, AttemptKey, usize)>>,
    answer_bytes: Cell<usize>,
}

impl Service for Records {
    const NAME: &'static str = "records";
}

impl Records {
    /// Opens the record of a request, or returns nothing if there is one already.
    pub(crate) fn begin(self: &Rc<Self>, attempt: &AttemptKey, now: Instant) -> Option<Place> {
        self.forget_old(now);
        let mut records = self.by_attempt.borrow_mut();
        if records.contains_key(attempt) {
            return None;
        }
        records.insert(attempt.clone(), Record::Waiting);
        self.by_age.borrow_mut().push_back((now, attempt.clone()));
        Some(Place {
            records: Rc::clone(self),
            attempt: attempt.clone(),
        })
    }

    /// Returns what became of a request; one that never ran is refused for good.
    pub(crate) fn recall(&self, attempt: &AttemptKey, now: Instant) -> Recalled {
        self.forget_old(now);
        let mut records = self.by_attempt.borrow_mut();
        let Some(record) = records.get_mut(attempt) else {
            records.insert(attempt.clone(), Record::Refused);
            self.by_age.borrow_mut().push_back((now, attempt.clone()));
            return Recalled::Ended(Response::refused(Reason::Connection));
        };
        match record {
            Record::Running(waiting) => {
                let (sender, receiver) = oneshot::channel();
                waiting.push(sender);
                Recalled::Running(receiver)
            }
            Record::Ended(Some(answer)) => {
                let unknown = || Response::unknown(Reason::Connection);
                Recalled::Ended(answer.try_clone().unwrap_or_else(unknown))
            }
            Record::Ended(None) => Recalled::Ended(Response::unknown(Reason::Connection)),
            Record::Waiting | Record::Refused => {
                *record = Record::Refused;
                Recalled::Ended(Response::refused(Reason::Connection))
            }
        }
    }

    /// Returns how many requests are remembered.
    pub(crate) fn len(&self) -> usize {
        self.by_attempt.borrow().len()
    }

    /// Forgets a request that has not run; returns its record.
    fn forget(&self, attempt: &AttemptKey) -> Option<Record> {
        self.by_attempt.borrow_mut().remove(attempt)
    }

    /// Notes the end of a request that ran or may have run; returns its record before that.
    fn close(&self, attempt: &AttemptKey, returned: &Response, now: Instant) -> Option<Record> {
        let copy = returned.try_clone();
        if copy.is_some() {
            self.keep(attempt, returned, now);
        }
        let ended = Record::Ended(copy.map(Box::new));
        self.by_attempt.borrow_mut().insert(attempt.clone(), ended)
    }

    fn keep(&self, attempt: &AttemptKey, answer: &Response, now: Instant) {
        let size = answer.head.len() + answer.body.whole().map_or(0, Bytes::len);
        self.answers
            .borrow_mut()
            .push_back((now, attempt.clone(), size));
        self.answer_bytes.set(self.answer_bytes.get() + size);
    }

    fn forget_old(&self, now: Instant) {
        self.forget_answers(now);
        let mut by_age = self.by_age.borrow_mut();
        let is_old =
            |entry: &(Instant, AttemptKey)| now.saturating_duration_since(entry.0) >= MEMORY;
        while by_age.front().is_some_and(is_old) {
            if let Some((_, attempt)) = by_age.pop_front() {
                self.by_attempt.borrow_mut().remove(&attempt);
            }
        }
    }

    fn forget_answers(&self, now: Instant) {
        let mut answers = self.answers.borrow_mut();
        while let Some((kept, attempt, size)) = answers.front() {
            let is_old = now.saturating_duration_since(*kept) >= ANSWER_MEMORY;
            if !is_old && self.answer_bytes.get() <= ANSWER_BYTES {
                return;
            }
            if let Some(record) = self.by_attempt.borrow_mut().get_mut(attempt) {
                *record = Record::Ended(None);
            }
            self.answer_bytes.set(self.answer_bytes.get() - size);
            answers.pop_front();
        }
    }
}

/// The record of one request that is being brought to its end.
///
/// Dropped before the request was sent, it is forgotten.
pub(crate) struct Place {
    records: Rc<Records>,
    attempt: AttemptKey,
}

impl Place {
    /// Notes that the request is sent now; returns false if it was refused meanwhile.
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

    /// Notes what became of the request and tells all who wait for it.
    ///
    /// One that the upstream turned away is forgotten: its caller may try again, here too. If the
    /// caller asks for it instead, it is refused for good.
    pub(crate) fn end(self, returned: &Response, now: Instant) {
        let ended = if returned.outcome == Outcome::NotRun {
            self.records.forget(&self.attempt)
        } else {
            self.records.close(&self.attempt, returned, now)
        };
        let Some(Record::Running(waiting)) = ended else {
            return;
        };
        for sender in waiting {
            let unknown = || Response::unknown(Reason::AnswerTooLarge);
            // Who asked may have left.
            let _ = sender.send(returned.try_clone().unwrap_or_else(unknown));
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut records = self.records.by_attempt.borrow_mut();
        match records.get_mut(&self.attempt) {
            Some(Record::Waiting) => {
                records.remove(&self.attempt);
            }
            Some(record @ Record::Running(_)) => *record = Record::Ended(None),
            Some(Record::Ended(_) | Record::Refused) | None => {}
        }
    }
}
