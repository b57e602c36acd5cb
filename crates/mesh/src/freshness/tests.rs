//! How long keys are accepted without news from the store.

use std::rc::Rc;
use std::time::Duration;

use sailtrack_units::{ConfigVersion, Era, Moment};

use super::{Freshness, MARGIN};
use crate::metrics::Metrics;
use crate::store::clock::tests::pair::{Calls, Pair, all};
use crate::store::{Clock, StoreTime};

const BOUND: Duration = Duration::from_secs(5);

fn at(millis: u64) -> Moment {
    Moment::since_boot(Duration::from_millis(millis))
}

fn store_time(millis: u64) -> StoreTime {
    StoreTime::from_millis(millis)
}

/// Returns the state of a node that read the store's clock at 1 s of its own clock, 51 s of the
/// store's.
fn synchronized(bound: Option<Duration>) -> Freshness {
    let clock = Rc::new(Clock::default());
    clock.record(at(1000), at(1000), store_time(51_000));
    Freshness::new(clock, Rc::new(Metrics::new()), bound)
}

#[test]
fn unbounded() {
    assert!(synchronized(None).is_fresh(at(1000)));
}

#[test]
fn never_confirmed() {
    assert!(!synchronized(Some(BOUND)).is_fresh(at(1000)));
}

#[test]
fn until_bound() {
    let freshness = synchronized(Some(BOUND));
    let version = ConfigVersion(3);
    assert!(freshness.confirm(version, store_time(51_000), version, at(1000)));
    // Nine tenths of the bound have elapsed.
    assert!(freshness.is_fresh(at(5500)));
    assert!(!freshness.is_fresh(at(6000)));
    assert!(freshness.confirm(version, store_time(54_000), version, at(4000)));
    assert!(freshness.is_fresh(at(6000)));
}

/// A report that arrives late or through another node counts from the time that it refers to.
#[test]
fn old_news() {
    let freshness = synchronized(Some(BOUND));
    let version = ConfigVersion(3);
    freshness.confirm(version, store_time(54_000), version, at(4000));
    assert!(!freshness.confirm(version, store_time(52_000), version, at(4500)));
    assert!(freshness.is_fresh(at(8500)));
    assert!(!freshness.is_fresh(at(9000)));
}

/// A confirmation of a version that is not in force here proves nothing until it is.
#[test]
fn ahead() {
    let freshness = synchronized(Some(BOUND));
    let (old, new) = (ConfigVersion(3), ConfigVersion(4));
    freshness.confirm(old, store_time(51_000), old, at(1000));
    freshness.confirm(new, store_time(55_000), old, at(5000));
    assert!(!freshness.is_fresh(at(6000)));
    freshness.apply_version(new, at(5500));
    assert!(freshness.is_fresh(at(6000)));
}

/// An older version was the newest one then, so keys revoked by then are absent from later ones.
#[test]
fn behind() {
    let freshness = synchronized(Some(BOUND));
    let (old, new) = (ConfigVersion(3), ConfigVersion(4));
    assert!(freshness.confirm(old, store_time(51_500), new, at(1500)));
}

/// A time in the future does not belong to the clock that this node knows.
#[test]
fn another_clock() {
    let freshness = synchronized(Some(BOUND));
    let version = ConfigVersion(3);
    assert!(!freshness.confirm(version, store_time(90_000), version, at(1500)));
    assert!(!freshness.is_fresh(at(1500)));
}

/// A store whose clock restarts is trusted again.
#[test]
fn store_begins_anew() {
    let freshness = synchronized(Some(BOUND));
    let version = ConfigVersion(3);
    freshness.confirm(version, store_time(51_000), version, at(1000));
    freshness.clock.record(at(2000), at(2000), store_time(500));
    assert!(!freshness.is_fresh(at(2000)));
    assert!(freshness.confirm(version, store_time(500), version, at(2000)));
    assert!(freshness.is_fresh(at(2000)));
}

/// Simulates a node that follows the store and a peer that learns only from it.
///
/// Returns by how much the age was underestimated at either, and whether both always accepted keys.
fn follow(pair: Pair, seed: u64) -> (Duration, bool) {
    let version = ConfigVersion(3);
    let node = || {
        let clock = Rc::new(Clock::default());
        Freshness::new(clock, Rc::new(Metrics::new()), Some(BOUND))
    };
    let (follower, peer) = (node(), node());
    let mut calls = Calls::new(pair, seed);
    let mut now = at(1000);
    let mut underestimate = Duration::ZERO;
    let mut is_served = true;
    let mut is_confirmed = false;
    while now < at(80_000) {
        let answer = calls.call(&follower.clock, now);
        while now < answer.answered {
            for node in [&follower, &peer].into_iter().filter(|_| is_confirmed) {
                let as_of = node.as_of().expect("a proof");
                let true_age = pair.shown(now).0.saturating_sub(as_of.0);
                if let Some(age) = node.age(now) {
                    underestimate = underestimate.max(true_age.saturating_sub(age));
                }
                is_served &= node.is_fresh(now);
            }
            now = now + Duration::from_millis(10);
        }
        now = answer.answered;
        follower
            .clock
            .record(answer.requested, now, answer.reported);
        follower.confirm(version, answer.reported, version, now);
        peer.confirm(version, answer.reported, version, now);
        if peer.clock.is_stale(now)
            && let Some(at_most) = follower.clock.published_bound(now)
        {
            peer.clock.record_peer_bound(now, at_most);
            peer.confirm(version, answer.reported, version, now);
        }
        is_confirmed = true;
    }
    (underestimate, is_served)
}

