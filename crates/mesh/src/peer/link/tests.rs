//! A node that has stopped is found out by what waits for it, at any number of nodes.

use std::net::{IpAddr, Ipv4Addr};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::channel::mpsc;
use futures::{SinkExt as _, StreamExt as _};
use monoio::io::Splitable as _;
use monoio::net::{TcpListener, TcpStream};
use monoio::time::sleep;
use sailtrack_net::frames::{FrameReader, hello, write_frames};
use sailtrack_net::{runtime, task};
use sailtrack_quarantine::{Caller, Hasher, Ran};
use sailtrack_units::{Incarnation, NodeName, Rank};
use sailtrack_wire::{Body, Evidence, Member as MemberMessage, Pong, Presence, State};

use crate::directory::Member;
use crate::key::{AttemptKey, UpstreamKey};
use crate::peer::News;
use crate::peer::link::{Delivery, Link};
use crate::work::Work;

/// How often 194 nodes say what they are like.
const INTERVAL: Duration = Duration::from_millis(1940);

struct Quiet(MemberMessage);

impl News for Quiet {
    fn interval(&self) -> Duration {
        INTERVAL
    }

    fn hello(&self) -> MemberMessage {
        self.0.clone()
    }

    fn take(&self, _from: &NodeName, _presence: &Presence) {}

    fn take_evidence(&self, _evidence: &Evidence) {}

    fn take_lost(&self, _upstream: &UpstreamKey, _ran: &[Ran]) {}
}

fn member(address: std::net::SocketAddr) -> Member {
    Member {
        name: "n1".parse().expect("a name"),
        service: "bank".parse().expect("a name"),
        domain: "east".parse().expect("a name"),
        address,
    }
}

fn work() -> Work {
    Work {
        attempt: AttemptKey::from("a1"),
        identity: Hasher::new(&[b"/"], Caller::default()).finish(),
        known_crashes: 0,
        service: "bank".parse().expect("a name"),
        kind: "r-1".parse().expect("a name"),
        idempotent: true,
        rank: Rank::from_index(1),
        begun: false,
        repeated: false,
        deadline: Instant::now() + Duration::from_secs(10),
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
                .send(Body::Pong(Pong {}))
                .await
                .expect("there is room");
        }
    }
}

/// Sends a request to such a node and looks at the link after `time`.
fn after(time: Duration, works: bool, look: impl FnOnce(&Link, Instant, bool) + 'static) {
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
        let link = Link::new(Rc::new(member), local, Rc::new(Quiet(own)));
        task::spawn("link", Rc::clone(&link).keep());
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
        look(&link, Instant::now(), is_lost);
        link.close();
    };
    runtime::run(played).expect("a runtime");
}

#[test]
fn stopped_node() {
    after(Duration::from_millis(1300), false, |link, now, _| {
        assert!(!link.is_serving(now), "no new requests go there");
    });
}

#[test]
fn lost_request() {
    after(Duration::from_millis(3500), false, |_, _, is_lost| {
        assert!(is_lost, "its caller can be told, or it is sent elsewhere");
    });
}

#[test]
fn slow_answer() {
    after(Duration::from_millis(3500), true, |link, now, is_lost| {
        assert!(link.is_serving(now), "it works on the request");
        assert!(!is_lost);
    });
}
