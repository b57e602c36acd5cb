//! Which upstream of a service gets a request, by a simple choice of the model's own.

use rand::Rng as _;
use sailtrack_admission::Pressure;

use crate::clock;
use crate::run::Model;

impl Model<'_> {
    /// Returns the better of two drawn upstreams, near ones first while they have room.
    pub(super) fn choose(
        &mut self,
        service: usize,
        domain: usize,
        refused_by: &[usize],
    ) -> Option<usize> {
        let at = self.at();
        let usable: Vec<usize> = (0..self.gates.len())
            .filter(|place| {
                let gate = &self.gates[*place];
                gate.service == service
                    && !self.graph.is_gone(service, gate.place, at)
                    && !refused_by.contains(place)
            })
            .collect();
        let is_near = |place: &usize| self.gates[*place].domain == domain;
        let (near, far): (Vec<usize>, Vec<usize>) = usable.into_iter().partition(is_near);
        let (near, far) = (self.emptier(&near), self.emptier(&far));
        match (near, far) {
            (Some(near), Some(far)) => {
                let is_worth_it = self.pressure(near).spills_to(self.pressure(far));
                Some(if is_worth_it { far } else { near })
            }
            (near, far) => near.or(far),
        }
    }

    pub(super) fn emptier(&mut self, places: &[usize]) -> Option<usize> {
        if places.is_empty() {
            return None;
        }
        let one = places[self.random.random_range(0..places.len())];
        let other = places[self.random.random_range(0..places.len())];
        let cost = |place: usize| self.pressure(place).0 / self.gates[place].speed;
        Some(if cost(one) <= cost(other) { one } else { other })
    }

    pub(super) fn pressure(&self, gate: usize) -> Pressure {
        let admission = &self.gates[gate].admission;
        let calls = admission.in_flight() + admission.waiting();
        Pressure::of(calls, admission.limit(clock::now()))
    }
}
