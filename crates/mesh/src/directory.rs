//! The nodes that this one knows, from the store and from each other.

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

/// One node of the mesh. Nothing in it changes while the node lives, so its row is written once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Member {
    pub(crate) name: NodeName,
    pub(crate) service: ServiceName,
    pub(crate) domain: DomainName,
    /// Where it takes connections of other nodes.
    pub(crate) address: SocketAddr,
}

/// what a node says about itself cannot be read: {0}
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub(crate) struct MemberError(String);

impl std::error::Error for MemberError {}

impl Member {
    /// Reads what a node says about itself.
    pub(crate) fn from_wire(message: &MemberMessage) -> Result<Self, MemberError> {
        let error = |what: &dyn std::fmt::Display| MemberError(what.to_string());
        Ok(Self {
            name: message.node.parse().map_err(|e| error(&e))?,
            service: message.service.parse().map_err(|e| error(&e))?,
            domain: message.domain.parse().map_err(|e| error(&e))?,
            address: message.address.parse().map_err(|e| error(&e))?,
        })
    }

    /// Returns what is said about it in this state.
    pub(crate) fn to_wire(&self, life: Incarnation, state: State, slots: u32) -> MemberMessage {
        MemberMessage {
            node: self.name.to_string(),
            incarnation: life.0,
            revision: 0,
            service: self.service.to_string(),
            domain: self.domain.to_string(),
            address: self.address.to_string(),
            state: state.into(),
            slots,
        }
    }

    /// Reads a row of the store.
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

    /// Returns the text of its row in the store.
    pub(crate) fn to_row(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}

/// Hears of nodes that became known or changed their address, and of those that are forgotten.
pub(crate) trait Observer {
    /// A node became known or has another address.
    fn joined(&self, member: &Rc<Member>);

    /// The row of a node is gone; returns true if the node is to be forgotten.
    fn should_forget(&self, member: &Member) -> bool;
}

/// The nodes that this one knows.
pub(crate) struct Directory {
    own: Member,
    members: RefCell<BTreeMap<NodeName, Rc<Member>>>,
    /// The versions of the rows in the store.
    rows: RefCell<BTreeMap<String, StoreVersion>>,
    /// The keys of rows that name no node: somebody else wrote them.
    foreign: RefCell<BTreeSet<String>>,
    /// The own row was seen as it has to be.
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

    /// Tells an observer of all nodes, those that are known already included.
    pub(crate) fn observe(&self, observer: Rc<dyn Observer>) {
        for member in self.members.borrow().values() {
            observer.joined(member);
        }
        *self.observer.borrow_mut() = Some(observer);
    }

    /// Calls `lost` when the row of this node is missing in the store.
    pub(crate) fn on_own_row_lost(&self, lost: impl Fn() + 'static) {
        *self.own_row_lost.borrow_mut() = Some(Rc::new(lost));
    }

    /// Returns this node.
    pub(crate) fn own(&self) -> &Member {
        &self.own
    }

    /// Returns true if the row of this node was seen in the store.
    pub(crate) fn has_own_row(&self) -> bool {
        self.has_own_row.get()
    }

    /// Returns true if a node is known to stand in the own failure domain.
    pub(crate) fn is_near(&self, name: &NodeName) -> bool {
        let members = self.members.borrow();
        let member = members.get(name);
        member.is_some_and(|member| member.domain == self.own.domain)
    }

    /// Returns how many other nodes are known.
    pub(crate) fn len(&self) -> usize {
        self.members.borrow().len()
    }

    /// Returns every other node.
    pub(crate) fn all(&self) -> Vec<Rc<Member>> {
        self.members.borrow().values().cloned().collect()
    }

    /// Returns some other nodes, drawn at random if there are more.
    pub(crate) fn sample(&self, count: usize) -> Vec<Rc<Member>> {
        let members = self.members.borrow();
        members
            .values()
            .cloned()
            .choose_multiple(&mut rand::rng(), count)
    }

    /// Takes in what is known about a node.
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

    /// Forgets a node if the observer finds that it cannot be reached either.
    fn row_gone(&self, name: &str) {
        if name == self.own.name.as_str() {
            self.note_own_row_lost();
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

    /// Takes in that the row of this node may be lost: it is looked for again.
    pub(crate) fn mark_own_row_unverified(&self) {
        self.has_own_row.set(false);
    }

    fn note_own_row_lost(&self) {
        self.has_own_row.set(false);
        let lost = self.own_row_lost.borrow().clone();
        if let Some(lost) = lost {
            lost();
        }
    }

    /// Returns the version of the row of a node, if it has one.
    pub(crate) fn row_version(&self, name: &NodeName) -> Option<StoreVersion> {
        self.rows.borrow().get(name.as_str()).copied()
    }

    /// Returns how many rows name no node.
    pub(crate) fn foreign_row_count(&self) -> usize {
        self.foreign.borrow().len()
    }

    /// Takes in rows, and logs once for all of them what could not be read.
    fn take_all(&self, rows: &[Row]) {
        let refused = rows
            .iter()
            .filter_map(|row| self.take(row).err().map(|error| (row, error)));
        let refused: Vec<_> = refused.collect();
        if let Some((row, error)) = refused.first() {
            emit(
                &catalogue::ROW_REFUSED,
                &[
                    ("table", &"members"),
                    ("key", &row.key),
                    ("reason", error),
                    ("rows", &refused.len()),
                ],
            );
        }
    }

    /// Takes in a row. One that names no node changes nothing about those that are known: it was
    /// not written by the node whose key it may have.
    fn take(&self, row: &Row) -> Result<(), MemberError> {
        self.foreign.borrow_mut().remove(&row.key);
        if row.content == Content::Removed {
            self.rows.borrow_mut().remove(&row.key);
            self.row_gone(&row.key);
            return Ok(());
        }
        let key = row.key.clone();
        self.rows.borrow_mut().insert(key, row.version);
        let read = Member::from_row(row);
        if read.as_ref() == Ok(&self.own) {
            self.has_own_row.set(true);
            return Ok(());
        }
        if row.key == self.own.name.as_str() {
            self.note_own_row_lost();
        }
        let member = read.inspect_err(|_| {
            self.foreign.borrow_mut().insert(row.key.clone());
        })?;
        self.upsert(member);
        Ok(())
    }
}

/// What the rows of the store tell.
impl Directory {
    /// Takes in all rows as of one moment.
    pub(crate) fn reset(&self, rows: &[Row]) {
        self.rows.borrow_mut().clear();
        self.foreign.borrow_mut().clear();
        self.take_all(rows);
        let missing = self.all().into_iter().filter(|member| {
            let key = member.name.as_str();
            !rows.iter().any(|row| row.key == key)
        });
        for member in missing.collect::<Vec<_>>() {
            self.row_gone(member.name.as_str());
        }
        let own = self.own.name.as_str();
        if !rows.iter().any(|row| row.key == own) {
            self.note_own_row_lost();
        }
    }

    /// Takes in rows that changed.
    pub(crate) fn apply_changes(&self, rows: &[Row]) {
        self.take_all(rows);
    }
}
