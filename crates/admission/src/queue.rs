//! The priority queue of calls that wait for admission.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use futures::channel::oneshot;
use sailtrack_units::{Class, Rank};

/// The priority of a waiting call; the greatest key is admitted first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Key {
    class: Class,
    nested: bool,
    rank: Rank,
    arrival: Reverse<u64>,
}

/// How the waiting of a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The call may run.
    Admitted,
    /// A call of higher priority took its place in a full queue.
    Displaced,
}

/// The calls that wait for admission to one upstream, ordered by priority.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    waiting: BTreeMap<Key, oneshot::Sender<Outcome>>,
    by_class: [usize; Class::COUNT],
    arrivals: u64,
}

impl Queue {
    /// Returns how many calls wait.
    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns how many calls of at least this class wait.
    pub(crate) fn len_at_least(&self, class: Class) -> usize {
        let lower = &self.by_class[..class.index()];
        self.len() - lower.iter().sum::<usize>()
    }

    /// Adds a call; returns nothing if `capacity` calls of at least its priority already wait.
    ///
    /// In a full queue the call of lowest priority is displaced and notified.
    pub(crate) fn push(
        &mut self,
        (class, rank): (Class, Rank),
        nested: bool,
        capacity: usize,
    ) -> Option<(Key, oneshot::Receiver<Outcome>)> {
        self.arrivals += 1;
        let key = Key {
            class,
            nested,
            rank,
            arrival: Reverse(self.arrivals),
        };
        if self.len() >= capacity && !self.displace_lowest(key) {
            return None;
        }
        let (sender, receiver) = oneshot::channel();
        self.waiting.insert(key, sender);
        self.by_class[key.class.index()] += 1;
        Some((key, receiver))
    }

    /// Admits the waiting call of highest priority; returns false if none waits.
    pub(crate) fn admit_next(&mut self) -> bool {
        while let Some((key, sender)) = self.waiting.pop_last() {
            self.by_class[key.class.index()] -= 1;
            if sender.send(Outcome::Admitted).is_ok() {
                return true;
            }
        }
        false
    }

    /// Returns true if a call no longer waits.
    pub(crate) fn is_resolved(&self, key: Key) -> bool {
        !self.waiting.contains_key(&key)
    }

    /// Removes a call; returns false if it is no longer in the queue.
    pub(crate) fn remove(&mut self, key: Key) -> bool {
        let removed = self.waiting.remove(&key).is_some();
        self.by_class[key.class.index()] -= usize::from(removed);
        removed
    }

    fn displace_lowest(&mut self, key: Key) -> bool {
        let Some(lowest) = self.waiting.first_entry() else {
            return false;
        };
        if *lowest.key() >= key {
            return false;
        }
        self.by_class[lowest.key().class.index()] -= 1;
        // The receiver may be gone; the entry is free either way.
        let _ = lowest.remove().send(Outcome::Displaced);
        true
    }
}
