//! Connections between nodes. Each node keeps a link to every other node that it knows.

mod accept;
mod convert;
mod intake;
mod link;
mod reassembly;
mod response;
mod source;

use std::cell::RefCell;
use std::collections::{BTreeMap, HashSet};
use std::net::IpAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::StreamExt as _;
use futures::stream::FuturesUnordered;
use rand::seq::IteratorRandom as _;
use sailtrack_kernel::Service;
use sailtrack_net::task;
use sailtrack_quarantine::Execution;
use sailtrack_units::{DomainName, Era, Incarnation, Moment, NodeName, ServiceName};
use sailtrack_wire::{Evidence, Member as MemberMessage, Presence};

pub(crate) use accept::Acceptor;
pub(crate) use link::{Delivery, Link};

use crate::directory::{Member, Observer};
use crate::incarnation;
use crate::key::UpstreamKey;
use crate::routing::{Levels, PeerLoad};
use crate::store::StoreTime;
use crate::watch::Priority;

/// How long after the loss of its connection a node without a row is forgotten.
const FORGET_DELAY: Duration = Duration::from_secs(2);
/// Number of peers that must record a retired upstream if the store does not respond.
const RETIREMENT_REPLICAS: usize = 2;

/// The local node as seen by its links: provides its state and handles messages of peers.
pub(crate) trait Delegate {
    /// Returns the interval between two presence messages of a node.
    fn heartbeat_interval(&self) -> Duration;

    /// Returns the entry of the local node that is sent in the handshake.
    fn local_member(&self) -> MemberMessage;

    /// Handles a presence message.
    fn handle_presence(&self, from: &NodeName, presence: &Presence);

    /// Returns true if a peer should be asked for a reading of the store's clock.
    fn wants_store_time(&self) -> bool;

    /// Handles an upper bound of the store's clock at the local time `at`, in an era of the store.
    fn handle_store_time(&self, era: Era, at: Moment, bound: StoreTime);

    /// Handles the crash records of a peer.
    fn handle_evidence(&self, evidence: &Evidence);

    /// Handles that an upstream said in a response that it is leaving.
    fn handle_leaving(&self, upstream: &UpstreamKey);

    /// Returns true if an incarnation of an upstream is leaving or has left.
    fn is_retired(&self, upstream: &UpstreamKey) -> bool;

    /// Handles the crash of an incarnation of an upstream, with the requests that this node had in
    /// flight there.
    fn handle_crash(&self, upstream: &UpstreamKey, executions: &[Execution]);
}

/// The links to the nodes of one service, with the average load of their upstreams.
#[derive(Clone, Default)]
pub(crate) struct Group {
    /// Links to nodes in the failure domain of this node.
    pub(crate) same_domain: Vec<Rc<Link>>,
    /// Links to nodes in other failure domains.
    pub(crate) other_domains: Vec<Rc<Link>>,
    /// Load of the upstreams in the same domain together, including the local one.
    pub(crate) same_domain_levels: Rc<RefCell<Levels>>,
    /// Load of the upstreams in other domains together.
    pub(crate) other_domain_levels: Rc<RefCell<Levels>>,
}

/// The links to all known nodes.
pub(crate) struct Peers {
    source: IpAddr,
    domain: DomainName,
    delegate: Rc<dyn Delegate>,
    links: RefCell<BTreeMap<NodeName, Rc<Link>>>,
    by_service: RefCell<BTreeMap<ServiceName, Rc<Group>>>,
}

impl Service for Peers {
    const NAME: &'static str = "peers";
}

impl Peers {
    pub(crate) fn new(source: IpAddr, domain: DomainName, delegate: Rc<dyn Delegate>) -> Self {
        Self {
            source,
            domain,
            delegate,
            links: RefCell::default(),
            by_service: RefCell::default(),
        }
    }

    /// Returns the links to the nodes of a service.
    pub(crate) fn for_service(&self, service: &ServiceName) -> Option<Rc<Group>> {
        self.by_service.borrow().get(service).cloned()
    }

