//! Membership: the nodes known to this one, from the store and from peers.

#[cfg(test)]
mod tests;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;

use displaydoc::Display;
use rand::seq::IteratorRandom as _;
use sailtrack_kernel::Service;
use sailtrack_log::{catalogue, emit};
use sailtrack_units::{DomainName, Incarnation, NodeName, ServiceName};
use sailtrack_wire::{Member as MemberMessage, State};
use serde::{Deserialize, Serialize};

use crate::store::{Content, Row, StoreVersion};

/// One node of the mesh. Its fields are constant while the process runs, so its row is written
/// once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Member {
    pub(crate) name: NodeName,
    pub(crate) service: ServiceName,
    pub(crate) domain: DomainName,
    /// Where the node accepts connections of peers.
    pub(crate) address: SocketAddr,
}

/// invalid membership entry: {0}
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub(crate) struct MemberError(String);

impl std::error::Error for MemberError {}

impl Member {
    /// Parses the entry that a node sends about itself.
    pub(crate) fn from_wire(message: &MemberMessage) -> Result<Self, MemberError> {
        let error = |what: &dyn std::fmt::Display| MemberError(what.to_string());
        Ok(Self {
            name: message.node.parse().map_err(|e| error(&e))?,
            service: message.service.parse().map_err(|e| error(&e))?,
            domain: message.domain.parse().map_err(|e| error(&e))?,
            address: message.address.parse().map_err(|e| error(&e))?,
        })
    }

    /// Returns the message for this node in the given state.
    pub(crate) fn to_wire(
        &self,
        incarnation: Incarnation,
        state: State,
        slots: u32,
    ) -> MemberMessage {
        MemberMessage {
            node: self.name.to_string(),
            incarnation: incarnation.0,
            revision: 0,
            service: self.service.to_string(),
            domain: self.domain.to_string(),
            address: self.address.to_string(),
            state: state.into(),
            slots,
            demands: None,
        }
    }

    /// Parses a row of the store.
    fn from_row(row: &Row) -> Result<Self, MemberError> {
        let text = match &row.content {
            Content::Text(text) => text,
            Content::Unreadable(reason) => return Err(MemberError(reason.clone())),
            Content::Removed => return Err(MemberError("the row was removed".to_owned())),
        };
        let member: Self =
            serde_json::from_str(text).map_err(|error| MemberError(error.to_string()))?;
        if member.name.as_str() == row.key {
            Ok(member)
        } else {
            Err(MemberError("the name differs from the key".to_owned()))
        }
    }

    /// Returns the content of the node's row in the store.
    pub(crate) fn to_row(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}

/// Is notified of changes of the membership.
pub(crate) trait Observer {
    /// Called when a node joined or any of its fields, such as the address, changed.
    fn joined(&self, member: &Rc<Member>);

    /// Called when the row of a node was removed; returns true if the node should be forgotten.
    fn should_forget(&self, member: &Member) -> bool;
}

/// The nodes known to this one.
pub(crate) struct Directory {
    own: Member,
    members: RefCell<BTreeMap<NodeName, Rc<Member>>>,
    /// The versions of the rows in the store.
    rows: RefCell<BTreeMap<String, StoreVersion>>,
    /// The keys of rows that are no valid membership entries, so were not written by a node.
    foreign: RefCell<BTreeSet<String>>,
    /// Whether the store is known to hold this node's row with the correct content.
    has_own_row: Cell<bool>,
    observer: RefCell<Option<Rc<dyn Observer>>>,
    own_row_lost: RefCell<Option<Rc<dyn Fn()>>>,
}

impl Service for Directory {
    const NAME: &'static str = "directory";
}

impl Directory {
    pub(crate) fn new(own: Member) -> Self {
        Self {
            own,
            members: RefCell::default(),
            rows: RefCell::default(),
            foreign: RefCell::default(),
            has_own_row: Cell::new(false),
            observer: RefCell::default(),
            own_row_lost: RefCell::default(),
        }
    }

    /// Sets the observer and notifies it of all nodes that are already known.
    pub(crate) fn observe(&self, observer: Rc<dyn Observer>) {
        for member in self.members.borrow().values() {
            observer.joined(member);
        }
        *self.observer.borrow_mut() = Some(observer);
    }

    /// Sets a callback that runs when this node's row is missing or wrong in the store.
    pub(crate) fn on_own_row_lost(&self, callback: impl Fn() + 'static) {
        *self.own_row_lost.borrow_mut() = Some(Rc::new(callback));
    }

    /// Returns the entry of this node.
    pub(crate) fn own(&self) -> &Member {
        &self.own
    }

    /// Returns true if the store is known to hold this node's row with the correct content.
    pub(crate) fn has_own_row(&self) -> bool {
        self.has_own_row.get()
    }

    /// Returns true if a node is known to be in the failure domain of this one.
    pub(crate) fn is_same_domain(&self, name: &NodeName) -> bool {
        let members = self.members.borrow();
        let member = members.get(name);
        member.is_some_and(|member| member.domain == self.own.domain)
    }

