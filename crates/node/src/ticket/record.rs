//! The record of one ticket on its home node.

use futures::channel::oneshot;
use sailtrack_units::Timestamp;

use crate::call::Answer;
use crate::ticket::Disposition;

/// Memory of a record without its answer body, measured as described in `docs/CAPACITY.md`.
pub(crate) const RECORD_OVERHEAD: usize = 200;

/// Returns the memory of a record with this answer.
pub(crate) fn footprint(answer: &Answer) -> usize {
    RECORD_OVERHEAD + answer.body.len()
}

/// Progress of the request of a ticket.
pub(crate) enum State {
    /// It is running; these senders wait for its answer.
    Running(Vec<oneshot::Sender<Answer>>),
    /// It has ended with this answer.
    Closed(Answer),
}

/// The record of one ticket.
pub(crate) struct Record {
    pub(crate) minted: Timestamp,
    pub(crate) state: State,
}

impl Record {
    /// Returns the record of a request that starts running.
    pub(crate) fn running(minted: Timestamp) -> Self {
        Self {
            minted,
            state: State::Running(Vec::new()),
        }
    }

    /// Decides what to do with a further copy of the request.
    pub(crate) fn join(&mut self) -> Disposition {
        match &mut self.state {
            State::Closed(answer) => Disposition::Closed(answer.clone()),
            State::Running(waiters) => {
                let (sender, receiver) = oneshot::channel();
                waiters.push(sender);
                Disposition::Wait(receiver)
            }
        }
    }

    /// Returns true while the request runs.
    pub(crate) fn is_running(&self) -> bool {
        matches!(self.state, State::Running(_))
    }

    /// Returns the final answer, if the request has ended.
    pub(crate) fn final_answer(&self) -> Option<&Answer> {
        match &self.state {
            State::Running(_) => None,
            State::Closed(answer) => Some(answer),
        }
    }

    /// Returns the length of the recorded answer body, in bytes.
    pub(crate) fn answer_length(&self) -> usize {
        self.final_answer().map_or(0, |answer| answer.body.len())
    }
}
