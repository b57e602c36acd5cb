//! The admission decision on a call, and what an admitted or a queued call holds.

use std::rc::Rc;
use std::time::Duration;

use futures::channel::oneshot;
use sailtrack_wire::Reason;

use crate::Admission;
use crate::queue::{Key, Outcome};

/// Permission for one call to run in the upstream, released when dropped.
pub struct Permit {
    admission: Rc<Admission>,
}

impl Permit {
    /// Returns the permit of a call that already counts as in flight.
    pub(crate) fn new(admission: &Rc<Admission>) -> Self {
        Self {
            admission: Rc::clone(admission),
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.admission.release();
    }
}

/// The admission decision on a call.
pub enum Decision {
    /// The call may run.
    Admitted(Permit),
    /// The call waits in the queue.
    Waiting(Waiting),
    /// The call is refused.
    Refused(Reason),
}

/// A queued call, removed from the queue when dropped.
pub struct Waiting {
    pub(crate) admission: Rc<Admission>,
    pub(crate) key: Key,
    pub(crate) outcome: oneshot::Receiver<Outcome>,
    pub(crate) max_wait: Duration,
}

impl Waiting {
    /// Returns the maximum time that the call may wait.
    #[must_use]
    pub fn max_wait(&self) -> Duration {
        self.max_wait
    }

    /// Returns true once the call has been admitted or displaced.
    #[must_use]
    pub fn is_decided(&self) -> bool {
        self.admission.state.borrow().queue.is_resolved(self.key)
    }

    /// Stops waiting and returns the permit if the call has been admitted by now.
    ///
    /// # Errors
    ///
    /// [`Reason::Overload`] if the call has not been admitted.
    pub fn end(mut self) -> Result<Permit, Reason> {
        let outcome = self.outcome.try_recv().ok().flatten();
        self.resolve(outcome)
    }

    pub(crate) fn resolve(&self, outcome: Option<Outcome>) -> Result<Permit, Reason> {
        let is_admitted = outcome == Some(Outcome::Admitted);
        self.admission.record_decision(is_admitted);
        if is_admitted {
            Ok(Permit::new(&self.admission))
        } else {
            Err(Reason::Overload)
        }
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.admission.state.borrow_mut().queue.remove(self.key);
        if let Ok(Some(Outcome::Admitted)) = self.outcome.try_recv() {
            self.admission.release();
        }
    }
}
