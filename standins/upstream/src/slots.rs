//! The slots in which the stand-in runs requests, first come first served.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;

use futures::channel::oneshot;

/// The slots, with the requests that wait for one.
#[derive(Debug)]
pub(crate) struct Slots {
    total: usize,
    queue: usize,
    used: Cell<usize>,
    waiting: RefCell<VecDeque<oneshot::Sender<Slot>>>,
}

impl Slots {
    pub(crate) fn new(total: u32, queue: usize) -> Rc<Self> {
        Rc::new(Self {
            total: total as usize,
            queue,
            used: Cell::new(0),
            waiting: RefCell::default(),
        })
    }

    /// Returns how many slots are in use.
    pub(crate) fn in_use(&self) -> usize {
        self.used.get()
    }

    /// Waits for a slot; returns nothing if too many wait already.
    pub(crate) async fn take(self: &Rc<Self>) -> Option<Slot> {
        if self.used.get() < self.total {
            self.used.set(self.used.get() + 1);
            return Some(Slot(Rc::clone(self)));
        }
        if self.waiting.borrow().len() >= self.queue {
            return None;
        }
        let (sender, receiver) = oneshot::channel();
        self.waiting.borrow_mut().push_back(sender);
        receiver.await.ok()
    }
}

/// A slot in use, passed on or given back when it is dropped.
#[derive(Debug)]
pub(crate) struct Slot(Rc<Slots>);

impl Drop for Slot {
    fn drop(&mut self) {
        let slots = Rc::clone(&self.0);
        let next = slots.waiting.borrow_mut().pop_front();
        let Some(next) = next else {
            slots.used.set(slots.used.get() - 1);
            return;
        };
        // A receiver that has gone drops the slot, which passes it on.
        let _ = next.send(Slot(Rc::clone(&slots)));
    }
}
