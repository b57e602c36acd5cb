//! Selects the target of each request among the upstreams of a service.

mod load;
mod statistics;

use std::cell::{Cell, RefCell};
use std::fmt::Display;
use std::rc::Rc;
use std::time::Instant;

use sailtrack_admission::Admission;
use sailtrack_kernel::Service;
use sailtrack_log::{catalogue, emit};
use sailtrack_placement::{Candidate, Candidates, Locality, choose};
use sailtrack_quarantine::Identity;
use sailtrack_units::{Class, KindName, NodeName, ServiceName};

use load::is_latency_sample;
pub(crate) use load::{Levels, PeerLoad};
use statistics::History;
pub(crate) use statistics::Statistics;

use crate::gate::Upstream;
use crate::metrics::Metrics;
use crate::peer::{Group, Link, Peers};
use crate::request::{Request, Response};

/// The target of a request.
#[derive(Clone)]
pub(crate) enum Target {
    /// The own upstream.
    Local,
    /// The upstream of another node.
    Remote(Rc<Link>),
}

impl Target {
    /// Returns the name of the target node, which is `own` if the target is local.
    pub(crate) fn name<'a>(&'a self, own: &'a NodeName) -> &'a NodeName {
        match self {
            Self::Local => own,
            Self::Remote(link) => &link.member.name,
        }
    }
}

/// Selects the target of each request.
pub(crate) struct Routing {
    pub(crate) name: NodeName,
    pub(crate) service: ServiceName,
    pub(crate) peers: Rc<Peers>,
    pub(crate) upstream: Rc<Upstream>,
    pub(crate) admission: Rc<Admission>,
    /// Load and latency of the own upstream.
    pub(crate) local_load: Rc<RefCell<PeerLoad>>,
    /// Latencies and recent selections of each service.
    pub(crate) statistics: Statistics,
    pub(crate) metrics: Rc<Metrics>,
}

impl Service for Routing {
    const NAME: &'static str = "routing";
}

impl Routing {
    /// Selects a target, excluding the nodes that were already tried.
    ///
    /// Ejected nodes are excluded too, unless no other one is left.
    pub(crate) fn choose(&self, request: &Request, tried: &[NodeName]) -> Option<Target> {
        let now = Instant::now();
        let group = self.peers.for_service(&request.service).unwrap_or_default();
        let history = self.statistics.of(&request.service);
        let own_is_available = self.is_own_available(&request.service, tried, now);
        let estimate = history
            .latencies
            .borrow()
            .estimate(&request.kind, request.time_left());
        let levels = [&group.same_domain_levels, &group.other_domain_levels];
        let levels = levels.map(|levels| levels.borrow().at(now, request.class));
        let candidates = Candidates {
            // The own upstream comes after the other ones of the same failure domain.
            same_domain: group.same_domain.len() + usize::from(own_is_available),
            other_domains: group.other_domains.len(),
            lookup: |locality, index| match link(&group, locality, index) {
                Some(link) => candidate(link, request.class, tried, now),
                None => Some(self.own_candidate(request.class, now)),
            },
            pressure_gap: levels[0] - levels[1],
            shortlist: &history.shortlist,
        };
        let (locality, index) = choose(&candidates, &estimate, &mut rand::rng())?;
        if locality == Locality::OtherDomain && candidates.same_domain > 0 {
            self.metrics.record_other_domain(&request.service);
        }
        let link = link(&group, locality, index);
        Some(link.map_or(Target::Local, |link| Target::Remote(Rc::clone(link))))
    }

    /// Selects the target of a request suspected of crashing upstreams: all nodes choose the same
    /// upstream for it, and the same next one after that has crashed (rendezvous hashing).
    ///
    /// If such requests were balanced by load, those that crashed an upstream together would mostly
    /// be retried together.
    pub(crate) fn choose_by_identity(
        &self,
        service: &ServiceName,
        tried: &[NodeName],
        identity: &Identity,
    ) -> Option<Target> {
        let group = self.peers.for_service(service).unwrap_or_default();
        let links = group.same_domain.iter().chain(&group.other_domains);
        let remote = links
            .filter(|link| is_usable(link, tried))
            .map(|link| Target::Remote(Rc::clone(link)));
        let own_is_available = self.is_own_available(service, tried, Instant::now());
        let all = own_is_available
            .then_some(Target::Local)
            .into_iter()
            .chain(remote);
        all.max_by_key(|target| identity.preference(target.name(&self.name).as_str()))
    }

    /// Returns true if a target is neither ejected nor known to refuse requests for its rate limit.
    pub(crate) fn is_available(&self, target: &Target) -> bool {
        let now = Instant::now();
        match target {
            Target::Local => {
                self.local_load.borrow().is_available(now) && self.admission.has_rate_left(now)
            }
            Target::Remote(link) => link.load.borrow().is_available(now),
        }
    }

