//! Chooses which upstream of a service gets a request.

mod load;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use rand::seq::SliceRandom as _;
use sailtrack_admission::{Admission, Pressure};
use sailtrack_kernel::Service;
use sailtrack_quarantine::Identity;
use sailtrack_units::{DomainName, Importance, NodeName, ServiceName};

pub(crate) use load::PeerLoad;

use crate::gate::Upstream;
use crate::peer::{Link, Peers};
use crate::work::Returned;

/// An upstream of another failure domain is preferred if the near one fails this much more of its
/// requests lately. A loss of a tenth outweighs the price of an answer between failure domains.
const FAILING_MARGIN: f64 = 0.1;

/// Where a request goes.
#[derive(Clone)]
pub(crate) enum Target {
    /// To the own upstream.
    Local,
    /// To the upstream beside another node.
    Remote(Rc<Link>),
}

impl Target {
    /// Returns the name of the node, which is this one if the target is local.
    pub(crate) fn name<'a>(&'a self, own: &'a NodeName) -> &'a NodeName {
        match self {
            Self::Local => own,
            Self::Remote(link) => &link.member.name,
        }
    }
}

/// Chooses which upstream of a service gets a request.
pub(crate) struct Routing {
    pub(crate) name: NodeName,
    pub(crate) service: ServiceName,
    pub(crate) domain: DomainName,
    pub(crate) peers: Rc<Peers>,
    pub(crate) upstream: Rc<Upstream>,
    pub(crate) admission: Rc<Admission>,
    /// What is known about the own upstream.
    pub(crate) local: Rc<RefCell<PeerLoad>>,
}

impl Service for Routing {
    const NAME: &'static str = "routing";
}

/// A possible target with what speaks for and against it.
struct Candidate {
    target: Target,
    /// It stands in the own failure domain.
    is_near: bool,
    /// It did not fail too often lately.
    is_available: bool,
    pressure: Pressure,
    /// The share of its requests that failed lately.
    failing: f64,
    /// How long an answer takes there, in seconds, if that is known.
    time: Option<f64>,
    /// How many times as long one more request is expected to take.
    weight: f64,
}

impl Candidate {
    /// Returns true if a target in another failure domain is preferred to a near one.
    fn is_worth_its_way(&self, near: &Self) -> bool {
        let is_sounder = self.failing + FAILING_MARGIN < near.failing;
        let has_room = self.pressure < Pressure::FULL;
        (is_sounder && has_room) || near.pressure.spills_to(self.pressure)
    }
}

impl Routing {
    /// Returns where a request to a service goes, leaving out the nodes that were tried.
    ///
    /// Nodes that failed lately are left out too, unless there is no other one.
    pub(crate) fn choose(&self, service: &ServiceName, tried: &[NodeName]) -> Option<Target> {
        let now = Instant::now();
        let all = self.candidates(service, tried, now);
        let is_left = all.iter().any(|candidate| candidate.is_available);
        let usable = all
            .into_iter()
            .filter(|candidate| candidate.is_available || !is_left);
        let (near, far): (Vec<_>, Vec<_>) = usable.partition(|candidate| candidate.is_near);
        match (pick(near), pick(far)) {
            (Some(near), Some(far)) if far.is_worth_its_way(&near) => Some(far.target),
            (near, far) => near.or(far).map(|candidate| candidate.target),
        }
    }

    /// Returns where a request goes that may end what runs it: to the same upstream whichever node
    /// sends it, and to another one after that has ended.
    ///
    /// Requests that were lost together part here. Sent by load alone, 7 of 9 that one crash lost
    /// met the next one together as well.
    pub(crate) fn preferred(
        &self,
        service: &ServiceName,
        tried: &[NodeName],
        identity: &Identity,
    ) -> Option<Target> {
        let all = self.candidates(service, tried, Instant::now());
        let preferred = all.into_iter().max_by_key(|candidate| {
            let node = candidate.target.name(&self.name);
            identity.preference(node.as_str())
        });
        preferred.map(|candidate| candidate.target)
    }

