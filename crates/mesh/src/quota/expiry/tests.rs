//! A node stops using its lease before it expires at the store.

use std::time::Duration;

use sailtrack_quota::{LEASE_DURATION, Lease};
use sailtrack_units::{Era, Moment};

use super::Expiry;
use crate::store::clock::tests::pair::{Calls, Pair, all};
use crate::store::{Clock, StoreTime};

fn lease(until: StoreTime) -> Lease {
    Lease {
        holder: "n1".parse().expect("a valid name"),
        incarnation: 1,
        term: 1,
        until_ms: until.millis(),
        era: 0,
    }
}

/// Simulates a node that renews its lease with each response of the store. Returns by how much a
/// lease was used for too long, and the fraction of the time during which one was held.
fn simulate_renewals(pair: Pair, seed: u64) -> (Duration, f64) {
    let clock = Clock::default();
    let mut calls = Calls::new(pair, seed);
    let mut now = Moment::since_boot(Duration::from_secs(1));
    let mut current: Option<(Expiry, StoreTime)> = None;
    let mut too_long = Duration::ZERO;
    let (mut held, mut checks) = (0.0, 0.0);
    while now.since(Moment::default()) < Duration::from_secs(80) {
        let answer = calls.call(&clock, now);
        while now < answer.answered {
            checks += 1.0;
            if let Some((expiry, until)) = current
                && expiry.is_valid(&clock, now)
            {
                held += 1.0;
                too_long = too_long.max(pair.shown(now).0.saturating_sub(until.0));
            }
            now = now + Duration::from_millis(10);
        }
        now = answer.answered;
        clock.record(answer.requested, now, answer.reported);
        let at_most = clock.upper_bound(now).expect("a clock reading");
        let until = StoreTime(at_most.0 + LEASE_DURATION);
        current = Some((Expiry::new(&lease(until), answer.requested), until));
    }
    (too_long, held / checks)
}

#[test]
fn never_outlives() {
    for pair in all(&[0.005, 1.0, 2.0]) {
        for seed in 0..10 {
            let (too_long, _) = simulate_renewals(pair, seed);
            assert_eq!(too_long, Duration::ZERO, "{pair:?}, seed {seed}");
        }
    }
}

#[test]
fn held_all_along() {
    for pair in all(&[0.005, 0.5]) {
        let (_, held) = simulate_renewals(pair, 1);
        assert!(held > 0.97, "{pair:?}: held for {held} of the time");
    }
}

/// The store is unreachable after the last renewal, and the clocks jump apart before the lease
/// expires.
#[test]
fn runs_out() {
    for drift in [0.0, 5000.0, -5000.0] {
        for jump in [0.05, -0.05] {
            let pair = Pair {
                drift,
                jump,
                jump_pause: 3.0,
                delay: 0.005,
            };
            let clock = Clock::default();
            let started = Moment::since_boot(Duration::from_secs(1));
            clock.record(started, started, pair.reported(started));
            let until =
                StoreTime(clock.upper_bound(started).expect("a clock reading").0 + LEASE_DURATION);
            let expiry = Expiry::new(&lease(until), started);
            let checks = (0..500).map(|check| started + Duration::from_millis(10) * check);
            let held = checks.filter(|now| expiry.is_valid(&clock, *now));
            let last = held.last().expect("a valid lease");
            assert!(pair.shown(last) <= until, "{pair:?}: used after its expiry");
            assert!(last.since(started) + Duration::from_millis(200) > LEASE_DURATION);
        }
    }
}

/// After the store was restored from a backup, its clock says nothing about the lease, which
/// expires by the node's own clock.
#[test]
fn store_copied() {
    let clock = Clock::default();
    let started = Moment::since_boot(Duration::from_secs(1));
    clock.record(started, started, StoreTime::from_millis(50_000));
    let expiry = Expiry::new(&lease(StoreTime::from_millis(54_000)), started);
    clock.observe_era(Era(2), started);
    clock.record(started, started, StoreTime::from_millis(500));
    assert!(expiry.is_valid(&clock, started + Duration::from_secs(3)));
    assert!(!expiry.is_valid(&clock, started + LEASE_DURATION));
}
