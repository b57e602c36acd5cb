//! What upstreams may state as the delay of a retry.

use std::time::Duration;

use super::{MAX_STATED_DELAY, MIN_OVERLOAD_DELAY, parse, rejection};

#[test]
fn stated() {
    for (value, millis) in [("0", 0), ("2", 2000), ("0.25", 250), (" 1.5 ", 1500)] {
        let stated = parse(value);
        assert_eq!(stated, Some(Duration::from_millis(millis)), "{value}");
    }
    assert_eq!(parse("1e9"), Some(MAX_STATED_DELAY));
}

#[test]
fn nonsense() {
    let date = "Fri, 31 Dec 2027 23:59:59 GMT";
    for value in [
        "", "soon", "-1", "NaN", "inf", "1e400", "0x10", "1, 2", date,
    ] {
        assert_eq!(parse(value), None, "{value}");
    }
}

#[test]
fn not_at_once() {
    let jitter = Duration::from_secs(1);
    for (stated, shortest) in [(None, 200), (Some(0), 200), (Some(700), 700)] {
        let shortest = Duration::from_millis(shortest);
        let delay = rejection(stated.map(Duration::from_millis), jitter);
        assert!(delay >= shortest.max(MIN_OVERLOAD_DELAY), "{delay:?}");
        assert!(delay <= shortest + jitter, "{delay:?}");
    }
}
