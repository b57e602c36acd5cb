//! A node that has stopped is found out by what waits for it, at any number of nodes.

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
use crate::peer::Delegate;
use crate::peer::link::{Delivery, Link};
use crate::request::Request;
use crate::store::StoreTime;

/// How often the nodes of a small mesh say what they are like.
const SMALL_MESH_INTERVAL: Duration = Duration::from_millis(300);
/// How often 194 nodes say what they are like.
const INTERVAL: Duration = Duration::from_millis(1940);

struct Quiet(MemberMessage, Duration);

impl Delegate for Quiet {
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

fn work() -> Request {
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
        deadline: clock::now() + Duration::from_secs(10),
        head: Bytes::from_static(b"GET / HTTP/1.1\r\n"),
        body: Bytes::new(),
    }
}

/// Plays a node that takes requests and never answers; it answers pings if `works`.
async fn play(stream: TcpStream, own: MemberMessage, works: bool) {
    let (read, write) = stream.into_split();
    let (mut outgoing, frames) = mpsc::channel(8);
    task::spawn("writer", async move {
        // The end of the test ends it.
        let _ = write_frames(write, frames).await;
    });
    let mut reader = FrameReader::new(read);
    outgoing.send(hello(own)).await.expect("there is room");
    while let Ok(message) = reader.next().await {
        if works && matches!(message, Body::Ping(_)) {
            outgoing
                .send(Body::Pong(Pong::default()))
                .await
                .expect("there is room");
        }
    }
}

/// Sends a request to such a node and looks at the link after `time`.
fn after(time: Duration, works: bool, look: impl FnOnce(&Link, bool) + 'static) {
    let played = async move {
        let local = IpAddr::V4(Ipv4Addr::LOCALHOST);
        let listener = TcpListener::bind((local, 0)).expect("a port is free");
        let address = listener.local_addr().expect("it has one");
        let member = member(address);
        let own = member.to_wire(Incarnation(1), State::Serving, 8);
        let told = own.clone();
        task::spawn("node", async move {
            let (stream, _) = listener.accept().await.expect("a connection");
            play(stream, told, works).await;
        });
        let link = Link::new(Rc::new(member), local, Rc::new(Quiet(own, INTERVAL)));
        task::spawn("link", Rc::clone(&link).run());
        while !link.is_open() {
            sleep(Duration::from_millis(5)).await;
        }
        let (sender, mut ended) = mpsc::channel(1);
        let caller = Rc::clone(&link);
        task::spawn("caller", async move {
            let delivery = caller.forward(&work()).await;
            let mut sender = sender;
            let is_lost = matches!(delivery, Delivery::Lost(_));
            sender.send(is_lost).await.expect("there is room");
        });
        sleep(time).await;
        let is_lost = futures::FutureExt::now_or_never(ended.next()) == Some(Some(true));
        look(&link, is_lost);
        link.close();
    };
    runtime::run(played).expect("a runtime");
}

#[test]
fn stopped_node() {
    after(Duration::from_millis(1300), false, |link, _| {
        assert!(!link.is_serving(), "no new requests go there");
    });
}

#[test]
fn lost_request() {
    after(Duration::from_millis(3500), false, |_, is_lost| {
        assert!(is_lost, "its caller can be told, or it is sent elsewhere");
    });
}

#[test]
fn slow_answer() {
    after(Duration::from_millis(3500), true, |link, is_lost| {
        assert!(link.is_serving(), "it works on the request");
        assert!(!is_lost);
    });
}

/// A link that was heard a moment ago, by a clock that stood still, says nothing of the node.
#[test]
fn suspended_meanwhile() {
    for time in SUSPENSIONS {
        let played = async move {
            let local = IpAddr::V4(Ipv4Addr::LOCALHOST);
            let listener = TcpListener::bind((local, 0)).expect("a port is free");
            let member = member(listener.local_addr().expect("it has one"));
            let own = member.to_wire(Incarnation(1), State::Serving, 8);
            let told = own.clone();
            task::spawn("node", async move {
                let (stream, _) = listener.accept().await.expect("a connection");
                play(stream, told, true).await;
            });
            let news = Rc::new(Quiet(own, SMALL_MESH_INTERVAL));
            let link = Link::new(Rc::new(member), local, news);
            task::spawn("link", Rc::clone(&link).run());
            while !link.is_open() {
                sleep(Duration::from_millis(5)).await;
            }
            assert!(link.is_serving());
            clock::suspend(time);
            assert!(!link.is_serving(), "nothing is known after {time:?}");
            link.ping();
            sleep(Duration::from_millis(100)).await;
            assert!(link.is_serving(), "it answered");
            link.close();
        };
        runtime::run(played).expect("a runtime");
    }
}

/// What is left of a request's time is less by a suspension.
#[test]
fn time_left_shrinks() {
    let work = work();
    clock::suspend(Duration::from_secs(4));
    assert!(work.time_left() <= Duration::from_secs(6));
    clock::suspend(Duration::from_secs(30));
    assert_eq!(work.time_left(), Duration::ZERO);
}
