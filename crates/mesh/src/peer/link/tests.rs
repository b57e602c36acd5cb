//! Detection of stopped nodes by pings, independent of the number of nodes.

use std::net::{IpAddr, Ipv4Addr};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures::channel::mpsc;
use futures::{SinkExt as _, StreamExt as _};
use monoio::io::Splitable as _;
use monoio::net::{TcpListener, TcpStream};
use monoio::time::sleep;
use sailtrack_net::frames::{FrameReader, hello, write_frames};
use sailtrack_net::{runtime, task};
use sailtrack_quarantine::{Caller, Execution, Hasher};
use sailtrack_units::{Class, Era, Incarnation, Moment, NodeName, Rank};
use sailtrack_wire::{Body, Evidence, Member as MemberMessage, Pong, Presence, State};

use crate::clock;
use crate::clock::tests::SUSPENSIONS;
use crate::directory::Member;
use crate::key::{AttemptKey, UpstreamKey};
use crate::memory::{self, Buffer};
use crate::overdue;
use crate::peer::Delegate;
use crate::peer::link::{Delivery, Link};
use crate::request::{OverLimit, Request};
use crate::store::StoreTime;

/// Heartbeat interval of a small mesh.
const SMALL_MESH_INTERVAL: Duration = Duration::from_millis(300);
/// Heartbeat interval of a mesh of 194 nodes.
const INTERVAL: Duration = Duration::from_millis(1940);

struct Stub(MemberMessage, Duration);

impl Delegate for Stub {
    fn heartbeat_interval(&self) -> Duration {
        self.1
    }

    fn local_member(&self) -> MemberMessage {
        self.0.clone()
    }

    fn handle_presence(&self, _from: &NodeName, _presence: &Presence) {}

    fn wants_store_time(&self) -> bool {
        false
    }

    fn handle_store_time(&self, _: Era, _: Moment, _: StoreTime) {}

    fn handle_evidence(&self, _evidence: &Evidence) {}

    fn handle_leaving(&self, _upstream: &UpstreamKey) {}

    fn is_retired(&self, _: &UpstreamKey) -> bool {
        false
    }

    fn handle_crash(&self, _upstream: &UpstreamKey, _ran: &[Execution]) {}
}

fn member(address: std::net::SocketAddr) -> Member {
    Member {
        name: "n1".parse().expect("a name"),
        service: "bank".parse().expect("a name"),
        domain: "east".parse().expect("a name"),
        address,
    }
}

fn request() -> Request {
    Request {
        workspace: None,
        completed_calls: 0,
        class: Class::default(),
        attempt: AttemptKey::from("a1"),
        identity: Hasher::new(&[b"/"], Caller::default()).finish(),
        known_crashes: 0,
        service: "bank".parse().expect("a name"),
        kind: "r-1".parse().expect("a name"),
        idempotent: true,
        rank: Rank::from_index(1),
        is_nested: false,
        is_retry: false,
        over_limit: OverLimit::default(),
        overdue: overdue::Signal::default(),
        caller: memory::Caller::Anonymous,
        client: None,
        deadline: clock::now() + Duration::from_secs(10),
        head: Bytes::from_static(b"GET / HTTP/1.1\r\n"),
        body: Buffer::default(),
    }
}

/// Simulates a node that accepts requests and never responds; it answers pings if `is_alive`.
async fn simulate(stream: TcpStream, own: MemberMessage, is_alive: bool) {
    let (read, write) = stream.into_split();
    let (mut outgoing, frames) = mpsc::channel(8);
    task::spawn("writer", async move {
        // Writing fails when the test ends.
        let _ = write_frames(write, frames).await;
    });
    let mut reader = FrameReader::new(read);
    outgoing.send(hello(own)).await.expect("there is room");
    while let Ok(message) = reader.next().await {
        if is_alive && matches!(message, Body::Ping(_)) {
            outgoing
                .send(Body::Pong(Pong::default()))
                .await
                .expect("there is room");
        }
    }
}

