//! A lease ends here before it does at the store.

use std::time::Duration;

use sailtrack_quota::{LEASE_DURATION, Lease};
use sailtrack_units::{Era, Moment};

use super::Expiry;
use crate::store::clock::tests::pair::{Calls, Pair, all};
use crate::store::{Clock, StoreTime};

fn lease(until: StoreTime) -> Lease {
    Lease {
        holder: "n1".parse().expect("a sound name"),
        incarnation: 1,
        term: 1,
        until_ms: until.millis(),
        era: 0,
    }
}

/// Plays a node that renews its lease with each answer; returns by how much it held one too long,
/// and for which part of the time it held one.
fn renew(pair: Pair, seed: u64) -> (Duration, f64) {
    let clock = Clock::default();
    let mut calls = Calls::new(pair, seed);
    let mut now = Moment::since_boot(Duration::from_secs(1));
    let mut known: Option<(Expiry, StoreTime)> = None;
    let mut too_long = Duration::ZERO;
    let (mut held, mut looks) = (0.0, 0.0);
    while now.since(Moment::default()) < Duration::from_secs(80) {
        let answer = calls.call(&clock, now);
        while now < answer.answered {
            looks += 1.0;
            if let Some((expiry, until)) = known
                && expiry.is_ahead(&clock, now)
            {
                held += 1.0;
                too_long = too_long.max(pair.shown(now).0.saturating_sub(until.0));
            }
            now = now + Duration::from_millis(10);
        }
        now = answer.answered;
        clock.record(answer.requested, now, answer.reported);
        let at_most = clock.upper_bound(now).expect("it was told");
        let until = StoreTime(at_most.0 + LEASE_DURATION);
        known = Some((Expiry::new(&lease(until), answer.requested), until));
    }
    (too_long, held / looks)
}

#[test]
fn never_outlives() {
    for pair in all(&[0.005, 1.0, 2.0]) {
        for seed in 0..10 {
            let (too_long, _) = renew(pair, seed);
            assert_eq!(too_long, Duration::ZERO, "{pair:?}, seed {seed}");
        }
    }
}

#[test]
fn held_all_along() {
    for pair in all(&[0.005, 0.5]) {
        let (_, held) = renew(pair, 1);
        assert!(held > 0.97, "{pair:?}: held for {held} of the time");
    }
}

/// The store is lost after the last renewal, and the clocks jump apart before the end.
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
            let began = Moment::since_boot(Duration::from_secs(1));
            clock.record(began, began, pair.reported(began));
            let until =
                StoreTime(clock.upper_bound(began).expect("it was told").0 + LEASE_DURATION);
            let expiry = Expiry::new(&lease(until), began);
            let looks = (0..500).map(|look| began + Duration::from_millis(10) * look);
            let held = looks.filter(|now| expiry.is_ahead(&clock, *now));
            let last = held.last().expect("it was held");
            assert!(pair.shown(last) <= until, "{pair:?}: held for too long");
            assert!(last.since(began) + Duration::from_millis(200) > LEASE_DURATION);
        }
    }
}

/// After a copy the store's clock says nothing of the lease; it ends by the own one.
#[test]
fn store_copied() {
    let clock = Clock::default();
    let began = Moment::since_boot(Duration::from_secs(1));
    clock.record(began, began, StoreTime::from_millis(50_000));
    let expiry = Expiry::new(&lease(StoreTime::from_millis(54_000)), began);
    clock.observe_era(Era(2), began);
    clock.record(began, began, StoreTime::from_millis(500));
    assert!(expiry.is_ahead(&clock, began + Duration::from_secs(3)));
    assert!(!expiry.is_ahead(&clock, began + LEASE_DURATION));
}
