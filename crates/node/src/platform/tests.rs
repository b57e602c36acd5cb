//! Backoff while the platform is down: delays double up to a limit, and many nodes together stay
//! below a tolerable rate of attempts.

use std::time::Duration;

use rand::SeedableRng as _;
use rand::rngs::StdRng;

use crate::platform::Backoff;

const FIRST: Duration = Duration::from_secs(1);
const MAX: Duration = Duration::from_secs(8);

#[test]
fn pause_doubles() {
    let mut random = StdRng::seed_from_u64(1);
    let mut backoff = Backoff::new(FIRST, MAX);
    for expected in [1, 2, 4, 8, 8] {
        let max = Duration::from_secs(expected);
        let pause = backoff.pause(&mut random);
        assert!((max / 2..=max).contains(&pause), "{pause:?} of {max:?}");
    }
    backoff.reset();
    assert!(backoff.pause(&mut random) <= FIRST);
}

#[test]
fn outage_costs_little() {
    let mut random = StdRng::seed_from_u64(2);
    let outage = Duration::from_mins(10);
    let mut attempts = 0;
    for _ in 0..560 {
        let mut backoff = Backoff::new(FIRST, MAX);
        let mut passed = Duration::ZERO;
        while passed < outage {
            passed += backoff.pause(&mut random);
            attempts += 1;
        }
    }
    let per_second = f64::from(attempts) / outage.as_secs_f64();
    assert!(
        per_second < 110.0,
        "{per_second} attempts a second by 560 nodes"
    );
}
