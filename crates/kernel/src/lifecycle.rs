//! The lifecycle of a process as a typestate: each transition consumes the previous state.

use std::cell::Cell;
use std::marker::PhantomData;
use std::rc::Rc;

use displaydoc::Display;

/// The current state of a process's lifecycle.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum Phase {
    /// joining
    Joining,
    /// serving
    Serving,
    /// draining
    Draining,
    /// stopped
    Stopped,
}

/// The state of a process that has no configuration yet and accepts no requests.
#[derive(Debug)]
pub struct Joining;

/// The state of a process that accepts requests.
#[derive(Debug)]
pub struct Serving;

/// The state of a process that is shutting down and finishes the requests in flight.
#[derive(Debug)]
pub struct Draining;

/// The state of a process that has shut down.
#[derive(Debug)]
pub struct Stopped;

/// The lifecycle of a process in one state; a transition consumes it and returns the next state.
#[derive(Debug)]
pub struct Lifecycle<State> {
    phase: Rc<Cell<Phase>>,
    state: PhantomData<State>,
}

impl<State> Lifecycle<State> {
    /// Returns a shared cell that always holds the current phase.
    #[must_use]
    pub fn phase(&self) -> Rc<Cell<Phase>> {
        Rc::clone(&self.phase)
    }

    fn transition<Next>(self, phase: Phase) -> Lifecycle<Next> {
        self.phase.set(phase);
        Lifecycle {
            phase: self.phase,
            state: PhantomData,
        }
    }
}

impl Default for Lifecycle<Joining> {
    fn default() -> Self {
        Self {
            phase: Rc::new(Cell::new(Phase::Joining)),
            state: PhantomData,
        }
    }
}

impl Lifecycle<Joining> {
    /// Starts to accept requests.
    #[must_use]
    pub fn serve(self) -> Lifecycle<Serving> {
        self.transition(Phase::Serving)
    }

    /// Stops a process that has never accepted requests.
    #[must_use]
    pub fn abandon(self) -> Lifecycle<Stopped> {
        self.transition(Phase::Stopped)
    }
}

impl Lifecycle<Serving> {
    /// Starts the graceful shutdown.
    #[must_use]
    pub fn drain(self) -> Lifecycle<Draining> {
        self.transition(Phase::Draining)
    }
}

impl Lifecycle<Draining> {
    /// Completes the shutdown.
    #[must_use]
    pub fn stop(self) -> Lifecycle<Stopped> {
        self.transition(Phase::Stopped)
    }
}