    /// Returns the number of other nodes.
    pub(crate) fn len(&self) -> usize {
        self.members.borrow().len()
    }

    /// Returns all other nodes.
    pub(crate) fn all(&self) -> Vec<Rc<Member>> {
        self.members.borrow().values().cloned().collect()
    }

    /// Returns up to `count` other nodes, chosen at random.
    pub(crate) fn sample(&self, count: usize) -> Vec<Rc<Member>> {
        let members = self.members.borrow();
        members
            .values()
            .cloned()
            .choose_multiple(&mut rand::rng(), count)
    }

    /// Adds or updates a node and notifies the observer of any change.
    pub(crate) fn upsert(&self, member: Member) {
        if member.name == self.own.name {
            return;
        }
        let known = self.members.borrow().get(&member.name).cloned();
        if known.is_some_and(|known| *known == member) {
            return;
        }
        emit(
            &catalogue::MEMBER_JOINED,
            &[
                ("node", &member.name),
                ("service", &member.service),
                ("domain", &member.domain),
            ],
        );
        let member = Rc::new(member);
        let name = member.name.clone();
        self.members.borrow_mut().insert(name, Rc::clone(&member));
        if let Some(observer) = self.observer.borrow().as_ref() {
            observer.joined(&member);
        }
    }

    /// Forgets a node whose row was removed, if the observer agrees.
    fn handle_removed_row(&self, name: &str) {
        if name == self.own.name.as_str() {
            self.handle_own_row_lost();
            return;
        }
        let members = self.members.borrow();
        let known = members.values().find(|member| member.name.as_str() == name);
        let known = known.cloned();
        drop(members);
        let Some(member) = known else {
            return;
        };
        let observer = self.observer.borrow().clone();
        if observer.is_none_or(|observer| observer.should_forget(&member)) {
            emit(&catalogue::MEMBER_DEAD, &[("node", &member.name)]);
            self.members.borrow_mut().remove(&member.name);
        }
    }

    /// Forgets that this node's row was found in the store, so that it is looked up again.
    pub(crate) fn mark_own_row_unverified(&self) {
        self.has_own_row.set(false);
    }

    fn handle_own_row_lost(&self) {
        self.has_own_row.set(false);
        let callback = self.own_row_lost.borrow().clone();
        if let Some(callback) = callback {
            callback();
        }
    }

    /// Returns the version of the row of a node, if there is one.
    pub(crate) fn row_version(&self, name: &NodeName) -> Option<StoreVersion> {
        self.rows.borrow().get(name.as_str()).copied()
    }

    /// Returns the number of rows that are no valid membership entries.
    pub(crate) fn foreign_row_count(&self) -> usize {
        self.foreign.borrow().len()
    }

    /// Applies rows. Invalid rows are logged as one event with the first error.
    fn apply_all(&self, rows: &[Row]) {
        let invalid = rows
            .iter()
            .filter_map(|row| self.apply(row).err().map(|error| (row, error)));
        let invalid: Vec<_> = invalid.collect();
        if let Some((row, error)) = invalid.first() {
            emit(
                &catalogue::ROW_REFUSED,
                &[
                    ("table", &"members"),
                    ("key", &row.key),
                    ("reason", error),
                    ("rows", &invalid.len()),
                ],
            );
        }
    }

    /// Applies one row. An invalid row does not affect a known node, even if it has its key: it was
    /// not written by that node.
    fn apply(&self, row: &Row) -> Result<(), MemberError> {
        self.foreign.borrow_mut().remove(&row.key);
        if row.content == Content::Removed {
            self.rows.borrow_mut().remove(&row.key);
            self.handle_removed_row(&row.key);
            return Ok(());
        }
        let key = row.key.clone();
        self.rows.borrow_mut().insert(key, row.version);
        let parsed = Member::from_row(row);
        if parsed.as_ref() == Ok(&self.own) {
            self.has_own_row.set(true);
            return Ok(());
        }
        if row.key == self.own.name.as_str() {
            self.handle_own_row_lost();
        }
        let member = parsed.inspect_err(|_| {
            self.foreign.borrow_mut().insert(row.key.clone());
        })?;
        self.upsert(member);
        Ok(())
    }
}

/// Updates from the store.
impl Directory {
    /// Replaces all rows by a snapshot of the table.
    pub(crate) fn reset(&self, rows: &[Row]) {
        self.rows.borrow_mut().clear();
        self.foreign.borrow_mut().clear();
        self.apply_all(rows);
        let missing = self.all().into_iter().filter(|member| {
            let key = member.name.as_str();
            !rows.iter().any(|row| row.key == key)
        });
        for member in missing.collect::<Vec<_>>() {
            self.handle_removed_row(member.name.as_str());
        }
        let own = self.own.name.as_str();
        if !rows.iter().any(|row| row.key == own) {
            self.handle_own_row_lost();
        }
    }

    /// Applies rows that changed.
    pub(crate) fn apply_changes(&self, rows: &[Row]) {
        self.apply_all(rows);
    }
}
