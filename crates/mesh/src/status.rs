//! The status that this node publishes to other nodes.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Instant;

use futures::channel::mpsc;
use sailtrack_admission::Admission;
use sailtrack_kernel::{Phase, Service};
use sailtrack_log::{catalogue, emit};
use sailtrack_units::{Importance, Incarnation, Pace};
use sailtrack_wire::{Body, Member as MemberMessage, Presence, State};

use crate::clock;
use crate::configuration::Current;
use crate::directory::Directory;
use crate::freshness::Freshness;
use crate::gate::Upstream;
use crate::retired::Retired;
use crate::store::{Clock, Reachability, StoreTime};

/// The most known nodes that are listed for a newly connected node. With a full list, starting 300
/// nodes at once transferred 7 MB to and from each. A sample is enough, since a node gets a
/// different one from each peer.
const MAX_KNOWN_NODES: usize = 16;

/// The status of this node and the nodes that subscribe to it.
pub(crate) struct Status {
    pub(crate) incarnation: Incarnation,
    pub(crate) phase: Rc<Cell<Phase>>,
    pub(crate) directory: Rc<Directory>,
    pub(crate) upstream: Rc<Upstream>,
    pub(crate) admission: Rc<Admission>,
    pub(crate) current: Rc<Current>,
    pub(crate) retired: Rc<Retired>,
    pub(crate) reachability: Rc<Reachability>,
    pub(crate) freshness: Rc<Freshness>,
    pub(crate) clock: Rc<Clock>,
    /// The term of this node as the allocator of its failure domain's tokens; zero if it is not.
    pub(crate) quota_term: Cell<u64>,
    pub(crate) subscribers: RefCell<Vec<mpsc::Sender<Body>>>,
}

impl Service for Status {
    const NAME: &'static str = "status";
}

impl Status {
    /// Returns the description of this node that opens a connection.
    pub(crate) fn local_member(&self) -> MemberMessage {
        let own = self.directory.own();
        own.to_wire(self.incarnation, self.state(), self.upstream.slots())
    }

    /// Returns the current presence message.
    pub(crate) fn presence(&self) -> Presence {
        let now = Instant::now();
        let upstream = self.upstream.ready(now);
        let pace = self.upstream.report.pace(clock::now());
        // Constant fields were sent in the hello message. In a mesh of 300 nodes, each node sends
        // this message to all others; with names and addresses it was three times as long.
        let member = MemberMessage {
            state: self.state().into(),
            slots: self.upstream.slots(),
            ..MemberMessage::default()
        };
        Presence {
            member: Some(member),
            config_version: self.current.version().0,
            pressure_percent: self.admission.pressure(now, Importance::Normal).percent(),
            upstream: upstream.map_or_else(String::new, |key| key.to_string()),
            retired: Vec::new(),
            known: Vec::new(),
            store_lost: self.reachability.is_unreachable(),
            config_as_of_ms: self.freshness.as_of().map_or(0, StoreTime::millis),
            quota_term: self.quota_term.get(),
            store_era: self.clock.era().0,
            pace_percent: pace.map_or(0, Pace::percent),
            rate_limit: self.upstream.rate_limit().to_wire(),
        }
    }

    /// Returns the first presence message after the hello, which also lists known nodes and retired
    /// upstreams.
    pub(crate) fn initial_presence(&self) -> Presence {
        let retired = self.retired.all();
        let known = self.directory.sample(MAX_KNOWN_NODES);
        Presence {
            retired: retired.iter().map(ToString::to_string).collect(),
            known: known
                .iter()
                .map(|member| member.to_wire(Incarnation(0), State::Joining, 0))
                .collect(),
            ..self.presence()
        }
    }

    /// Sends the current presence to all subscribers.
    pub(crate) fn publish(&self) {
        let presence = self.presence();
        let mut subscribers = self.subscribers.borrow_mut();
        subscribers.retain(|subscriber| !subscriber.is_closed());
        for subscriber in subscribers.iter_mut() {
            // If the channel is full, the next periodic presence message makes up for this one.
            let _ = subscriber.try_send(Body::Presence(presence.clone()));
        }
    }

    /// Sends a message to all subscribers.
    pub(crate) fn broadcast(&self, message: &Body) {
        let mut subscribers = self.subscribers.borrow_mut();
        subscribers.retain(|subscriber| !subscriber.is_closed());
        let missed = subscribers
            .iter_mut()
            .filter_map(|subscriber| subscriber.try_send(message.clone()).err());
        let missed = missed.count();
        if missed > 0 {
            emit(&catalogue::NODES_NOT_TOLD, &[("nodes", &missed)]);
        }
    }

    fn state(&self) -> State {
        match self.phase.get() {
            _ if self.upstream.is_closed() => State::Leaving,
            Phase::Stopped => State::Leaving,
            Phase::Serving | Phase::Draining if self.upstream.ready(Instant::now()).is_some() => {
                State::Serving
            }
            Phase::Joining | Phase::Serving | Phase::Draining => State::Joining,
        }
    }
}