    /// Returns a load record for the local upstream, which counts as one of the same domain.
    pub(crate) fn local_load(&self, service: &ServiceName) -> Rc<RefCell<PeerLoad>> {
        let mut by_service = self.by_service.borrow_mut();
        let group = by_service.entry(service.clone()).or_default();
        Rc::new(RefCell::new(PeerLoad::with_levels(
            &group.same_domain_levels,
        )))
    }

    /// Returns the links to nodes whose upstreams have been sent requests by this node.
    pub(crate) fn with_known_load(&self) -> Vec<Rc<Link>> {
        let links = self.links.borrow();
        let used = links.values().filter(|link| link.load.borrow().is_known());
        used.cloned().collect()
    }

    /// Returns the link to a node.
    pub(crate) fn get(&self, name: &NodeName) -> Option<Rc<Link>> {
        self.links.borrow().get(name).cloned()
    }

    /// Returns the number of open links.
    pub(crate) fn open_count(&self) -> usize {
        let links = self.links.borrow();
        links.values().filter(|link| link.is_open()).count()
    }

    /// Returns the number of other nodes that accept requests for their upstreams.
    pub(crate) fn serving_count(&self) -> usize {
        let links = self.links.borrow();
        links.values().filter(|link| link.is_serving()).count()
    }

    /// Returns true if more than half of the connected nodes were started at least `time` before
    /// this incarnation of the local node.
    pub(crate) fn majority_started_before(&self, incarnation: Incarnation, time: Duration) -> bool {
        let links = self.links.borrow();
        let open: Vec<_> = links.values().filter(|link| link.is_open()).collect();
        let is_older = |link: &&&Rc<Link>| {
            incarnation::start_difference(link.incarnation(), incarnation) >= time
        };
        open.iter().filter(is_older).count() * 2 > open.len()
    }

    /// Returns the number of nodes in a failure domain that take precedence over one of the given
    /// priority as watchers of the store.
    pub(crate) fn watchers_ahead_of(&self, priority: Priority, domain: &DomainName) -> usize {
        let links = self.links.borrow();
        let ahead = links
            .values()
            .filter(|link| link.member.domain == *domain && link.priority() < priority);
        ahead.filter(|link| link.can_watch()).count()
    }

    /// Returns the link to the quota allocator of a failure domain, if it is responsive.
    pub(crate) fn allocator_of(&self, domain: &DomainName) -> Option<Rc<Link>> {
        let links = self.links.borrow();
        let members = links.values().filter(|link| link.member.domain == *domain);
        let allocators = members.filter(|link| link.quota_term() > 0 && link.is_open());
        let allocator = allocators.max_by_key(|link| link.quota_term());
        allocator.filter(|link| !link.is_silent()).cloned()
    }

    /// Returns a link to a responsive quota allocator of any failure domain, chosen at random.
    pub(crate) fn any_allocator(&self) -> Option<Rc<Link>> {
        let links = self.links.borrow();
        let allocators = links.values().filter(|link| link.quota_term() > 0);
        let responsive = allocators.filter(|link| link.is_open() && !link.is_silent());
        responsive.cloned().choose(&mut rand::rng())
    }

    /// Returns the number of failure domains of the known nodes, not counting `own`.
    pub(crate) fn other_domain_count(&self, own: &DomainName) -> usize {
        let links = self.links.borrow();
        let domains = links.values().map(|link| &link.member.domain);
        let others: HashSet<_> = domains.filter(|domain| *domain != own).collect();
        others.len()
    }

    /// Returns true if a node responds now and runs as another incarnation than the given one.
    ///
    /// That a connection is open says less: its other end may have been killed without a sign, and
    /// the given incarnation started since.
    pub(crate) async fn runs_as_other_incarnation(
        &self,
        name: &NodeName,
        incarnation: Incarnation,
    ) -> bool {
        let link = self.get(name).filter(|link| link.is_open());
        match link.filter(|link| link.incarnation() != incarnation) {
            Some(link) => link.responds().await,
            None => false,
        }
    }

