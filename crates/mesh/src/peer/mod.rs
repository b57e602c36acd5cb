//! Connections between nodes.

mod accept;
mod convert;
mod link;
mod reassembly;
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

/// A node whose row is gone is kept while it can be reached, and this long after.
const LOST_TIME: Duration = Duration::from_secs(2);
/// How many other nodes must remember a leaving upstream while the store does not answer.
const WITNESSES: usize = 2;

/// What a link needs to know of its own node, and whom it tells of the other one.
pub(crate) trait Delegate {
    /// Returns how often nodes say what they are like.
    fn heartbeat_interval(&self) -> Duration;

    /// Returns what a connection begins with.
    fn local_member(&self) -> MemberMessage;

    /// Takes in what another node says.
    fn handle_presence(&self, from: &NodeName, presence: &Presence);

    /// Returns true if another node is to be asked what the store's clock shows.
    fn wants_store_time(&self) -> bool;

    /// Takes in that the store's clock showed at most this at that moment, in an era of the store.
    fn handle_store_time(&self, era: Era, at: Moment, at_most: StoreTime);

    /// Takes in what another node knows of requests that may end upstreams.
    fn handle_evidence(&self, evidence: &Evidence);

    /// Takes in that a life of an upstream ended unannounced, with these requests of this node.
    fn handle_crash(&self, upstream: &UpstreamKey, ran: &[Execution]);
}

/// The links to the nodes of one service.
#[derive(Clone, Default)]
pub(crate) struct Group {
    /// Those in the own failure domain,
    pub(crate) same_domain: Vec<Rc<Link>>,
    /// and those in the others.
    pub(crate) other_domains: Vec<Rc<Link>>,
    /// How full the near ones are together,
    pub(crate) same_domain_levels: Rc<RefCell<Levels>>,
    /// and the far ones.
    pub(crate) other_domain_levels: Rc<RefCell<Levels>>,
}

/// The links to all nodes that are known.
pub(crate) struct Peers {
    source: IpAddr,
    domain: DomainName,
    news: Rc<dyn Delegate>,
    links: RefCell<BTreeMap<NodeName, Rc<Link>>>,
    by_service: RefCell<BTreeMap<ServiceName, Rc<Group>>>,
}

impl Service for Peers {
    const NAME: &'static str = "peers";
}

impl Peers {
    pub(crate) fn new(source: IpAddr, domain: DomainName, news: Rc<dyn Delegate>) -> Self {
        Self {
            source,
            domain,
            news,
            links: RefCell::default(),
            by_service: RefCell::default(),
        }
    }

    /// Returns the links to the nodes of a service.
    pub(crate) fn for_service(&self, service: &ServiceName) -> Option<Rc<Group>> {
        self.by_service.borrow().get(service).cloned()
    }

    /// Returns what is kept about the own upstream, which counts among the near ones.
    pub(crate) fn local_load(&self, service: &ServiceName) -> Rc<RefCell<PeerLoad>> {
        let mut by_service = self.by_service.borrow_mut();
        let placed = by_service.entry(service.clone()).or_default();
        Rc::new(RefCell::new(PeerLoad::with_levels(
            &placed.same_domain_levels,
        )))
    }

    /// Returns the links to nodes whose upstreams this node has sent requests to.
    pub(crate) fn with_known_load(&self) -> Vec<Rc<Link>> {
        let links = self.links.borrow();
        let used = links.values().filter(|link| link.load.borrow().is_known());
        used.cloned().collect()
    }

    /// Returns the link to a node.
    pub(crate) fn get(&self, name: &NodeName) -> Option<Rc<Link>> {
        self.links.borrow().get(name).cloned()
    }

    /// Returns how many links are open.
    pub(crate) fn open_count(&self) -> usize {
        let links = self.links.borrow();
        links.values().filter(|link| link.is_open()).count()
    }

    /// Returns how many other nodes take requests for their upstreams.
    pub(crate) fn serving_count(&self) -> usize {
        let links = self.links.borrow();
        links.values().filter(|link| link.is_serving()).count()
    }

    /// Returns true if more of the nodes that can be reached were started at least `time` before
    /// this life than after.
    pub(crate) fn majority_started_before(&self, life: Incarnation, time: Duration) -> bool {
        let links = self.links.borrow();
        let open: Vec<_> = links.values().filter(|link| link.is_open()).collect();
        let is_older =
            |link: &&&Rc<Link>| incarnation::start_difference(link.incarnation(), life) >= time;
        open.iter().filter(is_older).count() * 2 > open.len()
    }

