//! Requests that the local upstream is executing, and the calls made for them.
//!
//! The calls that an upstream makes carry nothing that reliably names the
//! request they are made for. If the id of a call starts with the id of a
//! request that runs here at the moment, the call is attributed to that
//! request. Its importance and the propagation of pressure depend on that. On a
//! route that requires a key, so does access: the call then counts as another
//! request of the same workspace, so a caller that forges such an id gains
//! nothing beyond what its key would permit.

#[cfg(test)]
pub(crate) mod tests;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use sailtrack_admission::Pressure;
use sailtrack_kernel::Service;
use sailtrack_quarantine::{Execution, Identity};
use sailtrack_units::{Class, KindName, Rank, WorkspaceName};

use crate::key::{AttemptKey, UpstreamKey};
use crate::request::{Request, Response};

/// Separates the id of the request from the suffix that the call adds.
const SEPARATOR: char = '.';

/// A request that the local upstream is executing.
#[derive(Debug)]
pub(crate) struct Context {
    pub(crate) identity: Identity,
    /// The number of consecutive crashes during this request that were known when it was admitted.
    known_crashes: u8,
    pub(crate) kind: KindName,
    /// The incarnation of the upstream that executes it.
    upstream: UpstreamKey,
    pub(crate) rank: Rank,
    pub(crate) class: Class,
    /// The workspace on whose behalf it is made.
    pub(crate) workspace: Option<WorkspaceName>,
    /// Whether it was sent to another upstream before.
    pub(crate) is_retry: bool,
    /// The highest pressure that a call made for it has met.
    pub(crate) pressure: Cell<Pressure>,
    /// Whether a call was made for it.
    pub(crate) has_made_calls: Cell<bool>,
    /// The number of successful calls made for it.
    pub(crate) successful_calls: Cell<u32>,
    /// Whether a call made for it failed.
    pub(crate) failed_below: Cell<bool>,
    /// Whether a call made for it, or one further down the call chain, found no upstream of its
    /// service.
    pub(crate) absent_below: Cell<bool>,
}

/// The requests that the local upstream is executing, by id.
#[derive(Debug, Default)]
pub(crate) struct Contexts {
    running: RefCell<HashMap<AttemptKey, Rc<Context>>>,
}

impl Service for Contexts {
    const NAME: &'static str = "contexts";
}

impl Contexts {
    /// Adds a request until the returned guard is dropped.
    pub(crate) fn open(self: &Rc<Self>, request: &Request, upstream: &UpstreamKey) -> Guard {
        let context = Rc::new(Context {
            identity: request.identity,
            known_crashes: request.known_crashes,
            kind: request.kind.clone(),
            upstream: upstream.clone(),
            rank: request.rank,
            class: request.class,
            workspace: request.workspace.clone(),
            is_retry: request.is_retry,
            pressure: Cell::default(),
            has_made_calls: Cell::new(false),
            successful_calls: Cell::new(0),
            failed_below: Cell::new(false),
            absent_below: Cell::new(false),
        });
        let key = request.attempt.clone();
        let mut running = self.running.borrow_mut();
        running.insert(key.clone(), Rc::clone(&context));
        drop(running);
        Guard {
            contexts: Rc::clone(self),
            key,
            context,
        }
    }

    /// Returns the request that a call with this id is made for, if it is running here.
    pub(crate) fn parent(&self, call: &AttemptKey) -> Option<Rc<Context>> {
        let running = self.running.borrow();
        let mut id = call.as_str();
        while let Some((parent, _)) = id.rsplit_once(SEPARATOR) {
            if let Some(context) = running.get(parent) {
                context.has_made_calls.set(true);
                return Some(Rc::clone(context));
            }
            id = parent;
        }
        None
    }

    /// Returns the requests that run in this incarnation of the local upstream.
    pub(crate) fn running_in(&self, upstream: &UpstreamKey) -> Vec<Rc<Context>> {
        let running = self.running.borrow();
        let of_incarnation = running
            .values()
            .filter(|context| context.upstream == *upstream);
        of_incarnation.cloned().collect()
    }

    /// Returns the number of requests that run in the local upstream.
    pub(crate) fn len(&self) -> usize {
        self.running.borrow().len()
    }
}

impl Context {
    /// Returns the evidence about this request if the upstream crashes now.
    pub(crate) fn execution(&self) -> Execution {
        Execution {
            identity: self.identity,
            known_crashes: self.known_crashes,
            succeeded_recently: false,
        }
    }

    /// Returns the class of a call made for the request; the importance of the call's route is
    /// ignored.
    ///
    /// Otherwise, if the route of a read had a higher importance, the reads of unimportant requests
    /// would displace requests of the route's own importance.
    pub(crate) fn call_class(&self) -> Class {
        self.class
    }

    /// Returns the rank of a call made for the request; that of the call's route is ignored.
    pub(crate) fn call_rank(&self) -> Rank {
        self.rank
    }

    /// Records the result of a call made for the request.
    pub(crate) fn record_result(&self, response: &Response) {
        let pressure = response.observed_pressure();
        self.pressure.set(self.pressure.get().max(pressure));
        if response.is_success() {
            self.successful_calls.set(self.successful_calls.get() + 1);
        } else {
            self.failed_below.set(true);
        }
        if response.found_no_upstream() {
            self.absent_below.set(true);
        }
    }
}

/// Guard that removes the request when dropped.
pub(crate) struct Guard {
    contexts: Rc<Contexts>,
    key: AttemptKey,
    pub(crate) context: Rc<Context>,
}

impl Drop for Guard {
    fn drop(&mut self) {
        let mut running = self.contexts.running.borrow_mut();
        let is_same = |known: &Rc<Context>| Rc::ptr_eq(known, &self.context);
        if running.get(&self.key).is_some_and(is_same) {
            running.remove(&self.key);
        }
    }
}
