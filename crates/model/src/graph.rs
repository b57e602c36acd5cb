//! What is served: services, kinds of requests and their calls, troubles.

use std::time::Duration;

use sailtrack_units::Importance;

/// One upstream of a service.
#[derive(Debug, Clone, Copy)]
pub struct Upstream {
    /// The failure domain that it stands in.
    pub domain: usize,
    /// How many requests it works on at once.
    pub slots: u32,
    /// How many times as fast as usual it works.
    pub speed: f64,
}

/// A service with its upstreams.
#[derive(Debug, Clone)]
pub struct Service {
    /// Its upstreams, at least one.
    pub upstreams: Vec<Upstream>,
}

/// Calls that a request makes, one after the other.
#[derive(Debug, Clone, Copy)]
pub struct Call {
    /// The kind of the calls, by its place in the graph.
    pub kind: usize,
    /// How many.
    pub times: u32,
}

/// A kind of requests.
#[derive(Debug, Clone)]
pub struct Kind {
    /// The service that it goes to, by its place in the graph.
    pub service: usize,
    /// How much its requests matter.
    pub importance: Importance,
    /// The requests of clients in a second; zero if only services make them.
    pub rate: f64,
    /// The work of its own upstream, without its calls.
    pub work: Duration,
    /// The time in which an answer is worth most to its caller.
    pub objective: Duration,
    /// How long a request may be kept waiting.
    pub timeout: Duration,
    /// How long a caller waits in all.
    pub patience: Duration,
    /// Whether it may run again after a failure.
    pub idempotent: bool,
    /// The calls that a request makes.
    pub calls: Vec<Call>,
}

/// Something that goes wrong for a while, in seconds from the start.
#[derive(Debug, Clone, Copy)]
pub enum Trouble {
    /// Clients send so many times as much.
    Burst {
        /// When it begins and ends.
        span: (f64, f64),
        /// How many times as much.
        factor: f64,
    },
    /// One upstream takes nothing.
    Gone {
        /// When it begins and ends.
        span: (f64, f64),
        /// Its service,
        service: usize,
        /// and its place among the upstreams there.
        upstream: usize,
    },
    /// The upstreams of a service work so many times as long.
    Slow {
        /// When it begins and ends.
        span: (f64, f64),
        /// The service.
        service: usize,
        /// How many times as long.
        factor: f64,
    },
}

impl Trouble {
    /// Returns true at this moment of the trouble.
    pub(crate) fn is_on(&self, at: f64) -> bool {
        let (Self::Burst { span, .. } | Self::Gone { span, .. } | Self::Slow { span, .. }) = self;
        (span.0..span.1).contains(&at)
    }
}

/// A service graph under load.
#[derive(Debug, Clone)]
pub struct Graph {
    /// The services.
    pub services: Vec<Service>,
    /// The kinds of requests; a kind only calls kinds that stand behind it.
    pub kinds: Vec<Kind>,
    /// How many failure domains there are.
    pub domains: usize,
    /// What goes wrong.
    pub troubles: Vec<Trouble>,
}

impl Graph {
    /// Returns how long a request takes at least if it never waits, in seconds; `speeds` are those
    /// of the upstreams that it meets, by service.
    pub(crate) fn shortest_time(&self, kind: usize, speeds: &[f64]) -> f64 {
        let own = &self.kinds[kind];
        let below = own.calls.iter().map(|call| {
            let time = self.shortest_time(call.kind, speeds);
            time * f64::from(call.times)
        });
        own.work.as_secs_f64() / speeds[own.service] + below.sum::<f64>()
    }

    /// Returns for how long one request of a kind holds slots of each service at least, in seconds:
    /// a slot is also held while calls are waited for.
    pub(crate) fn held_by_service(&self, kind: usize, speeds: &[f64]) -> Vec<f64> {
        let mut held = vec![0.0; self.services.len()];
        let own = &self.kinds[kind];
        held[own.service] += self.shortest_time(kind, speeds);
        for call in &own.calls {
            let below = self.held_by_service(call.kind, speeds);
            for (sum, part) in held.iter_mut().zip(below) {
                *sum += part * f64::from(call.times);
            }
        }
        held
    }

    /// Returns the speed of the fastest upstream of each service.
    pub(crate) fn fastest(&self) -> Vec<f64> {
        let services = self.services.iter().map(|service| {
            let speeds = service.upstreams.iter().map(|upstream| upstream.speed);
            speeds.fold(f64::MIN_POSITIVE, f64::max)
        });
        services.collect()
    }

    /// Returns how many requests of clients come in a second at this moment.
    pub(crate) fn rate(&self, kind: usize, at: f64) -> f64 {
        let bursts = self.troubles.iter().map(|trouble| match trouble {
            Trouble::Burst { factor, .. } if trouble.is_on(at) => *factor,
            _ => 1.0,
        });
        self.kinds[kind].rate * bursts.product::<f64>()
    }

    /// Returns true while an upstream takes nothing.
    pub(crate) fn is_gone(&self, of: usize, place: usize, at: f64) -> bool {
        self.troubles.iter().any(|trouble| match trouble {
            Trouble::Gone {
                service, upstream, ..
            } => (*service, *upstream) == (of, place) && trouble.is_on(at),
            _ => false,
        })
    }

    /// Returns how many times as long the upstreams of a service work at this moment.
    pub(crate) fn slowness(&self, of: usize, at: f64) -> f64 {
        let slow = self.troubles.iter().map(|trouble| match trouble {
            Trouble::Slow {
                service, factor, ..
            } if *service == of && trouble.is_on(at) => *factor,
            _ => 1.0,
        });
        slow.product()
    }
}
