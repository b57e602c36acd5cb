//! Members and what this node knows about them.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use sailtrack_units::{DomainName, Incarnation, NodeName, ServiceName};
use sailtrack_wire::{Demands, Member, State, WireError};

/// Identity and address of a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Peer {
    pub(crate) name: NodeName,
    pub(crate) incarnation: Incarnation,
    pub(crate) service: ServiceName,
    pub(crate) domain: DomainName,
    pub(crate) address: SocketAddr,
    pub(crate) slots: u32,
}

impl TryFrom<&Member> for Peer {
    type Error = WireError;

    fn try_from(member: &Member) -> Result<Self, WireError> {
        Ok(Self {
            name: member.node.parse()?,
            incarnation: Incarnation(member.incarnation),
            service: member.service.parse()?,
            domain: member.domain.parse()?,
            address: member.address.parse().map_err(|_| WireError::Address)?,
            slots: member.slots,
        })
    }
}

/// The record of a member, and how often it has been sent on.
#[derive(Debug)]
pub(crate) struct Record {
    pub(crate) peer: Rc<Peer>,
    pub(crate) state: State,
    pub(crate) revision: u64,
    pub(crate) changed: Instant,
    pub(crate) send_count: u32,
    /// What its upstream demands.
    pub(crate) demands: Option<Demands>,
    /// Whether that is known from an earlier incarnation, as this one does not know its upstream.
    is_remembered: bool,
}

impl Record {
    /// `demands` are those of the record before.
    pub(crate) fn new(peer: Peer, update: &Member, demands: Option<Demands>, now: Instant) -> Self {
        Self {
            peer: Rc::new(peer),
            state: update.state(),
            revision: update.revision,
            changed: now,
            send_count: 0,
            demands: update.demands.or(demands),
            is_remembered: update.demands.is_none(),
        }
    }

    /// Returns true if the member does not know what its upstream demands.
    pub(crate) fn must_remind(&self) -> bool {
        let is_demanding = |demands: &Demands| demands.leaving || demands.rate.is_some();
        self.is_remembered && self.demands.as_ref().is_some_and(is_demanding)
    }

    /// Returns true if `update` is newer than the record.
    ///
    /// A higher incarnation takes precedence, then a higher revision; within a revision only a
    /// worse state replaces a better one.
    pub(crate) fn is_older_than(&self, update: &Member) -> bool {
        let own = (self.peer.incarnation.0, self.revision, self.state as i32);
        own < (update.incarnation, update.revision, update.state)
    }

    pub(crate) fn set_state(&mut self, state: State, now: Instant) {
        self.state = state;
        self.changed = now;
        self.send_count = 0;
    }

    /// Returns the record as it is sent to others.
    pub(crate) fn to_member(&self) -> Member {
        Member {
            node: self.peer.name.to_string(),
            incarnation: self.peer.incarnation.0,
            revision: self.revision,
            service: self.peer.service.to_string(),
            domain: self.peer.domain.to_string(),
            address: self.peer.address.to_string(),
            state: self.state.into(),
            slots: self.peer.slots,
            demands: self.demands,
        }
    }
}
