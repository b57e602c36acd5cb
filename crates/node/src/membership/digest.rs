//! A digest of the membership view, used for anti-entropy.

use sailtrack_wire::{Member, State};
use xxhash_rust::xxh3::xxh3_64;

use crate::membership::Membership;

impl Membership {
    /// Returns a digest that is equal on nodes with the same view of the members.
    ///
    /// Dead members are left out, since nodes drop their records at different times.
    pub(crate) fn digest(&self) -> u64 {
        let records = self.records.borrow();
        let present = records
            .values()
            .filter(|record| record.state != State::Dead);
        let others = present.map(|record| {
            let identity = (
                record.peer.incarnation.0,
                record.revision,
                record.state as i32,
            );
            entry(record.peer.name.as_str(), identity)
        });
        let others = others.fold(0, |digest, entry| digest ^ entry);
        let local_member: &Member = &self.local_member.borrow();
        others
            ^ entry(
                &local_member.node,
                (
                    local_member.incarnation,
                    local_member.revision,
                    local_member.state,
                ),
            )
    }
}

fn entry(node: &str, (incarnation, revision, state): (u64, u64, i32)) -> u64 {
    let mut bytes = node.as_bytes().to_vec();
    bytes.extend_from_slice(&incarnation.to_be_bytes());
    bytes.extend_from_slice(&revision.to_be_bytes());
    bytes.extend_from_slice(&state.to_be_bytes());
    xxh3_64(&bytes)
}