    /// Returns how many nodes of a failure domain follow the store before one in this place.
    pub(crate) fn watchers_ahead_of(&self, place: Priority, domain: &DomainName) -> usize {
        let links = self.links.borrow();
        let before = links
            .values()
            .filter(|link| link.member.domain == *domain && link.priority() < place);
        before.filter(|link| link.can_watch()).count()
    }

    /// Returns the link to the node that keeps the tokens of a failure domain, if it is heard from.
    pub(crate) fn allocator_of(&self, domain: &DomainName) -> Option<Rc<Link>> {
        let links = self.links.borrow();
        let near = links.values().filter(|link| link.member.domain == *domain);
        let allocators = near.filter(|link| link.quota_term() > 0 && link.is_open());
        let allocator = allocators.max_by_key(|link| link.quota_term());
        allocator.filter(|link| !link.is_silent()).cloned()
    }

    /// Returns a link to a node that keeps the tokens of some failure domain, drawn at random.
    pub(crate) fn any_allocator(&self) -> Option<Rc<Link>> {
        let links = self.links.borrow();
        let allocators = links.values().filter(|link| link.quota_term() > 0);
        let heard = allocators.filter(|link| link.is_open() && !link.is_silent());
        heard.cloned().choose(&mut rand::rng())
    }

    /// Returns how many failure domains the known nodes stand in.
    pub(crate) fn other_domain_count(&self, own: &DomainName) -> usize {
        let links = self.links.borrow();
        let domains = links.values().map(|link| &link.member.domain);
        let others: HashSet<_> = domains.filter(|domain| *domain != own).collect();
        others.len()
    }

    /// Returns true if a node is known to run in another life than this.
    pub(crate) fn has_other_incarnation(&self, name: &NodeName, life: Incarnation) -> bool {
        let links = self.links.borrow();
        let link = links.get(name).filter(|link| link.is_open());
        link.is_some_and(|link| link.incarnation() != life)
    }

    /// Asks other nodes to remember that an upstream leaves; returns true once enough do.
    pub(crate) async fn replicate_retirement(&self, upstream: &UpstreamKey) -> bool {
        let links: Vec<Rc<Link>> = self.links.borrow().values().cloned().collect();
        let wanted = WITNESSES.min(links.len()).max(1);
        let asked = links.iter().map(|link| link.replicate_retirement(upstream));
        let asked: FuturesUnordered<_> = asked.collect();
        let remembered = asked.filter(|remembered| std::future::ready(*remembered));
        remembered.take(wanted).count().await == wanted
    }

    /// Returns the nodes that could not be reached for at least `time`.
    pub(crate) fn unreachable_for(&self, time: Duration) -> Vec<NodeName> {
        let now = Instant::now();
        let links = self.links.borrow();
        let lost = links
            .iter()
            .filter(|(_, link)| link.unreachable_for(now) >= time);
        lost.map(|(name, _)| name.clone()).collect()
    }

    /// Asks every node for a sign of life.
    pub(crate) fn ping_all(&self) {
        for link in self.links.borrow().values() {
            link.ping();
        }
    }

    fn drop_link(&self, name: &NodeName) {
        if let Some(link) = self.links.borrow_mut().remove(name) {
            link.close();
            let mut by_service = self.by_service.borrow_mut();
            if let Some(placed) = by_service.get_mut(&link.member.service) {
                let placed = Rc::make_mut(placed);
                placed
                    .same_domain
                    .retain(|other| other.member.name != *name);
                placed
                    .other_domains
                    .retain(|other| other.member.name != *name);
            }
        }
    }
}

impl Observer for Peers {
    fn joined(&self, member: &Rc<Member>) {
        self.drop_link(&member.name);
        let link = Link::new(Rc::clone(member), self.source, Rc::clone(&self.news));
        let mut by_service = self.by_service.borrow_mut();
        let placed = by_service.entry(member.service.clone()).or_default();
        let placed = Rc::make_mut(placed);
        let (links, levels) = if member.domain == self.domain {
            (&mut placed.same_domain, &placed.same_domain_levels)
        } else {
            (&mut placed.other_domains, &placed.other_domain_levels)
        };
        link.load.replace(PeerLoad::with_levels(levels));
        links.push(Rc::clone(&link));
        let name = member.name.clone();
        self.links.borrow_mut().insert(name, Rc::clone(&link));
        task::spawn("peer link", link.run());
    }

    fn should_forget(&self, member: &Member) -> bool {
        let lost = self
            .get(&member.name)
            .is_none_or(|link| link.unreachable_for(Instant::now()) > LOST_TIME);
        if lost {
            self.drop_link(&member.name);
        }
        lost
    }
}
