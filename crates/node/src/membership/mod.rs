//! Who the members of the deployment are, learned from announcements and gossip.

mod digest;
mod gossip;
mod member;
mod probe;
mod rumor;
#[cfg(test)]
mod tests;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Instant;

use sailtrack_kernel::Service;
use sailtrack_log::{catalogue, emit};
use sailtrack_units::{NodeName, ServiceName};
use sailtrack_wire::{Member, State};

use crate::settings::Detector;
pub(crate) use gossip::Gossip;
pub(crate) use member::{Peer, Record};

/// The members that this node knows, itself included.
pub(crate) struct Membership {
    me: RefCell<Member>,
    known: RefCell<BTreeMap<NodeName, Record>>,
    by_service: RefCell<HashMap<ServiceName, Rc<[Rc<Peer>]>>>,
    changes: Cell<u64>,
    agreed: Cell<bool>,
}

impl Service for Membership {
    const NAME: &'static str = "membership";
}

impl Membership {
    pub(crate) fn new(me: Member) -> Self {
        Self {
            me: RefCell::new(me),
            known: RefCell::default(),
            by_service: RefCell::default(),
            changes: Cell::new(0),
            agreed: Cell::new(false),
        }
    }

    /// Notes that another node knows the same members as this one.
    pub(crate) fn note_agreed(&self) {
        self.agreed.set(true);
    }

    /// Returns true if some other node has known the same members as this one.
    pub(crate) fn has_agreed(&self) -> bool {
        self.agreed.get()
    }

    /// Returns what this node says of itself.
    pub(crate) fn me(&self) -> Member {
        self.me.borrow().clone()
    }

    /// Changes what this node says of itself; returns true if that is new.
    pub(crate) fn say(&self, state: State, slots: u32) -> bool {
        let mut me = self.me.borrow_mut();
        if me.state() == state && me.slots == slots {
            return false;
        }
        me.set_state(state);
        me.slots = slots;
        me.revision += 1;
        self.changes.set(self.changes.get() + 1);
        true
    }

    /// Returns the serving members of a service.
    pub(crate) fn serving(&self, service: &ServiceName) -> Rc<[Rc<Peer>]> {
        if let Some(peers) = self.by_service.borrow().get(service) {
            return Rc::clone(peers);
        }
        let known = self.known.borrow();
        let serving = known.values().filter(|known| known.state == State::Serving);
        let of_service = serving.filter(|known| known.peer.service == *service);
        let peers: Rc<[Rc<Peer>]> = of_service.map(|known| Rc::clone(&known.peer)).collect();
        self.by_service
            .borrow_mut()
            .insert(service.clone(), Rc::clone(&peers));
        peers
    }

    /// Returns the member with this name, whatever its state.
    pub(crate) fn find(&self, name: &NodeName) -> Option<(Rc<Peer>, State)> {
        let known = self.known.borrow();
        let known = known.get(name)?;
        Some((Rc::clone(&known.peer), known.state))
    }

    /// Returns the record of a member that is suspected or held for dead.
    pub(crate) fn accusation(&self, name: &NodeName) -> Option<Member> {
        let known = self.known.borrow();
        let known = known.get(name)?;
        let accused = matches!(known.state, State::Suspect | State::Dead);
        accused.then(|| known.to_member())
    }

    /// Returns every other member with its state.
    pub(crate) fn all(&self) -> Vec<(Rc<Peer>, State)> {
        let known = self.known.borrow();
        let pairs = known
            .values()
            .map(|known| (Rc::clone(&known.peer), known.state));
        pairs.collect()
    }

    /// Returns every other member that is not held for dead.
    pub(crate) fn alive(&self) -> Vec<Rc<Peer>> {
        let all = self.all().into_iter();
        let alive = all.filter(|(_, state)| *state != State::Dead);
        alive.map(|(peer, _)| peer).collect()
    }

    /// Takes in what somebody says about a member; returns true if it was news.
    ///
    /// A dead member that is not known here is no news: nodes would remind each other of it
    /// for ever.
    pub(crate) fn merge(&self, update: &Member, now: Instant) -> bool {
        if update.node == self.me.borrow().node {
            return self.refute(update);
        }
        let Ok(peer) = Peer::try_from(update) else {
            return false;
        };
        let mut known = self.known.borrow_mut();
        let earlier = known.get(&peer.name);
        if earlier.is_some_and(|earlier| !earlier.is_older_than(update)) {
            return false;
        }
        let earlier_state = earlier.map(|earlier| earlier.state);
        if earlier_state.is_none() && update.state() == State::Dead {
            return false;
        }
        log_change(&peer, earlier_state, update.state());
        let name = peer.name.clone();
        known.insert(name, Record::new(peer, update, now));
        drop(known);
        self.note_change();
        true
    }

    /// Suspects a member that did not answer; only a serving or leaving one can be.
    pub(crate) fn suspect(&self, name: &NodeName, now: Instant) {
        self.change_state(name, State::Suspect, now);
    }

    /// Holds the suspects for dead that did not answer for themselves in time, and forgets old ones.
    pub(crate) fn expire(&self, now: Instant, detector: &Detector) -> Vec<Rc<Peer>> {
        let overdue: Vec<Rc<Peer>> = {
            let known = self.known.borrow();
            let suspects = known.values().filter(|known| known.state == State::Suspect);
            let overdue = suspects.filter(|known| now - known.changed >= detector.suspicion.0);
            overdue.map(|known| Rc::clone(&known.peer)).collect()
        };
        for peer in &overdue {
            self.change_state(&peer.name, State::Dead, now);
        }
        self.known.borrow_mut().retain(|_, known| {
            known.state != State::Dead || now - known.changed < detector.forget.0
        });
        overdue
    }

    fn change_state(&self, name: &NodeName, state: State, now: Instant) {
        let mut known = self.known.borrow_mut();
        let Some(known) = known.get_mut(name) else {
            return;
        };
        if known.state as i32 >= state as i32 {
            return;
        }
        log_change(&known.peer, Some(known.state), state);
        known.set_state(state, now);
        self.note_change();
    }

    /// Contradicts a rumor that this node is suspect or dead.
    fn refute(&self, update: &Member) -> bool {
        let mut me = self.me.borrow_mut();
        let about_me = update.incarnation == me.incarnation && update.revision >= me.revision;
        if !about_me || update.state() == me.state() {
            return false;
        }
        me.revision = update.revision + 1;
        self.changes.set(self.changes.get() + 1);
        true
    }

    fn note_change(&self) {
        self.by_service.borrow_mut().clear();
        self.changes.set(self.changes.get() + 1);
    }
}

fn log_change(peer: &Peer, earlier: Option<State>, state: State) {
    if earlier == Some(state) {
        return;
    }
    let fields: [sailtrack_log::Field<'_>; 3] = [
        ("node", &peer.name),
        ("service", &peer.service),
        ("domain", &peer.domain),
    ];
    match state {
        State::Serving => emit(&catalogue::MEMBER_JOINED, &fields),
        State::Leaving => emit(&catalogue::MEMBER_LEAVING, &fields[..1]),
        State::Suspect => emit(&catalogue::MEMBER_SUSPECTED, &fields[..1]),
        State::Dead => emit(&catalogue::MEMBER_DEAD, &fields[..1]),
        State::Joining => {}
    }
}