    fn candidates(
        &self,
        service: &ServiceName,
        tried: &[NodeName],
        now: Instant,
    ) -> Vec<Candidate> {
        let links = self.peers.of_service(service);
        let usable = links
            .into_iter()
            .filter(|link| link.is_serving() && !tried.contains(&link.member.name));
        let remote = usable.map(|link| {
            let is_near = link.member.domain == self.domain;
            remote(link, is_near, now)
        });
        self.local(service, tried, now)
            .into_iter()
            .chain(remote)
            .collect()
    }

    /// Notes that a request goes to a target; the guard notes its end.
    pub(crate) fn begin(&self, target: &Target) -> Outstanding {
        let load = match target {
            Target::Local => Load::Local(Rc::clone(&self.local)),
            Target::Remote(link) => Load::Remote(Rc::clone(link)),
        };
        load.with(|load| load.outstanding += 1);
        Outstanding {
            load,
            began: Instant::now(),
        }
    }

    fn local(&self, service: &ServiceName, tried: &[NodeName], now: Instant) -> Option<Candidate> {
        let is_own = *service == self.service && !tried.contains(&self.name);
        if !is_own || self.upstream.ready(now).is_none() {
            return None;
        }
        let load = self.local.borrow();
        Some(Candidate {
            target: Target::Local,
            is_near: true,
            is_available: load.is_available(now),
            pressure: self.admission.pressure(now, Importance::Normal),
            failing: load.failing(now),
            time: load.time(now),
            weight: load.weight(now, self.upstream.slots()),
        })
    }
}

fn remote(link: Rc<Link>, is_near: bool, now: Instant) -> Candidate {
    let slots = link.slots();
    let load = link.load.borrow();
    let pressure = load.pressure(now, slots);
    let (time, weight) = (load.time(now), load.weight(now, slots));
    let failing = load.failing(now);
    let is_available = load.is_available(now);
    drop(load);
    Candidate {
        target: Target::Remote(link),
        is_near,
        is_available,
        pressure,
        failing,
        time,
        weight,
    }
}

/// Returns the better of two random candidates.
fn pick(candidates: Vec<Candidate>) -> Option<Candidate> {
    let usual = mean_time(&candidates);
    // In any order, or the first one would win every draw.
    let mut two: Vec<usize> = (0..candidates.len()).collect();
    two.shuffle(&mut rand::rng());
    two.truncate(2);
    let cost = |place: &usize| {
        let candidate = &candidates[*place];
        candidate.time.unwrap_or(usual) * candidate.weight
    };
    let best = two
        .into_iter()
        .min_by(|one, other| cost(one).total_cmp(&cost(other)))?;
    candidates.into_iter().nth(best)
}

/// Returns the time that is assumed of candidates about which nothing is known.
///
/// With a fixed one a new upstream would get nothing beside others that are quicker.
#[allow(clippy::cast_precision_loss)]
fn mean_time(candidates: &[Candidate]) -> f64 {
    let known: Vec<f64> = candidates
        .iter()
        .filter_map(|candidate| candidate.time)
        .collect();
    if known.is_empty() {
        return 1.0;
    }
    known.iter().sum::<f64>() / known.len() as f64
}

/// Where the load of a target is kept.
enum Load {
    Local(Rc<RefCell<PeerLoad>>),
    Remote(Rc<Link>),
}

impl Load {
    fn with(&self, change: impl FnOnce(&mut PeerLoad)) {
        match self {
            Self::Local(load) => change(&mut load.borrow_mut()),
            Self::Remote(link) => change(&mut link.load.borrow_mut()),
        }
    }
}

/// A request that is on its way to a target.
pub(crate) struct Outstanding {
    load: Load,
    began: Instant,
}

impl Outstanding {
    /// Notes what became of the request.
    pub(crate) fn note(&self, returned: &Returned) {
        let now = Instant::now();
        let time: Duration = now.saturating_duration_since(self.began);
        self.load.with(|load| load.note(now, time, returned));
    }
}

impl Drop for Outstanding {
    fn drop(&mut self) {
        self.load.with(|load| load.outstanding -= 1);
    }
}