    /// Records that a request is sent to a target; the guard records its end.
    pub(crate) fn start(&self, request: &Request, target: &Target) -> InFlight {
        let owner = match target {
            Target::Local => Owner::Local(Rc::clone(&self.local_load)),
            Target::Remote(link) => Owner::Remote(Rc::clone(link)),
        };
        owner.with(|load| load.outstanding += 1);
        InFlight {
            owner,
            history: self.statistics.of(&request.service),
            class: request.class,
            kind: request.kind.clone(),
            started: Instant::now(),
            is_recorded: Cell::new(false),
            overdue: RefCell::default(),
        }
    }

    /// Returns true if the own upstream can be the target of a request to a service.
    fn is_own_available(&self, service: &ServiceName, tried: &[NodeName], now: Instant) -> bool {
        let is_eligible = *service == self.service && !tried.contains(&self.name);
        is_eligible && self.upstream.ready(now).is_some()
    }

    fn own_candidate(&self, class: Class, now: Instant) -> Candidate {
        let pressure = self.admission.pressure(now, class);
        let slots = self.upstream.slots();
        let local = self.local_load.borrow();
        let candidate = local.candidate(now, slots, class, Some(pressure));
        Candidate {
            is_available: candidate.is_available && self.admission.has_rate_left(now),
            ..candidate
        }
    }
}

/// Returns the link at an index, or `None` for the own upstream.
fn link(group: &Group, locality: Locality, index: usize) -> Option<&Rc<Link>> {
    match locality {
        Locality::SameDomain => group.same_domain.get(index),
        Locality::OtherDomain => group.other_domains.get(index),
    }
}

fn is_usable(link: &Link, tried: &[NodeName]) -> bool {
    link.is_serving() && !tried.contains(&link.member.name)
}

fn candidate(link: &Link, class: Class, tried: &[NodeName], now: Instant) -> Option<Candidate> {
    let load = || link.load.borrow();
    let candidate = || load().candidate(now, link.slots(), class, None);
    is_usable(link, tried).then(candidate)
}

/// Holds the load statistics of a target.
enum Owner {
    Local(Rc<RefCell<PeerLoad>>),
    Remote(Rc<Link>),
}

impl Owner {
    fn with<T>(&self, change: impl FnOnce(&mut PeerLoad) -> T) -> T {
        match self {
            Self::Local(load) => change(&mut load.borrow_mut()),
            Self::Remote(link) => change(&mut link.load.borrow_mut()),
        }
    }

    /// Returns the name of the node for log events.
    fn name(&self) -> &str {
        match self {
            Self::Local(_) => "own",
            Self::Remote(link) => link.member.name.as_str(),
        }
    }
}

/// A request in flight to a target.
pub(crate) struct InFlight {
    owner: Owner,
    history: Rc<History>,
    class: Class,
    kind: KindName,
    started: Instant,
    is_recorded: Cell<bool>,
    /// What it ends with if its response, which is overdue, does not come.
    overdue: RefCell<Option<Response>>,
}

impl InFlight {
    /// Records the result of the request; a failure counts once.
    pub(crate) fn record(&self, response: &Response) {
        if self.is_recorded.replace(true) && !response.is_success() {
            return;
        }
        let now = Instant::now();
        let ejection = self
            .owner
            .with(|load| load.record(now, self.class, response));
        if let Some(ejection) = ejection {
            let node = self.owner.name();
            let fields: [(&str, &dyn Display); 2] =
                [("node", &node), ("for_ms", &ejection.as_millis())];
            emit(&catalogue::NODE_LEFT_OUT, &fields);
        }
        if is_latency_sample(response) {
            self.record_latency(Some(response));
        }
    }

    /// Records that the response is overdue, which counts as a failure if none comes.
    pub(crate) fn record_overdue(&self, response: &Response) {
        *self.overdue.borrow_mut() = response.try_clone();
    }

    fn record_latency(&self, response: Option<&Response>) {
        let now = Instant::now();
        let time = now.saturating_duration_since(self.started);
        let mut latencies = self.history.latencies.borrow_mut();
        self.owner.with(|load| {
            load.record_latency(
                now,
                &mut latencies,
                (self.class, &self.kind),
                time,
                response,
            );
        });
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let overdue = self.overdue.take();
        match overdue {
            _ if self.is_recorded.get() => {}
            Some(response) => self.record(&response),
            // The caller no longer waits; the elapsed time is still a lower bound of the latency.
            None => self.record_latency(None),
        }
        self.owner.with(|load| load.outstanding -= 1);
    }
}
