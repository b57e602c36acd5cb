//! The members of the deployment, learned by gossip.

mod demands;
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
use sailtrack_wire::{Demands, Member, State};

use crate::settings::Detector;
pub(crate) use gossip::Gossip;
pub(crate) use member::{Peer, Record};

/// All members known to this node, including itself.
pub(crate) struct Membership {
    local_member: RefCell<Member>,
    records: RefCell<BTreeMap<NodeName, Record>>,
    by_service: RefCell<HashMap<ServiceName, Rc<[Rc<Peer>]>>>,
    changes: Cell<u64>,
    converged: Cell<bool>,
    /// What another node remembers that the upstream of this node demanded.
    reminder: Cell<Option<Demands>>,
}

impl Service for Membership {
    const NAME: &'static str = "membership";
}

impl Membership {
    pub(crate) fn new(local_member: Member) -> Self {
        Self {
            local_member: RefCell::new(local_member),
            records: RefCell::default(),
            by_service: RefCell::default(),
            changes: Cell::new(0),
            converged: Cell::new(false),
            reminder: Cell::default(),
        }
    }

    /// Records that another node has the same view of the members.
    pub(crate) fn mark_converged(&self) {
        self.converged.set(true);
    }

    /// Returns true if some other node has had the same view of the members.
    pub(crate) fn has_converged(&self) -> bool {
        self.converged.get()
    }

    /// Returns the record that this node publishes about itself.
    pub(crate) fn local_member(&self) -> Member {
        self.local_member.borrow().clone()
    }

    /// Updates the record that this node publishes about itself; returns true if it changed.
    pub(crate) fn update_local_state(&self, state: State, slots: u32) -> bool {
        let mut local_member = self.local_member.borrow_mut();
        if local_member.state() == state && local_member.slots == slots {
            return false;
        }
        local_member.set_state(state);
        local_member.slots = slots;
        local_member.revision += 1;
        self.changes.set(self.changes.get() + 1);
        true
    }

    /// Returns the serving members of a service.
    pub(crate) fn serving(&self, service: &ServiceName) -> Rc<[Rc<Peer>]> {
        if let Some(peers) = self.by_service.borrow().get(service) {
            return Rc::clone(peers);
        }
        let records = self.records.borrow();
        let serving = records
            .values()
            .filter(|record| record.state == State::Serving);
        let of_service = serving.filter(|record| record.peer.service == *service);
        let peers: Rc<[Rc<Peer>]> = of_service.map(|record| Rc::clone(&record.peer)).collect();
        self.by_service
            .borrow_mut()
            .insert(service.clone(), Rc::clone(&peers));
        peers
    }

    /// Returns the member with this name, whatever its state.
    pub(crate) fn find(&self, name: &NodeName) -> Option<(Rc<Peer>, State)> {
        let records = self.records.borrow();
        let record = records.get(name)?;
        Some((Rc::clone(&record.peer), record.state))
    }

    /// Returns the record of a member that must hear of it: it is suspected or considered dead, or
    /// it does not know what its upstream demanded before it started.
    pub(crate) fn notice_for(&self, name: &NodeName) -> Option<Member> {
        let records = self.records.borrow();
        let record = records.get(name)?;
        let is_suspected = matches!(record.state, State::Suspect | State::Dead);
        (is_suspected || record.must_remind()).then(|| record.to_member())
    }

    /// Returns every other member with its state.
    pub(crate) fn all(&self) -> Vec<(Rc<Peer>, State)> {
        let records = self.records.borrow();
        let pairs = records
            .values()
            .map(|record| (Rc::clone(&record.peer), record.state));
        pairs.collect()
    }

    /// Returns every other member that is not considered dead.
    pub(crate) fn alive(&self) -> Vec<Rc<Peer>> {
        let all = self.all().into_iter();
        let alive = all.filter(|(_, state)| *state != State::Dead);
        alive.map(|(peer, _)| peer).collect()
    }

    /// Merges an update about a member; returns true if it was new.
    ///
    /// An update that a member unknown here is dead is ignored: otherwise nodes would keep
    /// reminding each other of it forever.
    pub(crate) fn merge(&self, update: &Member, now: Instant) -> bool {
        if update.node == self.local_member.borrow().node {
            self.keep_reminder(update);
            return self.refute(update);
        }
        let Ok(peer) = Peer::try_from(update) else {
            return false;
        };
        let mut records = self.records.borrow_mut();
        let previous = records.get(&peer.name);
        if previous.is_some_and(|previous| !previous.is_older_than(update)) {
            return false;
        }
        let previous_state = previous.map(|previous| previous.state);
        let demands = previous.and_then(|previous| previous.demands);
        if previous_state.is_none() && update.state() == State::Dead {
            return false;
        }
        log_change(&peer, previous_state, update.state());
        let name = peer.name.clone();
        records.insert(name, Record::new(peer, update, demands, now));
        drop(records);
        self.invalidate();
        true
    }

    /// Marks a member that did not answer as suspect, unless it already is suspect or dead.
    pub(crate) fn suspect(&self, name: &NodeName, now: Instant) {
        self.change_state(name, State::Suspect, now);
    }

    /// Marks suspects as dead that did not refute the suspicion in time, and drops the records of
    /// members that have been dead for long; returns the newly dead.
    pub(crate) fn expire(&self, now: Instant, detector: &Detector) -> Vec<Rc<Peer>> {
        let overdue: Vec<Rc<Peer>> = {
            let records = self.records.borrow();
            let suspects = records
                .values()
                .filter(|record| record.state == State::Suspect);
            let overdue =
                suspects.filter(|record| now - record.changed >= detector.suspicion_timeout.0);
            overdue.map(|record| Rc::clone(&record.peer)).collect()
        };
        for peer in &overdue {
            self.change_state(&peer.name, State::Dead, now);
        }
        self.records.borrow_mut().retain(|_, record| {
            record.state != State::Dead || now - record.changed < detector.retention.0
        });
        overdue
    }

    fn change_state(&self, name: &NodeName, state: State, now: Instant) {
        let mut records = self.records.borrow_mut();
        let Some(record) = records.get_mut(name) else {
            return;
        };
        if record.state as i32 >= state as i32 {
            return;
        }
        log_change(&record.peer, Some(record.state), state);
        record.set_state(state, now);
        self.invalidate();
    }

    /// Refutes an update that says this node is suspect or dead.
    fn refute(&self, update: &Member) -> bool {
        let mut local_member = self.local_member.borrow_mut();
        let about_me = update.incarnation == local_member.incarnation
            && update.revision >= local_member.revision;
        if !about_me || update.state() == local_member.state() {
            return false;
        }
        local_member.revision = update.revision + 1;
        self.changes.set(self.changes.get() + 1);
        true
    }

    fn invalidate(&self) {
        self.by_service.borrow_mut().clear();
        self.changes.set(self.changes.get() + 1);
    }
}

fn log_change(peer: &Peer, previous: Option<State>, state: State) {
    if previous == Some(state) {
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
