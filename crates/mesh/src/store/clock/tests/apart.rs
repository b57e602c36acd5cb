//! The bound of the store's clock holds although the two clocks drift and jump apart.

use std::time::Duration;

use sailtrack_units::Moment;

use super::super::{Clock, MAX_ERROR};
use super::pair::{Calls, Pair, all};
use crate::store::StoreTime;

const TIME: Duration = Duration::from_secs(80);
const STEP: Duration = Duration::from_millis(10);

/// Largest acceptable excess of the bound. With a higher bound, isolated nodes stop serving sooner.
const MAX_EXCESS: Duration = Duration::from_millis(250);

/// Returns by how much the bound is too low at worst, and for how long it is too high.
fn errors(pair: Pair, seed: u64) -> (Duration, Duration) {
    let clock = Clock::default();
    let mut calls = Calls::new(pair, seed);
    let mut now = Moment::since_boot(Duration::from_secs(1));
    let mut too_low = Duration::ZERO;
    let mut loose_time = Duration::ZERO;
    while now.since(Moment::default()) < TIME {
        let response = calls.call(&clock, now);
        while now < response.answered {
            if let Some(bound) = clock.upper_bound(now) {
                let shown = pair.shown(now).0;
                too_low = too_low.max(shown.saturating_sub(bound.0));
                if bound.0 > shown + MAX_EXCESS {
                    loose_time += STEP;
                }
            }
            now = now + STEP;
        }
        now = response.answered;
        clock.record(response.requested, response.answered, response.reported);
        assert!(
            clock.upper_bound(now) >= Some(response.reported),
            "{pair:?}: the bound is below a time that the store reported"
        );
    }
    (too_low, loose_time)
}

#[test]
fn never_too_low() {
    for pair in all(&[0.005, 1.0, 2.0]) {
        for seed in 0..20 {
            let (too_low, _) = errors(pair, seed);
            assert!(
                too_low <= MAX_ERROR,
                "{pair:?}, seed {seed}: {too_low:?} too low"
            );
        }
    }
}

/// After a discarded reading the next response makes the bound close again.
#[test]
fn stays_close() {
    for pair in all(&[0.005]) {
        let (_, loose_time) = errors(pair, 1);
        assert!(
            loose_time <= Duration::from_millis(100),
            "{pair:?}: {loose_time:?}"
        );
    }
}

/// The error does not grow over several jumps in the same direction.
#[test]
fn many_jumps() {
    for jump in [0.05, -0.05] {
        let pair = Pair {
            drift: 0.0,
            jump,
            jump_pause: 20.0,
            delay: 0.005,
        };
        let (too_low, _) = errors(pair, 1);
        assert!(too_low <= MAX_ERROR, "{too_low:?} too low");
    }
}

fn at(millis: u64) -> Moment {
    Moment::since_boot(Duration::from_millis(millis))
}

fn store_time(millis: u64) -> StoreTime {
    StoreTime::from_millis(millis)
}

/// A peer reports a store time slightly above the bound: the bound is raised and a new reading is
/// requested.
#[test]
fn shown_to_peer() {
    let clock = Clock::default();
    clock.record_peer_bound(at(1000), store_time(50_000));
    clock.record_observed_time(at(2000), store_time(51_040));
    assert!(clock.upper_bound(at(2000)) >= Some(store_time(51_040)));
    assert!(clock.is_stale(at(2000)));
    clock.record_peer_bound(at(2000), store_time(51_060));
    assert_eq!(clock.upper_bound(at(2000)), Some(store_time(51_060)));
    assert!(!clock.is_stale(at(2000)));
}

/// A store time far above the bound does not raise it, but a new reading is requested.
#[test]
fn far_ahead() {
    let clock = Clock::default();
    clock.record_peer_bound(at(1000), store_time(50_000));
    clock.record_observed_time(at(1000), store_time(90_000));
    assert_eq!(clock.upper_bound(at(1000)), Some(store_time(50_000)));
    assert!(clock.is_stale(at(1000)));
    clock.record_peer_bound(at(1000), store_time(90_010));
    assert_eq!(clock.upper_bound(at(1000)), Some(store_time(90_010)));
}

/// Only recent readings from the store itself are published. Otherwise peers would pass the same
/// reading to each other forever.
#[test]
fn own_is_told() {
    let clock = Clock::default();
    clock.record_peer_bound(at(1000), store_time(50_000));
    assert_eq!(clock.published_bound(at(1000)), None);
    clock.record(at(2000), at(2000), store_time(50_900));
    assert_eq!(clock.published_bound(at(2000)), Some(store_time(50_920)));
    assert_eq!(clock.published_bound(at(12_000)), None);
    assert!(clock.upper_bound(at(12_000)).is_some());
}