/// No clock drift within the assumed bounds makes a node accept a revoked key for too long.
#[test]
fn never_too_young() {
    for pair in all(&[0.005, 1.0, 2.0]) {
        for seed in 0..10 {
            let (underestimate, _) = follow(pair, seed);
            assert!(
                underestimate < MARGIN,
                "{pair:?}, seed {seed}: age underestimated by {underestimate:?}"
            );
        }
    }
}

/// While the store is reachable, keys are accepted in spite of clock drift.
#[test]
fn served_all_along() {
    for pair in all(&[0.005, 0.5, 0.9]) {
        for seed in 0..10 {
            let (_, is_served) = follow(pair, seed);
            assert!(is_served, "{pair:?}, seed {seed}");
        }
    }
}

const VERSION: ConfigVersion = ConfigVersion(3);

/// Returns the state of a node at 1 s in the first era, with a confirmed version.
fn confirmed() -> Freshness {
    let clock = Rc::new(Clock::default());
    clock.observe_era(Era(1), at(900));
    clock.record(at(1000), at(1000), store_time(51_000));
    let freshness = Freshness::new(clock, Rc::new(Metrics::new()), Some(BOUND));
    assert!(freshness.confirm(VERSION, store_time(51_000), VERSION, at(1000)));
    freshness
}

/// A proof from before a restore stays valid for the rest of its time by the node's own clock,
/// whatever the store's clock shows.
#[test]
fn proof_outlasts_copy() {
    let freshness = confirmed();
    assert!(freshness.clock.observe_era(Era(2), at(3000)));
    assert!(freshness.is_fresh(at(3000)));
    assert_eq!(
        freshness.as_of(),
        None,
        "a proof of an earlier era is not reported"
    );
    freshness.clock.record(at(3100), at(3100), store_time(500));
    assert!(freshness.is_fresh(at(5500)));
    assert!(!freshness.is_fresh(at(6000)));
}

/// A restored backup may lack a version that others have: for a while, its responses prove nothing.
#[test]
fn settles_after_copy() {
    let freshness = confirmed();
    freshness.clock.observe_era(Era(2), at(3000));
    freshness.clock.record(at(3100), at(3100), store_time(500));
    assert!(!freshness.confirm(VERSION, store_time(500), VERSION, at(3100)));
    assert!(freshness.confirm(VERSION, store_time(1000), VERSION, at(3600)));
    assert!(freshness.is_fresh(at(7000)));
    assert_eq!(freshness.as_of(), Some(store_time(1000)));
}

/// This node has an older version than another one, since the restored backup does.
#[test]
fn others_have_newer() {
    let freshness = confirmed();
    freshness.clock.observe_era(Era(2), at(3000));
    freshness
        .clock
        .record(at(4000), at(4000), store_time(52_000));
    freshness.observe_version(ConfigVersion(4));
    assert!(!freshness.confirm(VERSION, store_time(52_000), VERSION, at(4000)));
    assert!(freshness.confirm(
        ConfigVersion(4),
        store_time(52_000),
        ConfigVersion(4),
        at(4000)
    ));
}

/// Until the store's clock has been read in the new era, its times prove nothing, and the earlier
/// proof stays valid.
#[test]
fn era_without_reading() {
    let freshness = confirmed();
    freshness.clock.observe_era(Era(2), at(2000));
    assert!(!freshness.confirm(VERSION, store_time(90_000), VERSION, at(3000)));
    assert!(freshness.is_fresh(at(5500)));
    assert!(!freshness.is_fresh(at(6000)));
}

#[test]
fn era_is_over() {
    let freshness = confirmed();
    assert!(freshness.clock.observe_era(Era(2), at(2000)));
    assert!(freshness.clock.observe_era(Era(3), at(2100)));
    assert!(!freshness.clock.observe_era(Era(2), at(2200)));
    assert!(!freshness.clock.observe_era(Era(1), at(2200)));
    assert!(freshness.clock.observe_era(Era(3), at(2200)));
    assert!(freshness.is_fresh(at(5500)));
}

/// A confirmation of a version that is not in force yet is discarded with its era.
#[test]
fn ahead_of_another_era() {
    let freshness = confirmed();
    let new = ConfigVersion(4);
    freshness.confirm(new, store_time(54_000), VERSION, at(4000));
    freshness.clock.observe_era(Era(2), at(4100));
    freshness
        .clock
        .record(at(4100), at(4100), store_time(54_100));
    freshness.apply_version(new, at(5000));
    assert_eq!(freshness.as_of(), None);
}

/// A node that has just started waits for reports of its peers before it trusts a store that may
/// have been restored; it accepts their proofs at once.
#[test]
fn starts_after_copy() {
    let clock = Rc::new(Clock::default());
    clock.observe_era(Era(2), at(900));
    clock.record(at(1000), at(1000), store_time(51_000));
    let freshness = Freshness::new(clock, Rc::new(Metrics::new()), Some(BOUND));
    assert!(!freshness.confirm_by_store(store_time(51_000), VERSION, at(1000)));
    assert!(freshness.confirm(VERSION, store_time(50_900), VERSION, at(1000)));
    freshness.observe_version(ConfigVersion(4));
    assert!(!freshness.confirm_by_store(store_time(51_500), VERSION, at(1500)));
    let new = ConfigVersion(4);
    assert!(freshness.confirm_by_store(store_time(51_600), new, at(1600)));
}
