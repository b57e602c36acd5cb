//! One connection in a registry.

use std::fmt;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::Poll;
use std::time::Instant;

use crate::connections::state::State;
use crate::connections::{Held, Registry};

/// One connection in a registry. Clones may outlive it: they count nothing once it has ended.
#[derive(Clone)]
pub struct Registration(Rc<Inner>);

/// Is held by the task that serves a connection, which ends when this is dropped.
pub(crate) struct Served(Registration);

struct Inner {
    registry: Rc<Registry>,
    state: Rc<State>,
}

impl Registration {
    pub(super) fn new(registry: Rc<Registry>, state: Rc<State>) -> Self {
        Self(Rc::new(Inner { registry, state }))
    }

    /// Returns what the task that serves the connection holds.
    pub(crate) fn served(&self) -> Served {
        Served(self.clone())
    }

    /// Records how many received bytes wait to be handled.
    pub fn set_input(&self, bytes: usize) {
        let Inner { registry, state } = &*self.0;
        if self.is_closed() {
            return;
        }
        let before = state.input.get();
        self.start_holding(bytes.saturating_sub(before));
        registry.input.set(registry.input.get() - before + bytes);
        state.input.set(bytes);
        if bytes > before {
            registry.make_room();
        }
    }

    /// Counts bytes of an answer, or of what is needed to get it, until the result is dropped.
    #[must_use]
    pub fn hold(&self, bytes: usize) -> Held {
        Held::new(self.clone(), bytes)
    }

    /// Waits until closed connections have released so much that there is room.
    ///
    /// Their tasks are dropped in turn with those that read: without a pause, all that is ready to be
    /// read would be in memory before the first of them.
    pub async fn wait_for_room(&self) {
        let registry = &self.0.registry;
        poll_fn(|context| {
            if !registry.is_over_limit() {
                return Poll::Ready(());
            }
            registry.waiting.borrow_mut().push(context.waker().clone());
            Poll::Pending
        })
        .await;
    }

    /// Returns how many bytes of answers are held.
    #[must_use]
    pub fn answers(&self) -> usize {
        self.0.state.answers.get()
    }

    /// Returns the name of the port.
    #[must_use]
    pub fn port(&self) -> &'static str {
        self.0.registry.port
    }

    /// Returns true if the connection has ended or was closed to make room, in which case its task
    /// ends when it is polled.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        !self.0.state.is_open.get()
    }

    /// Records that the process waits for the peer from now on.
    pub fn wait_for_peer(&self) {
        self.0.state.quiet_since.set(Some(Instant::now()));
    }

    /// Records that the peer waits for the process.
    pub fn work(&self) {
        self.0.state.quiet_since.set(None);
    }

    /// Records that the peer has taken a part of what is held for it.
    pub fn record_progress(&self) {
        self.0.state.held_since.set(Instant::now());
    }

    /// Records that a request of the connection was answered.
    pub fn record_served(&self) {
        self.0.state.was_served.set(true);
    }

    /// Counts bytes of an answer, and makes room if they are too many.
    pub(super) fn add_answer(&self, bytes: usize) {
        if self.is_closed() {
            return;
        }
        self.start_holding(bytes);
        let Inner { registry, state } = &*self.0;
        state.answers.set(state.answers.get() + bytes);
        registry.answers.set(registry.answers.get() + bytes);
        registry.make_room();
    }

    /// Counts them no more. What a closed connection holds was subtracted when it was closed.
    pub(super) fn remove_answer(&self, bytes: usize) {
        if self.is_closed() {
            return;
        }
        let Inner { registry, state } = &*self.0;
        state.answers.set(state.answers.get() - bytes);
        registry.answers.set(registry.answers.get() - bytes);
    }

    fn start_holding(&self, bytes: usize) {
        if bytes > 0 && self.0.state.bytes() == 0 {
            self.record_progress();
        }
    }
}

impl Drop for Served {
    fn drop(&mut self) {
        let Inner { registry, state } = &*self.0.0;
        registry.end(state);
    }
}

impl fmt::Debug for Registration {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "connection {}", self.0.state.number)
    }
}
