//! The life cycle of a process, as types that only move forward.

use std::cell::Cell;
use std::marker::PhantomData;
use std::rc::Rc;

use displaydoc::Display;

/// Where a process is in its life.
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

/// Marks a process that has no configuration yet and takes no work.
#[derive(Debug)]
pub struct Joining;

/// Marks a process that takes work.
#[derive(Debug)]
pub struct Serving;

/// Marks a process that takes no new work and finishes what it has.
#[derive(Debug)]
pub struct Draining;

/// Marks a process that has finished its work.
#[derive(Debug)]
pub struct Stopped;

/// A life in one state; each step consumes it and returns the next state.
#[derive(Debug)]
pub struct Lifecycle<State> {
    phase: Rc<Cell<Phase>>,
    state: PhantomData<State>,
}

impl<State> Lifecycle<State> {
    /// Returns a handle through which the phase can be read at any time.
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
    /// Begins to take work.
    #[must_use]
    pub fn serve(self) -> Lifecycle<Serving> {
        self.transition(Phase::Serving)
    }

    /// Ends a life that never served.
    #[must_use]
    pub fn abandon(self) -> Lifecycle<Stopped> {
        self.transition(Phase::Stopped)
    }
}

impl Lifecycle<Serving> {
    /// Stops taking new work.
    #[must_use]
    pub fn drain(self) -> Lifecycle<Draining> {
        self.transition(Phase::Draining)
    }
}

impl Lifecycle<Draining> {
    /// Ends the life once no work is left.
    #[must_use]
    pub fn stop(self) -> Lifecycle<Stopped> {
        self.transition(Phase::Stopped)
    }
}
