//! One request as a client sends it, with its retries.

use std::rc::Rc;
use std::time::{Duration, Instant};

use http::Method;
use monoio::time::sleep;
use rand::Rng as _;
use sailtrack_declaration::Repeat;
use sailtrack_net::http::{ExchangeError, Pool, Request, Response};
use xxhash_rust::xxh3::xxh3_64;

use crate::arrival::Arrival;
use crate::outcome::Outcome;
use crate::settings::{Behaviour, Demand, Settings};
use crate::tally::Tally;

/// Where clients get tickets.
const TICKETS: &str = "/.sailtrack/tickets";
const KIND: &str = "sailtrack-kind";
const TICKET: &str = "sailtrack-ticket";
const REQUEST: &str = "sailtrack-request";
const TIMEOUT: &str = "sailtrack-timeout-ms";
const OUTCOME: &str = "sailtrack-outcome";
const RETRY_AFTER_MS: &str = "sailtrack-retry-after-ms";
/// The most unused connections kept to one node.
const POOL_CAPACITY: usize = 4096;
/// The digits of the checksum that a whole answer starts with.
const CHECKSUM_LENGTH: usize = 16;

/// Sends requests as clients do.
pub(crate) struct Client {
    pools: Vec<Pool>,
    behaviour: Behaviour,
    demands: Vec<Demand>,
    tally: Rc<Tally>,
    seed: u64,
}

/// What one attempt brought.
struct Attempt {
    outcome: Outcome,
    come_back: Option<Duration>,
}

impl Client {
    pub(crate) fn new(settings: &Settings, tally: Rc<Tally>) -> Self {
        let pools = settings.targets.iter();
        Self {
            pools: pools
                .map(|target| Pool::new(*target, None, POOL_CAPACITY))
                .collect(),
            behaviour: settings.behaviour,
            demands: settings.demands.clone(),
            tally,
            seed: settings.seed,
        }
    }

    /// Sends one request until it completes or its client gives up.
    pub(crate) async fn request(&self, arrival: &Arrival) {
        let demand = &self.demands[arrival.demand];
        let started = Instant::now();
        let patience = started + self.behaviour.patience.0;
        self.tally.note_arrival(arrival);
        let mut ticket = None;
        let mut last = Outcome::NotRun;
        for attempt in 0..=self.behaviour.retries {
            let target = (arrival.target + attempt as usize) % self.pools.len();
            let result = self
                .attempt(arrival, demand, target, &mut ticket, patience)
                .await;
            last = worse(last, result.outcome);
            if matches!(result.outcome, Outcome::Complete | Outcome::Mixup) {
                last = result.outcome;
                break;
            }
            let pause = self.pause(result.come_back);
            if Instant::now() + pause >= patience {
                break;
            }
            sleep(pause).await;
        }
        self.tally.note_outcome(arrival, last, started.elapsed());
        let id = self.id(arrival);
        self.tally.write(last, demand, &id, &self.body(arrival));
    }

    /// Returns the id of a request, as nodes write it.
    fn id(&self, arrival: &Arrival) -> String {
        format!("{:016x}{:016x}", self.seed, arrival.number)
    }

    /// Returns the body of a request, which no other request has.
    fn body(&self, arrival: &Arrival) -> String {
        let kind = &self.demands[arrival.demand].kind;
        format!("{kind}-{}-{}", self.seed, arrival.number)
    }

    fn pause(&self, come_back: Option<Duration>) -> Duration {
        match come_back {
            Some(after) if self.behaviour.obey => after,
            _ => {
                let pause = self.behaviour.pause.0;
                pause.mul_f64(rand::rng().random_range(0.5..1.5))
            }
        }
    }

