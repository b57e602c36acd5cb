//! Tests that a suspension is detected and that requests wait until the node has caught up.

use std::net::{IpAddr, Ipv4Addr};
use std::rc::Rc;
use std::time::{Duration, Instant};

use sailtrack_net::runtime;
use sailtrack_quarantine::Execution;
use sailtrack_units::{Era, Moment, NodeName};
use sailtrack_wire::{Evidence, Member as MemberMessage, Presence};

use crate::clock::suspend;
use crate::clock::tests::SUSPENSIONS;
use crate::key::UpstreamKey;
use crate::peer::{Delegate, Peers};
use crate::store::StoreTime;
use crate::suspension::{CATCH_UP_TIME, Detector};

struct Idle;

impl Delegate for Idle {
    fn heartbeat_interval(&self) -> Duration {
        Duration::from_millis(300)
    }

    fn local_member(&self) -> MemberMessage {
        MemberMessage::default()
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

fn detector() -> Detector {
    let peers = Peers::new(
        IpAddr::V4(Ipv4Addr::LOCALHOST),
        "east".parse().expect("a name"),
        Rc::new(Idle),
    );
    Detector::new(Rc::new(peers))
}

#[test]
fn suspension_is_noticed() {
    let detector = detector();
    assert_eq!(detector.check(), None);
    for time in SUSPENSIONS {
        suspend(time);
        let detected = detector.check().expect("a suspension");
        assert!(
            detected.abs_diff(time) < Duration::from_millis(100),
            "{detected:?}"
        );
        assert_eq!(detector.check(), None, "reported twice");
    }
}

#[test]
fn busy_is_no_suspension() {
    let detector = detector();
    std::thread::sleep(Duration::from_millis(300));
    assert_eq!(detector.check(), None, "both clocks advanced");
}

#[test]
fn news_is_awaited() {
    let detector = Rc::new(detector());
    let waiting = Rc::clone(&detector);
    let times = async move {
        let before = Instant::now();
        waiting.catch_up().await;
        let calm = before.elapsed();
        suspend(Duration::from_secs(5));
        let before = Instant::now();
        waiting.catch_up().await;
        (calm, before.elapsed())
    };
    let (calm, woken) = runtime::run(times).expect("a runtime");
    assert!(calm < CATCH_UP_TIME / 2, "{calm:?}");
    assert!(
        woken + Duration::from_millis(5) >= CATCH_UP_TIME,
        "{woken:?}"
    );
}