    /// Sends no requests to an incarnation of an upstream of another node that has retired.
    pub(crate) fn handle_retirement(&self, upstream: &UpstreamKey) {
        for link in self.links.borrow().values() {
            link.handle_retirement(upstream);
        }
    }

    /// Returns true if the connected peers know of every retirement that was acknowledged at least
    /// `age` before this incarnation of the local node started.
    ///
    /// There are two copies of each at least, so one peer may be missing. One that started later
    /// may have forgotten it.
    pub(crate) fn remember_retirements(&self, incarnation: Incarnation, age: Duration) -> bool {
        let links = self.links.borrow();
        let remembers = |link: &&Rc<Link>| {
            let age_difference = incarnation::start_difference(link.incarnation(), incarnation);
            link.is_introduced() && age_difference >= age
        };
        let remembering = links.values().filter(remembers).count();
        links.len() >= RETIREMENT_REPLICAS && remembering + RETIREMENT_REPLICAS > links.len()
    }

    /// Replicates the retirement of an upstream to peers; returns the number of copies once there
    /// are enough, or zero.
    pub(crate) async fn replicate_retirement(&self, upstream: &UpstreamKey) -> usize {
        let links: Vec<Rc<Link>> = self.links.borrow().values().cloned().collect();
        let wanted = RETIREMENT_REPLICAS.min(links.len()).max(1);
        let requests = links.iter().map(|link| link.replicate_retirement(upstream));
        let requests: FuturesUnordered<_> = requests.collect();
        let recorded = requests.filter(|recorded| std::future::ready(*recorded));
        let copies = recorded.take(wanted).count().await;
        if copies == wanted { copies } else { 0 }
    }

    /// Returns the nodes that have been unreachable for at least `time`.
    pub(crate) fn unreachable_for(&self, time: Duration) -> Vec<NodeName> {
        let now = Instant::now();
        let links = self.links.borrow();
        let unreachable = links
            .iter()
            .filter(|(_, link)| link.unreachable_for(now) >= time);
        unreachable.map(|(name, _)| name.clone()).collect()
    }

    /// Sends a ping to every node.
    pub(crate) fn ping_all(&self) {
        for link in self.links.borrow().values() {
            link.ping();
        }
    }

    fn drop_link(&self, name: &NodeName) {
        if let Some(link) = self.links.borrow_mut().remove(name) {
            link.close();
            let mut by_service = self.by_service.borrow_mut();
            if let Some(group) = by_service.get_mut(&link.member.service) {
                let group = Rc::make_mut(group);
                group.same_domain.retain(|other| other.member.name != *name);
                group
                    .other_domains
                    .retain(|other| other.member.name != *name);
            }
        }
    }
}

impl Observer for Peers {
    fn joined(&self, member: &Rc<Member>) {
        self.drop_link(&member.name);
        let link = Link::new(Rc::clone(member), self.source, Rc::clone(&self.delegate));
        let mut by_service = self.by_service.borrow_mut();
        let group = by_service.entry(member.service.clone()).or_default();
        let group = Rc::make_mut(group);
        let (links, levels) = if member.domain == self.domain {
            (&mut group.same_domain, &group.same_domain_levels)
        } else {
            (&mut group.other_domains, &group.other_domain_levels)
        };
        link.load.replace(PeerLoad::with_levels(levels));
        links.push(Rc::clone(&link));
        let name = member.name.clone();
        self.links.borrow_mut().insert(name, Rc::clone(&link));
        task::spawn("peer link", link.run());
    }

    fn should_forget(&self, member: &Member) -> bool {
        let unreachable = self
            .get(&member.name)
            .is_none_or(|link| link.unreachable_for(Instant::now()) > FORGET_DELAY);
        if unreachable {
            self.drop_link(&member.name);
        }
        unreachable
    }
}