    async fn attempt(
        &self,
        arrival: &Arrival,
        demand: &Demand,
        target: usize,
        ticket: &mut Option<String>,
        patience: Instant,
    ) -> Attempt {
        self.tally.note_attempt(arrival.demand);
        let needs_ticket = demand.repeat == Repeat::Never && self.behaviour.tickets;
        if needs_ticket && ticket.is_none() {
            match self.ticket(demand, target, patience).await {
                Ok(got) => *ticket = Some(got),
                Err(attempt) => return attempt,
            }
        }
        let body = self.body(arrival);
        let request = self.message(demand, arrival, &body, ticket.as_deref());
        let attempt = match self.exchange(target, request, patience).await {
            Ok(response) => self.judge(&body, &response),
            Err(error) => Attempt {
                outcome: if error.is_unsent() {
                    Outcome::NotRun
                } else {
                    Outcome::Unknown
                },
                come_back: None,
            },
        };
        if attempt.outcome == Outcome::NotRun {
            // A refusal closes the ticket for good.
            *ticket = None;
        }
        attempt
    }

    fn message(
        &self,
        demand: &Demand,
        arrival: &Arrival,
        body: &str,
        ticket: Option<&str>,
    ) -> Request {
        let method = Method::from_bytes(demand.route.method.as_bytes()).unwrap_or(Method::GET);
        let id = self.id(arrival);
        let timeout = self.behaviour.timeout.as_millis().to_string();
        let request = Request::new(method, demand.route.prefix.clone(), body.to_owned())
            .with(REQUEST, &id)
            .with(TIMEOUT, &timeout);
        match ticket {
            Some(ticket) => request.with(TICKET, ticket),
            None => request,
        }
    }

    async fn ticket(
        &self,
        demand: &Demand,
        target: usize,
        patience: Instant,
    ) -> Result<String, Attempt> {
        let request = Request::new(Method::POST, TICKETS, "").with(KIND, demand.kind.as_str());
        let response = self.exchange(target, request, patience).await.ok();
        let ticket = response
            .as_ref()
            .and_then(|response| response.header(TICKET));
        ticket.map(ToOwned::to_owned).ok_or(Attempt {
            outcome: Outcome::NotRun,
            come_back: response.as_ref().and_then(come_back),
        })
    }

    /// Sends a request over the distance and returns what comes back over it.
    async fn exchange(
        &self,
        target: usize,
        request: Request,
        patience: Instant,
    ) -> Result<Response, ExchangeError> {
        sleep(self.behaviour.distance.0).await;
        let deadline = (Instant::now() + self.behaviour.timeout.0).min(patience);
        let result = self.pools[target].exchange(request, deadline).await;
        sleep(self.behaviour.distance.0).await;
        result
    }

    fn judge(&self, body: &str, response: &Response) -> Attempt {
        let outcome = match response.header(OUTCOME) {
            Some("not-run") => Outcome::NotRun,
            Some("unknown") => Outcome::Unknown,
            _ if response.status.is_success() => self.compare(body, response),
            _ => Outcome::Failed,
        };
        Attempt {
            outcome,
            come_back: come_back(response),
        }
    }

    fn compare(&self, body: &str, response: &Response) -> Outcome {
        let checksum = format!("{:016x}", xxh3_64(body.as_bytes()));
        if response.body.len() < CHECKSUM_LENGTH {
            self.tally.short.set(self.tally.short.get() + 1);
        }
        if response.body.starts_with(checksum.as_bytes()) {
            Outcome::Complete
        } else {
            Outcome::Mixup
        }
    }
}

fn come_back(response: &Response) -> Option<Duration> {
    let millis = response.header(RETRY_AFTER_MS)?.parse().ok()?;
    Some(Duration::from_millis(millis))
}

/// Returns what a client must assume after two attempts: that it may have run goes first.
fn worse(earlier: Outcome, latest: Outcome) -> Outcome {
    let may_have_run = matches!(earlier, Outcome::Unknown | Outcome::Failed);
    if may_have_run && latest == Outcome::NotRun {
        return earlier;
    }
    latest
}
