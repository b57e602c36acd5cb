//! Connections to other nodes, one each, and the calls over them.

mod accept;
mod convert;
mod link;
mod reassembly;

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use monoio::time::timeout;
use sailtrack_kernel::Service;
use sailtrack_units::{ConfigVersion, NodeName};
use sailtrack_wire::{Config, Reason};

pub(crate) use accept::Acceptor;
pub(crate) use link::Link;

use crate::call::{Answer, Call};
use crate::membership::{Membership, Peer};
use crate::metrics::Metrics;
use crate::ticket::Part;

/// Time limit for fetching a configuration.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);
/// How long an answer is awaited beyond the call's deadline.
const ANSWER_GRACE: Duration = Duration::from_millis(50);

/// The connections to other nodes.
pub(crate) struct Peers {
    source: IpAddr,
    membership: Rc<Membership>,
    metrics: Rc<Metrics>,
    links: RefCell<HashMap<NodeName, Rc<Link>>>,
}

impl Service for Peers {
    const NAME: &'static str = "peers";
}

impl Peers {
    pub(crate) fn new(source: IpAddr, membership: Rc<Membership>, metrics: Rc<Metrics>) -> Self {
        Self {
            source,
            membership,
            metrics,
            links: RefCell::default(),
        }
    }

    /// Sends a call to another node and returns its answer.
    ///
    /// If no answer arrives, the outcome is unknown, unless the call certainly was not sent.
    pub(crate) async fn call(&self, peer: &Rc<Peer>, call: &Call) -> Answer {
        self.send(peer, call, false).await
    }

    /// Sends a client's request to the node that accounts for its retries and returns the answer.
    pub(crate) async fn call_entry(&self, peer: &Rc<Peer>, call: &Call) -> Answer {
        self.send(peer, call, true).await
    }

    async fn send(&self, peer: &Rc<Peer>, call: &Call, entry: bool) -> Answer {
        let Some(link) = self.link(peer).await else {
            return Answer::not_run(Reason::Connection);
        };
        let max_wait = call.time_left() + ANSWER_GRACE;
        match timeout(max_wait, link.call(call, entry)).await {
            Ok(answer) => answer,
            Err(_) => Answer {
                used: call.allowance,
                ..Answer::unknown(Reason::Deadline)
            },
        }
    }

    /// Returns the configuration of a peer if it is above `version`.
    pub(crate) async fn fetch(&self, peer: &Peer, version: ConfigVersion) -> Option<Config> {
        let link = self.link(&Rc::new(peer.clone())).await?;
        timeout(FETCH_TIMEOUT, link.fetch(version)).await.ok()?
    }

    /// Sends a part of a handover to a peer; returns true if it was accepted.
    pub(crate) async fn hand_over(&self, peer: &Rc<Peer>, part: &Part) -> bool {
        match self.link(peer).await {
            Some(link) => link.hand_over(part).await,
            None => false,
        }
    }

    /// Opens a connection in advance.
    pub(crate) async fn preconnect(&self, peer: &Rc<Peer>) {
        self.link(peer).await;
    }

    /// Closes the connection to a node considered dead.
    pub(crate) fn disconnect(&self, name: &NodeName) {
        if let Some(link) = self.links.borrow_mut().remove(name) {
            link.close();
        }
    }

    /// Returns the number of open connections to other nodes.
    pub(crate) fn count(&self) -> usize {
        let links = self.links.borrow();
        links.values().filter(|link| link.is_open()).count()
    }

    async fn link(&self, peer: &Rc<Peer>) -> Option<Rc<Link>> {
        let known = self.links.borrow().get(&peer.name).cloned();
        if let Some(link) = known {
            if link.is_for(peer) && link.is_usable() {
                return link.ready().await.then_some(link);
            }
            link.close();
        }
        let hello = self.membership.local_member();
        let link = Link::open(
            Rc::clone(peer),
            self.source,
            hello,
            Rc::clone(&self.metrics),
        );
        self.links
            .borrow_mut()
            .insert(peer.name.clone(), Rc::clone(&link));
        link.ready().await.then_some(link)
    }
}
