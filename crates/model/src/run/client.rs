//! Clients: what they want, when they come back, and what they get.

use std::time::Duration;

use rand::Rng as _;
use sailtrack_units::{Rank, RequestId};

use crate::clock;
use crate::process::{Client, ClientId, End, Maker, Run};
use crate::run::{Event, Model};
use crate::tally::Ending;

/// The tries that a client makes.
const MOST_TRIES: u32 = 2;
/// Returns after absence, in seconds: the least, and by how much more at most.
const ABSENCE_RETURN: (f64, f64) = (0.9, 0.6);
/// The least time of a return after overload, in seconds.
const SHORTEST_RETURN: f64 = 0.2;
/// The part of the time left after which a client comes back at the latest.
const RETURN_SHARE: f64 = 3.0;

impl Model<'_> {
    pub(super) fn want(&mut self, kind: usize) {
        let domain = self.random.random_range(0..self.graph.domains);
        self.tally.kinds[kind].asked += 1;
        self.tally.domains[domain].asked += 1;
        self.clients.push(Client {
            kind,
            domain,
            first: clock::now(),
            tries: 0,
        });
        self.try_client(self.clients.len() - 1);
    }

    pub(super) fn try_client(&mut self, client: ClientId) {
        let known = &mut self.clients[client];
        known.tries += 1;
        let (kind, domain, first) = (known.kind, known.domain, known.first);
        let described = &self.graph.kinds[kind];
        let id = RequestId::draw(&mut self.random);
        let rank = Rank::new(described.importance, id);
        let patience = first + described.patience;
        let deadline = patience.min(clock::now() + described.timeout);
        self.make(kind, Maker::Client(client), rank, deadline, domain);
    }

    pub(super) fn end_client(&mut self, client: ClientId, end: End, run: &Run) {
        let Client {
            kind,
            domain,
            first,
            tries,
        } = self.clients[client];
        let described = &self.graph.kinds[kind];
        let age = clock::now().saturating_duration_since(first);
        let left = described.patience.saturating_sub(age);
        let comes_back = tries < MOST_TRIES && !left.is_zero();
        let ending = match end {
            End::Done if age <= described.objective => Ending::InTime,
            End::Done => Ending::Late,
            End::Refused if comes_back => {
                let after = self.return_after(run, left);
                return self.plan(after, Event::Back(client));
            }
            End::Refused => Ending::Refused,
            End::Failed if comes_back && described.idempotent => {
                return self.plan(0.0, Event::Back(client));
            }
            End::Failed => Ending::Failed,
        };
        self.tally.kinds[kind].note(ending);
        self.tally.domains[domain].note(ending);
    }

    /// Returns after how many seconds a refused client comes back.
    pub(super) fn return_after(&mut self, run: &Run, left: Duration) -> f64 {
        let draw: f64 = self.random.random();
        let after = if run.found_nobody {
            ABSENCE_RETURN.0 + ABSENCE_RETURN.1 * draw
        } else {
            let spread = self.gates[run.gate].admission.retry_spread(clock::now());
            SHORTEST_RETURN + spread.as_secs_f64() * draw
        };
        after.min(left.as_secs_f64() / RETURN_SHARE)
    }
}
