//! Clocks that run apart: what is said of the store's clock holds all the same.

use std::time::Duration;

use sailtrack_units::Moment;

use super::super::{Clock, ERROR};
use super::pair::{Calls, Pair, all};
use crate::store::StoreTime;

const TIME: Duration = Duration::from_secs(80);
const LOOK: Duration = Duration::from_millis(10);

/// A bound that is higher by more than this costs service: nodes that are cut off stop sooner.
const CLOSE: Duration = Duration::from_millis(250);

/// Returns by how much the bound is too low at most, and for how long it is not close.
fn errors(pair: Pair, seed: u64) -> (Duration, Duration) {
    let clock = Clock::default();
    let mut calls = Calls::new(pair, seed);
    let mut now = Moment::since_boot(Duration::from_secs(1));
    let mut low = Duration::ZERO;
    let mut loose = Duration::ZERO;
    while now.since(Moment::default()) < TIME {
        let answer = calls.call(&clock, now);
        while now < answer.answered {
            if let Some(at_most) = clock.upper_bound(now) {
                let shown = pair.shown(now).0;
                low = low.max(shown.saturating_sub(at_most.0));
                if at_most.0 > shown + CLOSE {
                    loose += LOOK;
                }
            }
            now = now + LOOK;
        }
        now = answer.answered;
        clock.record(answer.requested, answer.answered, answer.reported);
        assert!(
            clock.upper_bound(now) >= Some(answer.reported),
            "{pair:?}: it shows at least what it told"
        );
    }
    (low, loose)
}

#[test]
fn never_too_low() {
    for pair in all(&[0.005, 1.0, 2.0]) {
        for seed in 0..20 {
            let (low, _) = errors(pair, seed);
            assert!(low <= ERROR, "{pair:?}, seed {seed}: {low:?} too low");
        }
    }
}

/// A bound that gave way is close again with the next answer.
#[test]
fn stays_close() {
    for pair in all(&[0.005]) {
        let (_, loose) = errors(pair, 1);
        assert!(loose <= Duration::from_millis(100), "{pair:?}: {loose:?}");
    }
}

/// Jumps that add up are seen, one by one.
#[test]
fn many_jumps() {
    for jump in [0.05, -0.05] {
        let pair = Pair {
            drift: 0.0,
            jump,
            jump_pause: 20.0,
            delay: 0.005,
        };
        let (low, _) = errors(pair, 1);
        assert!(low <= ERROR, "{low:?} too low");
    }
}

fn at(millis: u64) -> Moment {
    Moment::since_boot(Duration::from_millis(millis))
}

fn told(millis: u64) -> StoreTime {
    StoreTime::from_millis(millis)
}

/// Another node has heard the store say more than the bound allows.
#[test]
fn shown_to_peer() {
    let clock = Clock::default();
    clock.record_peer_bound(at(1000), told(50_000));
    clock.record_observed_time(at(2000), told(51_040));
    assert!(clock.upper_bound(at(2000)) >= Some(told(51_040)));
    assert!(clock.is_stale(at(2000)));
    clock.record_peer_bound(at(2000), told(51_060));
    assert_eq!(clock.upper_bound(at(2000)), Some(told(51_060)));
    assert!(!clock.is_stale(at(2000)));
}

/// What lies far ahead is not believed, but asked for.
#[test]
fn far_ahead() {
    let clock = Clock::default();
    clock.record_peer_bound(at(1000), told(50_000));
    clock.record_observed_time(at(1000), told(90_000));
    assert_eq!(clock.upper_bound(at(1000)), Some(told(50_000)));
    assert!(clock.is_stale(at(1000)));
    clock.record_peer_bound(at(1000), told(90_010));
    assert_eq!(clock.upper_bound(at(1000)), Some(told(90_010)));
}

/// Only what the store said lately is told: a reading would go round else, and never be replaced.
#[test]
fn own_is_told() {
    let clock = Clock::default();
    clock.record_peer_bound(at(1000), told(50_000));
    assert_eq!(clock.published_bound(at(1000)), None);
    clock.record(at(2000), at(2000), told(50_900));
    assert_eq!(clock.published_bound(at(2000)), Some(told(50_920)));
    assert_eq!(clock.published_bound(at(12_000)), None);
    assert!(clock.upper_bound(at(12_000)).is_some());
}
