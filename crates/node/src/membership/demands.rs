//! What the upstreams of members demand: their limits and that they leave.
//!
//! Other nodes keep it over a restart of the member and remind it.

use sailtrack_wire::{Demands, Member};

use crate::membership::Membership;

/// A limit is published again if it has changed by more than this share of it, since it may change
/// with each answer.
const PUBLISHED_CHANGE: f64 = 0.25;

impl Membership {
    /// Publishes what the upstream of this node demands; returns true if that changed.
    pub(crate) fn update_local_demands(&self, demands: Demands) -> bool {
        let mut local_member = self.local_member.borrow_mut();
        let published = local_member.demands.as_ref();
        if published.is_some_and(|published| is_similar(published, &demands)) {
            return false;
        }
        local_member.demands = Some(demands);
        local_member.revision += 1;
        self.changes.set(self.changes.get() + 1);
        true
    }

    /// Takes what an upstream demanded before this process started, as another node remembers.
    pub(crate) fn take_reminder(&self) -> Option<Demands> {
        self.reminder.take()
    }

    /// Keeps a reminder of another node, unless this node knows its upstream by now.
    pub(super) fn keep_reminder(&self, update: &Member) {
        let is_known = self.local_member.borrow().demands.is_some();
        if !is_known && let Some(demands) = &update.demands {
            self.reminder.replace(Some(*demands));
        }
    }
}

fn is_similar(published: &Demands, demands: &Demands) -> bool {
    let is_similar_rate = match (published.rate, demands.rate) {
        (Some(published), Some(rate)) => (rate - published).abs() <= published * PUBLISHED_CHANGE,
        (None, None) => true,
        _ => false,
    };
    is_similar_rate && published.life == demands.life && published.leaving == demands.leaving
}
