//! When the circuit of a kind opens, probes and closes.

use std::time::{Duration, Instant};

use sailtrack_units::KindName;

use crate::breaker::{Breaker, FAILURES_TO_OPEN, PROBE_INTERVAL};

fn kind() -> KindName {
    "lookup".parse().expect("valid name")
}

/// Returns a breaker whose circuit for the kind has just opened.
fn opened(now: Instant) -> Breaker {
    let breaker = Breaker::default();
    for _ in 0..FAILURES_TO_OPEN {
        assert!(breaker.allows(&kind(), now));
        breaker.record(&kind(), now, true);
    }
    breaker
}

#[test]
fn few_absences_pass() {
    let (breaker, now) = (Breaker::default(), Instant::now());
    for _ in 0..10 {
        for _ in 1..FAILURES_TO_OPEN {
            breaker.record(&kind(), now, true);
        }
        assert!(breaker.allows(&kind(), now));
        breaker.record(&kind(), now, false);
    }
}

#[test]
fn one_trial_at_a_time() {
    let now = Instant::now();
    let breaker = opened(now);
    assert!(!breaker.allows(&kind(), now));
    let later = now + PROBE_INTERVAL;
    assert!(breaker.allows(&kind(), later), "a probe");
    assert!(!breaker.allows(&kind(), later), "only one");
    breaker.record(&kind(), later + Duration::from_millis(20), true);
    assert!(!breaker.allows(&kind(), later + Duration::from_millis(30)));
    assert!(breaker.allows(&kind(), later + PROBE_INTERVAL));
}

/// One successful request closes the circuit.
#[test]
fn path_is_back() {
    let now = Instant::now();
    let breaker = opened(now);
    breaker.record(&kind(), now, false);
    for _ in 0..100 {
        assert!(breaker.allows(&kind(), now));
    }
}

#[test]
fn kinds_stand_alone() {
    let now = Instant::now();
    let breaker = opened(now);
    let other = "capture".parse().expect("valid name");
    assert!(breaker.allows(&other, now));
}
