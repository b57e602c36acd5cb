//! The open connections of a port, and what their peers make the process hold.
//!
//! Each connection is the owner of what is held for it. Together they have two bounds: a number of
//! connections, and a number of bytes. At a bound those that hold on to the most are closed, so that
//! peers that neither read nor send do not lock out others.

mod held;
mod registration;
mod state;
#[cfg(test)]
mod tests;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;
use std::task::Waker;
use std::time::{Duration, Instant};

use futures::future::AbortHandle;
use sailtrack_log::{catalogue, emit};

pub use held::Held;
pub use registration::Registration;
use state::State;

/// How often closed connections are logged.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// What the connections of a port may use together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// The maximum number of open connections.
    pub connections: usize,
    /// The maximum number of bytes that are held for them.
    pub bytes: usize,
}

/// The open connections of a port.
pub struct Registry {
    /// The name of the port in log events.
    port: &'static str,
    limits: Cell<Limits>,
    open: RefCell<BTreeMap<u64, Rc<State>>>,
    next_number: Cell<u64>,
    input: Cell<usize>,
    answers: Cell<usize>,
    /// Bytes of closed connections whose tasks have not been dropped yet.
    closing: Cell<usize>,
    /// The tasks that wait until these bytes are released.
    waiting: RefCell<Vec<Waker>>,
    /// How many connections were closed for lack of room, new ones included.
    closed: Cell<u64>,
    /// When that was logged last, and how many had been closed by then.
    logged: Cell<Option<(Instant, u64)>>,
}

impl Registry {
    /// Returns a registry without connections.
    #[must_use]
    pub fn new(port: &'static str, limits: Limits) -> Rc<Self> {
        Rc::new(Self {
            port,
            limits: Cell::new(limits),
            open: RefCell::default(),
            next_number: Cell::default(),
            input: Cell::default(),
            answers: Cell::default(),
            closing: Cell::default(),
            waiting: RefCell::default(),
            closed: Cell::default(),
            logged: Cell::default(),
        })
    }

    /// Returns the name of the port.
    #[must_use]
    pub fn port(&self) -> &'static str {
        self.port
    }

    /// Changes the maximum number of bytes.
    pub fn set_max_bytes(&self, bytes: usize) {
        let limits = self.limits.get();
        self.limits.set(Limits { bytes, ..limits });
        self.make_room();
    }

    /// Returns the maximum number of bytes.
    #[must_use]
    pub fn max_bytes(&self) -> usize {
        self.limits.get().bytes
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn len(&self) -> usize {
        self.open.borrow().len()
    }

    /// Returns true if no connection is open.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns how many bytes of input are held.
    #[must_use]
    pub fn input(&self) -> usize {
        self.input.get()
    }

    /// Returns how many bytes of answers are held.
    #[must_use]
    pub fn answers(&self) -> usize {
        self.answers.get()
    }

    /// Returns how many connections were closed for lack of room, new ones included.
    #[must_use]
    pub fn closed(&self) -> u64 {
        self.closed.get()
    }

    /// Adds a connection that is closed with `abort`, or returns `None` if all others are served.
    ///
    /// If there are too many, the one is closed whose peer has been silent for longest, first among
    /// those that have never been served.
    pub fn add(self: &Rc<Self>, abort: AbortHandle) -> Option<Registration> {
        if self.len() >= self.limits.get().connections && !self.close_quietest() {
            self.log_closed(&"too many connections");
            return None;
        }
        let now = Instant::now();
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let state = Rc::new(State {
            number,
            abort,
            input: Cell::default(),
            answers: Cell::default(),
            held_since: Cell::new(now),
            quiet_since: Cell::new(Some(now)),
            was_served: Cell::default(),
            is_open: Cell::new(true),
        });
        self.open.borrow_mut().insert(number, Rc::clone(&state));
        let registry = Rc::clone(self);
        Some(Registration::new(registry, state))
    }

    /// While the bytes are used up, closes connections whose peers have taken nothing of what is held
    /// for them for this long; returns true if there is room.
    #[must_use]
    pub fn close_stalled(&self, time: Duration) -> bool {
        let now = Instant::now();
        while self.is_full() {
            let is_stalled =
                |state: &State| now.saturating_duration_since(state.held_since.get()) >= time;
            if !self.close_heaviest(now, is_stalled) {
                return false;
            }
        }
        true
    }

    fn is_full(&self) -> bool {
        self.input.get() + self.answers.get() >= self.limits.get().bytes
    }

    /// Returns true if closed connections have not released enough yet.
    fn is_over_limit(&self) -> bool {
        let closing = self.closing.get();
        closing > 0 && self.input.get() + self.answers.get() + closing > self.limits.get().bytes
    }

    /// Closes connections until what the others hold is within the limit.
    fn make_room(&self) {
        let now = Instant::now();
        while self.input.get() + self.answers.get() > self.limits.get().bytes {
            if !self.close_heaviest(now, |_| true) {
                return;
            }
        }
    }

    fn close_heaviest(&self, now: Instant, may_close: impl Fn(&State) -> bool) -> bool {
        let heaviest = {
            let open = self.open.borrow();
            let holding = open.values().filter(|state| state.bytes() > 0);
            let candidates = holding.filter(|state| may_close(state));
            let heaviest =
                candidates.max_by(|one, other| one.weight(now).total_cmp(&other.weight(now)));
            heaviest.cloned()
        };
        heaviest.is_some_and(|state| self.close(&state, &"takes up too much memory"))
    }

    fn close_quietest(&self) -> bool {
        let quietest = {
            let open = self.open.borrow();
            let quiet = open.values().filter_map(|state| {
                Some((state.was_served.get(), state.quiet_since.get()?, state))
            });
            let quietest = quiet.min_by_key(|(was_served, since, _)| (*was_served, *since));
            quietest.map(|(.., state)| Rc::clone(state))
        };
        quietest.is_some_and(|state| self.close(&state, &"too many connections"))
    }

    /// Closes a connection: what it holds counts no more, and is dropped when its task is polled.
    fn close(&self, state: &State, reason: &dyn fmt::Display) -> bool {
        self.remove(state);
        self.closing.set(self.closing.get() + state.bytes());
        state.abort.abort();
        self.log_closed(reason);
        true
    }

    /// Removes a connection whose task has ended.
    fn end(&self, state: &State) {
        if state.is_open.get() {
            self.remove(state);
            return;
        }
        self.closing.set(self.closing.get() - state.bytes());
        for waker in self.waiting.take() {
            waker.wake();
        }
    }

    /// Removes an open connection; what it holds counts no more.
    fn remove(&self, state: &State) {
        state.is_open.set(false);
        self.open.borrow_mut().remove(&state.number);
        self.input.set(self.input.get() - state.input.get());
        self.answers.set(self.answers.get() - state.answers.get());
    }

    /// Counts a connection that was closed; logs at most once an interval.
    fn log_closed(&self, reason: &dyn fmt::Display) {
        let now = Instant::now();
        let closed = self.closed.get() + 1;
        self.closed.set(closed);
        let logged = self.logged.get();
        let is_due = logged.is_none_or(|(at, _)| now.saturating_duration_since(at) >= LOG_INTERVAL);
        if is_due {
            self.logged.set(Some((now, closed)));
            let count = closed - logged.map_or(0, |(_, before)| before);
            emit(
                &catalogue::CONNECTIONS_CLOSED,
                &[("port", &self.port), ("reason", reason), ("count", &count)],
            );
        }
    }
}
