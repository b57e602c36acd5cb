//! Selects the membership updates that go into a datagram.

use prost::Message as _;
use rand::seq::SliceRandom as _;
use sailtrack_units::NodeName;
use sailtrack_wire::{Datagram, MAX_DATAGRAM, Member};

use crate::membership::Membership;

/// An update is sent this many times for each doubling of the number of members.
const SENDS_PER_DOUBLING: u32 = 3;
/// Encoding overhead of one member in a datagram, in bytes.
const MEMBER_FRAMING: usize = 3;

impl Membership {
    /// Fills the datagram with recent updates, and with other records too if `differs` says that
    /// the digests differ.
    pub(crate) fn fill(&self, datagram: &mut Datagram, differs: bool) {
        let mut available = MAX_DATAGRAM.saturating_sub(datagram.encoded_len());
        for (name, member) in self.select_updates(differs) {
            let size = member.encoded_len() + MEMBER_FRAMING;
            if size > available {
                break;
            }
            available -= size;
            datagram.members.push(member);
            if let Some(record) = self.records.borrow_mut().get_mut(&name) {
                record.send_count += 1;
            }
        }
    }

    fn select_updates(&self, differs: bool) -> Vec<(NodeName, Member)> {
        let records = self.records.borrow();
        let limit = send_limit(records.len());
        let mut pending: Vec<_> = records
            .values()
            .filter(|record| record.send_count < limit)
            .collect();
        pending.sort_by_key(|record| record.send_count);
        let mut others = Vec::new();
        if differs {
            others.extend(records.values().filter(|record| record.send_count >= limit));
            others.shuffle(&mut rand::rng());
        }
        let selected = pending.into_iter().chain(others);
        let pairs = selected.map(|record| (record.peer.name.clone(), record.to_member()));
        pairs.collect()
    }
}

fn send_limit(members: usize) -> u32 {
    let doublings = usize::BITS - members.leading_zeros();
    SENDS_PER_DOUBLING * doublings.max(1)
}