/// Sends a request to a simulated node and checks the link after `time`.
fn check_after(time: Duration, is_alive: bool, check: impl FnOnce(&Link, bool) + 'static) {
    let test = async move {
        let local = IpAddr::V4(Ipv4Addr::LOCALHOST);
        let listener = TcpListener::bind((local, 0)).expect("a port is free");
        let address = listener.local_addr().expect("a local address");
        let member = member(address);
        let own = member.to_wire(Incarnation(1), State::Serving, 8);
        let greeting = own.clone();
        task::spawn("node", async move {
            let (stream, _) = listener.accept().await.expect("a connection");
            simulate(stream, greeting, is_alive).await;
        });
        let link = Link::new(Rc::new(member), local, Rc::new(Stub(own, INTERVAL)));
        task::spawn("link", Rc::clone(&link).run());
        while !link.is_open() {
            sleep(Duration::from_millis(5)).await;
        }
        let (sender, mut outcome) = mpsc::channel(1);
        let caller = Rc::clone(&link);
        task::spawn("caller", async move {
            let delivery = caller.forward(&request()).await;
            let mut sender = sender;
            let is_lost = matches!(delivery, Delivery::Lost(_));
            sender.send(is_lost).await.expect("there is room");
        });
        sleep(time).await;
        let is_lost = futures::FutureExt::now_or_never(outcome.next()) == Some(Some(true));
        check(&link, is_lost);
        link.close();
    };
    runtime::run(test).expect("a runtime");
}

#[test]
fn stopped_node() {
    check_after(Duration::from_millis(1300), false, |link, _| {
        assert!(
            !link.is_serving(),
            "the stopped node still gets new requests"
        );
    });
}

#[test]
fn lost_request() {
    check_after(Duration::from_millis(3500), false, |_, is_lost| {
        assert!(is_lost, "the pending request was not ended");
    });
}

#[test]
fn slow_answer() {
    check_after(Duration::from_millis(3500), true, |link, is_lost| {
        assert!(
            link.is_serving(),
            "a node that answers pings gets no new requests"
        );
        assert!(!is_lost);
    });
}

/// After a suspension of the local instance a node counts as unresponsive until its next message,
/// although by a clock that stopped meanwhile its last message is recent.
#[test]
fn suspended_meanwhile() {
    for time in SUSPENSIONS {
        let test = async move {
            let local = IpAddr::V4(Ipv4Addr::LOCALHOST);
            let listener = TcpListener::bind((local, 0)).expect("a port is free");
            let member = member(listener.local_addr().expect("a local address"));
            let own = member.to_wire(Incarnation(1), State::Serving, 8);
            let greeting = own.clone();
            task::spawn("node", async move {
                let (stream, _) = listener.accept().await.expect("a connection");
                simulate(stream, greeting, true).await;
            });
            let delegate = Rc::new(Stub(own, SMALL_MESH_INTERVAL));
            let link = Link::new(Rc::new(member), local, delegate);
            task::spawn("link", Rc::clone(&link).run());
            while !link.is_open() {
                sleep(Duration::from_millis(5)).await;
            }
            assert!(link.is_serving());
            clock::suspend(time);
            assert!(
                !link.is_serving(),
                "the node counts as responsive after a suspension of {time:?}"
            );
            link.ping();
            sleep(Duration::from_millis(100)).await;
            assert!(
                link.is_serving(),
                "the node counts as unresponsive after a pong"
            );
            link.close();
        };
        runtime::run(test).expect("a runtime");
    }
}

/// The time of a suspension counts against the deadline of a request.
#[test]
fn time_left_shrinks() {
    let request = request();
    clock::suspend(Duration::from_secs(4));
    assert!(request.time_left() <= Duration::from_secs(6));
    clock::suspend(Duration::from_secs(30));
    assert_eq!(request.time_left(), Duration::ZERO);
}
