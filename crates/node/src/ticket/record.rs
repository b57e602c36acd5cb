//! What a node remembers about one ticket.

use futures::channel::oneshot;
use sailtrack_units::Timestamp;

use crate::call::Answer;
use crate::ticket::Disposition;

/// The memory of a record beside its answer, measured as described in `docs/CAPACITY.md`.
pub(crate) const RECORD_OVERHEAD: usize = 200;

/// Returns the memory of a record with this answer.
pub(crate) fn footprint(answer: &Answer) -> usize {
    RECORD_OVERHEAD + answer.body.len()
}

/// How far the request of a ticket has come.
pub(crate) enum State {
    /// It is running, and these wait for its answer.
    Running(Vec<oneshot::Sender<Answer>>),
    /// Its final answer.
    Closed(Answer),
}

/// What a node remembers about one ticket.
pub(crate) struct Record {
    pub(crate) minted: Timestamp,
    pub(crate) state: State,
}

impl Record {
    /// Returns the record of a request that starts to run.
    pub(crate) fn running(minted: Timestamp) -> Self {
        Self {
            minted,
            state: State::Running(Vec::new()),
        }
    }

    /// Says what a further copy of the request is to do.
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

    /// Returns the bytes kept of the final answer.
    pub(crate) fn answer_length(&self) -> usize {
        self.final_answer().map_or(0, |answer| answer.body.len())
    }
}
