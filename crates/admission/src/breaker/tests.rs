//! When a kind is held back, and when it comes back.

use std::time::{Duration, Instant};

use sailtrack_units::KindName;

use crate::breaker::{Breaker, ENDS_TO_TRIP, TRIAL_PAUSE};

fn kind() -> KindName {
    "lookup".parse().expect("a name")
}

/// Returns a breaker that has just held the kind back.
fn tripped(now: Instant) -> Breaker {
    let breaker = Breaker::default();
    for _ in 0..ENDS_TO_TRIP {
        assert!(breaker.lets_in(&kind(), now));
        breaker.record(&kind(), now, true);
    }
    breaker
}

#[test]
fn few_absences_pass() {
    let (breaker, now) = (Breaker::default(), Instant::now());
    for _ in 0..10 {
        for _ in 1..ENDS_TO_TRIP {
            breaker.record(&kind(), now, true);
        }
        assert!(breaker.lets_in(&kind(), now));
        breaker.record(&kind(), now, false);
    }
}

#[test]
fn one_trial_at_a_time() {
    let now = Instant::now();
    let breaker = tripped(now);
    assert!(!breaker.lets_in(&kind(), now));
    let later = now + TRIAL_PAUSE;
    assert!(breaker.lets_in(&kind(), later), "a trial");
    assert!(!breaker.lets_in(&kind(), later), "one only");
    breaker.record(&kind(), later + Duration::from_millis(20), true);
    assert!(!breaker.lets_in(&kind(), later + Duration::from_millis(30)));
    assert!(breaker.lets_in(&kind(), later + TRIAL_PAUSE));
}

/// The first request that gets through lets all others in at once.
#[test]
fn path_is_back() {
    let now = Instant::now();
    let breaker = tripped(now);
    breaker.record(&kind(), now, false);
    for _ in 0..100 {
        assert!(breaker.lets_in(&kind(), now));
    }
}

#[test]
fn kinds_stand_alone() {
    let now = Instant::now();
    let breaker = tripped(now);
    let other = "capture".parse().expect("a name");
    assert!(breaker.lets_in(&other, now));
}
