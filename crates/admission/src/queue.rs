//! Calls that wait for admission, the most important first.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use futures::channel::oneshot;
use sailtrack_units::{Class, Rank};

/// The place of a waiting call; the greatest is admitted first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Place {
    class: Class,
    begun: bool,
    rank: Rank,
    arrival: Reverse<u64>,
}

/// What a waiting call is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// It may run.
    Admitted,
    /// A more important call took its place.
    Displaced,
}

/// The calls that wait for admission to one upstream.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    waiting: BTreeMap<Place, oneshot::Sender<Verdict>>,
    by_class: [usize; Class::COUNT],
    arrivals: u64,
}

impl Queue {
    /// Returns how many calls wait.
    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns how many calls wait that matter at least this much.
    pub(crate) fn len_from(&self, class: Class) -> usize {
        let lesser = &self.by_class[..class.index()];
        self.len() - lesser.iter().sum::<usize>()
    }

    /// Adds a call unless `capacity` calls that matter as much wait already.
    ///
    /// A call that matters less gives way to it and is told so.
    pub(crate) fn push(
        &mut self,
        (class, rank): (Class, Rank),
        begun: bool,
        capacity: usize,
    ) -> Option<(Place, oneshot::Receiver<Verdict>)> {
        self.arrivals += 1;
        let place = Place {
            class,
            begun,
            rank,
            arrival: Reverse(self.arrivals),
        };
        if self.len() >= capacity && !self.displace_below(place) {
            return None;
        }
        let (sender, receiver) = oneshot::channel();
        self.waiting.insert(place, sender);
        self.by_class[place.class.index()] += 1;
        Some((place, receiver))
    }

    /// Admits the waiting call that matters most; returns false if none waits.
    pub(crate) fn admit_first(&mut self) -> bool {
        while let Some((place, sender)) = self.waiting.pop_last() {
            self.by_class[place.class.index()] -= 1;
            if sender.send(Verdict::Admitted).is_ok() {
                return true;
            }
        }
        false
    }

    /// Returns true if a call does not wait any more.
    pub(crate) fn is_out(&self, place: Place) -> bool {
        !self.waiting.contains_key(&place)
    }

    /// Takes out a call that no longer waits.
    pub(crate) fn remove(&mut self, place: Place) -> bool {
        let removed = self.waiting.remove(&place).is_some();
        self.by_class[place.class.index()] -= usize::from(removed);
        removed
    }

    fn displace_below(&mut self, place: Place) -> bool {
        let Some(lowest) = self.waiting.first_entry() else {
            return false;
        };
        if *lowest.key() >= place {
            return false;
        }
        self.by_class[lowest.key().class.index()] -= 1;
        // The receiver may have gone; its place is free either way.
        let _ = lowest.remove().send(Verdict::Displaced);
        true
    }
}
