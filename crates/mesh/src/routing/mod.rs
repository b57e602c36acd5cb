//! Chooses which upstream of a service gets a request.

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

use load::tells_time;
pub(crate) use load::{Levels, PeerLoad};
use statistics::History;
pub(crate) use statistics::Statistics;

use crate::gate::Upstream;
use crate::metrics::Metrics;
use crate::peer::{Group, Link, Peers};
use crate::request::{Request, Response};

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
    pub(crate) peers: Rc<Peers>,
    pub(crate) upstream: Rc<Upstream>,
    pub(crate) admission: Rc<Admission>,
    /// What is known about the own upstream.
    pub(crate) local_load: Rc<RefCell<PeerLoad>>,
    /// What is known about services.
    pub(crate) statistics: Statistics,
    pub(crate) metrics: Rc<Metrics>,
}

impl Service for Routing {
    const NAME: &'static str = "routing";
}

impl Routing {
    /// Returns where a request goes, leaving out the nodes that were tried.
    ///
    /// Nodes that failed lately are left out too, unless there is no other one.
    pub(crate) fn choose(&self, work: &Request, tried: &[NodeName]) -> Option<Target> {
        let now = Instant::now();
        let placed = self.peers.for_service(&work.service).unwrap_or_default();
        let history = self.statistics.of(&work.service);
        let is_own = self.takes(&work.service, tried, now);
        let need = history
            .times
            .borrow()
            .estimate(&work.kind, work.time_left());
        let levels = [&placed.same_domain_levels, &placed.other_domain_levels];
        let levels = levels.map(|levels| levels.borrow().at(now, work.class));
        let sides = Candidates {
            // The own upstream comes after the other near ones.
            same_domain: placed.same_domain.len() + usize::from(is_own),
            other_domains: placed.other_domains.len(),
            lookup: |side, place| match link(&placed, side, place) {
                Some(link) => look(link, work.class, tried, now),
                None => Some(self.look_at_own(work.class, now)),
            },
            pressure_gap: levels[0] - levels[1],
            shortlist: &history.recent,
        };
        let (side, place) = choose(&sides, &need, &mut rand::rng())?;
        if side == Locality::OtherDomain && sides.same_domain > 0 {
            self.metrics.record_other_domain(&work.service);
        }
        let link = link(&placed, side, place);
        Some(link.map_or(Target::Local, |link| Target::Remote(Rc::clone(link))))
    }

    /// Returns where a request goes that may end what runs it: to the same upstream whichever node
    /// sends it, and to another one after that has ended.
    ///
    /// Sent by load alone, requests that were lost together would mostly meet again.
    pub(crate) fn preferred(
        &self,
        service: &ServiceName,
        tried: &[NodeName],
        identity: &Identity,
    ) -> Option<Target> {
        let placed = self.peers.for_service(service).unwrap_or_default();
        let links = placed.same_domain.iter().chain(&placed.other_domains);
        let remote = links
            .filter(|link| is_usable(link, tried))
            .map(|link| Target::Remote(Rc::clone(link)));
        let is_own = self.takes(service, tried, Instant::now());
        let all = is_own.then_some(Target::Local).into_iter().chain(remote);
        all.max_by_key(|target| identity.preference(target.name(&self.name).as_str()))
    }

    /// Notes that a request goes to a target; the guard notes its end.
    pub(crate) fn begin(&self, work: &Request, target: &Target) -> Outstanding {
        let owner = match target {
            Target::Local => Owner::Local(Rc::clone(&self.local_load)),
            Target::Remote(link) => Owner::Remote(Rc::clone(link)),
        };
        owner.with(|load| load.outstanding += 1);
        Outstanding {
            owner,
            history: self.statistics.of(&work.service),
            class: work.class,
            kind: work.kind.clone(),
            began: Instant::now(),
            is_noted: Cell::new(false),
        }
    }

    /// Returns true if the own upstream may get a request to a service.
    fn takes(&self, service: &ServiceName, tried: &[NodeName], now: Instant) -> bool {
        let is_own = *service == self.service && !tried.contains(&self.name);
        is_own && self.upstream.ready(now).is_some()
    }

    fn look_at_own(&self, class: Class, now: Instant) -> Candidate {
        let pressure = self.admission.pressure(now, class);
        let slots = self.upstream.slots();
        let local = self.local_load.borrow();
        local.candidate(now, slots, class, Some(pressure))
    }
}

/// Returns the link in a place, or nothing for the own upstream.
fn link(placed: &Group, side: Locality, place: usize) -> Option<&Rc<Link>> {
    match side {
        Locality::SameDomain => placed.same_domain.get(place),
        Locality::OtherDomain => placed.other_domains.get(place),
    }
}

fn is_usable(link: &Link, tried: &[NodeName]) -> bool {
    link.is_serving() && !tried.contains(&link.member.name)
}

fn look(link: &Link, class: Class, tried: &[NodeName], now: Instant) -> Option<Candidate> {
    let load = || link.load.borrow();
    let candidate = || load().candidate(now, link.slots(), class, None);
    is_usable(link, tried).then(candidate)
}

/// Who keeps what is known of the load of a target.
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

    /// Returns the name of the node for the log.
    fn name(&self) -> &str {
        match self {
            Self::Local(_) => "own",
            Self::Remote(link) => link.member.name.as_str(),
        }
    }
}

/// A request that is on its way to a target.
pub(crate) struct Outstanding {
    owner: Owner,
    history: Rc<History>,
    class: Class,
    kind: KindName,
    began: Instant,
    is_noted: Cell<bool>,
}

impl Outstanding {
    /// Notes what became of the request.
    pub(crate) fn note(&self, returned: &Response) {
        self.is_noted.set(true);
        let now = Instant::now();
        let pause = self.owner.with(|load| load.note(now, self.class, returned));
        if let Some(pause) = pause {
            let node = self.owner.name();
            let fields: [(&str, &dyn Display); 2] =
                [("node", &node), ("for_ms", &pause.as_millis())];
            emit(&catalogue::NODE_LEFT_OUT, &fields);
        }
        if tells_time(returned) {
            self.learn(Some(returned));
        }
    }

    fn learn(&self, returned: Option<&Response>) {
        let now = Instant::now();
        let time = now.saturating_duration_since(self.began);
        let mut times = self.history.times.borrow_mut();
        self.owner
            .with(|load| load.note_time(now, &mut times, (self.class, &self.kind), time, returned));
    }
}

impl Drop for Outstanding {
    fn drop(&mut self) {
        if !self.is_noted.get() {
            // Nobody waits any longer; how long it took so far tells something all the same.
            self.learn(None);
        }
        self.owner.with(|load| load.outstanding -= 1);
    }
}
