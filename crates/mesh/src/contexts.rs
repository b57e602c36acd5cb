//! The requests that run in the own upstream.
//!
//! The calls that an upstream makes carry nothing that surely names the
//! request that they are made for. Where the id of a call begins with the id
//! of a request that runs here at this moment, it is taken for a call of that
//! request. Importance and pressure depend on it, and on a route that wants a
//! key, whether it is let in: there it counts as one more request of the
//! workspace, so that a caller who makes up such an id for a request of its
//! own gains nothing that its key would not give.

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

/// Separates the id of a call from that of the request that it is made for.
const SEPARATOR: char = '.';

/// One request that runs in the own upstream.
#[derive(Debug)]
pub(crate) struct Context {
    pub(crate) identity: Identity,
    /// How many crashes that followed each other under it were known when it was let in.
    known_crashes: u8,
    pub(crate) kind: KindName,
    /// The life of the upstream that runs it.
    upstream: UpstreamKey,
    pub(crate) rank: Rank,
    pub(crate) class: Class,
    /// On whose behalf it is made.
    pub(crate) workspace: Option<WorkspaceName>,
    /// Whether it was sent to another upstream before.
    pub(crate) repeated: bool,
    /// The greatest pressure that a call made for it met.
    pub(crate) pressure: Cell<Pressure>,
    /// Whether a call was made for it.
    pub(crate) has_made_calls: Cell<bool>,
    /// How many calls made for it were answered well.
    pub(crate) successful_calls: Cell<u32>,
    /// Whether a call made for it failed,
    pub(crate) failed_below: Cell<bool>,
    /// and whether one found no upstream of its service, there or further down.
    pub(crate) absent_below: Cell<bool>,
}

/// The requests that run in the own upstream.
#[derive(Debug, Default)]
pub(crate) struct Contexts {
    running: RefCell<HashMap<AttemptKey, Rc<Context>>>,
}

impl Service for Contexts {
    const NAME: &'static str = "contexts";
}

impl Contexts {
    /// Remembers a request until the guard is dropped.
    pub(crate) fn open(self: &Rc<Self>, work: &Request, upstream: &UpstreamKey) -> Open {
        let context = Rc::new(Context {
            identity: work.identity,
            known_crashes: work.known_crashes,
            kind: work.kind.clone(),
            upstream: upstream.clone(),
            rank: work.rank,
            class: work.class,
            workspace: work.workspace.clone(),
            repeated: work.is_retry,
            pressure: Cell::default(),
            has_made_calls: Cell::new(false),
            successful_calls: Cell::new(0),
            failed_below: Cell::new(false),
            absent_below: Cell::new(false),
        });
        let key = work.attempt.clone();
        let mut running = self.running.borrow_mut();
        running.insert(key.clone(), Rc::clone(&context));
        drop(running);
        Open {
            contexts: Rc::clone(self),
            key,
            context,
        }
    }

    /// Returns the request that a call with this id is made for, if it runs here.
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

    /// Returns the requests that run in this life of the own upstream.
    pub(crate) fn running_in(&self, upstream: &UpstreamKey) -> Vec<Rc<Context>> {
        let running = self.running.borrow();
        let of_life = running.values().filter(|one| one.upstream == *upstream);
        of_life.cloned().collect()
    }

    /// Returns how many requests run in the own upstream.
    pub(crate) fn len(&self) -> usize {
        self.running.borrow().len()
    }
}

impl Context {
    /// Returns what is told of it if the upstream crashes now.
    pub(crate) fn ran(&self) -> Execution {
        Execution {
            identity: self.identity,
            known_crashes: self.known_crashes,
            succeeded_recently: false,
        }
    }

    /// Returns the class of a call made for the request, whatever that of its route.
    ///
    /// Only the request counts: where the route of a read matters more, the reads of requests
    /// that matter less would keep those out that matter as much as that route.
    pub(crate) fn call_class(&self) -> Class {
        self.class
    }

    /// Returns the place of a call made for the request, whatever that of its route.
    pub(crate) fn call_rank(&self) -> Rank {
        self.rank
    }

    /// Notes what became of a call made for the request.
    pub(crate) fn record_result(&self, returned: &Response) {
        let met = returned.observed_pressure();
        self.pressure.set(self.pressure.get().max(met));
        if returned.is_success() {
            self.successful_calls.set(self.successful_calls.get() + 1);
        } else {
            self.failed_below.set(true);
        }
        if returned.found_no_upstream() {
            self.absent_below.set(true);
        }
    }
}

/// Keeps a request in the table for as long as it lives.
pub(crate) struct Open {
    contexts: Rc<Contexts>,
    key: AttemptKey,
    pub(crate) context: Rc<Context>,
}

impl Drop for Open {
    fn drop(&mut self) {
        let mut running = self.contexts.running.borrow_mut();
        let is_own = |known: &Rc<Context>| Rc::ptr_eq(known, &self.context);
        if running.get(&self.key).is_some_and(is_own) {
            running.remove(&self.key);
        }
    }
}
