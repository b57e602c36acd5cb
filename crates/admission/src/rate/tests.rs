//! Limits that change, and how much is sent under them.

use std::time::{Duration, Instant};

use sailtrack_units::Rate;

use super::{Limiter, Recent};

const MS: Duration = Duration::from_millis(1);

/// Sends a call whenever there is a token and returns how many were sent.
fn sent_within(limiter: &mut Limiter, now: &mut Instant, time: Duration) -> u32 {
    let end = *now + time;
    let mut sent = 0;
    while *now < end {
        while limiter.has_token(*now) {
            limiter.take();
            sent += 1;
        }
        *now += MS;
    }
    sent
}

#[test]
fn each_second_kept() {
    let mut now = Instant::now();
    for (rate, most) in [(2.6, 4), (34.5, 37), (10_000.0, 10_500)] {
        let mut limiter = Limiter::new(Rate(rate), 0, now);
        sent_within(&mut limiter, &mut now, Duration::from_secs(3));
        let sent = sent_within(&mut limiter, &mut now, Duration::from_secs(1));
        assert!(f64::from(sent) >= (rate * 0.9).floor(), "{sent} of {rate}");
        assert!(sent <= most, "{sent} of {rate}");
    }
}

/// Time in which nothing is sent does not add up to a burst.
#[test]
fn no_saved_burst() {
    let mut now = Instant::now();
    let mut limiter = Limiter::new(Rate(20.0), 0, now);
    now += Duration::from_mins(1);
    assert_eq!(sent_within(&mut limiter, &mut now, MS), 2);
}

#[test]
fn rises_and_falls() {
    let mut now = Instant::now();
    let mut limiter = Limiter::new(Rate(10.0), 0, now);
    let second = Duration::from_secs(1);
    sent_within(&mut limiter, &mut now, second);
    limiter.set_rate(Rate(100.0), 10, now);
    let sent = sent_within(&mut limiter, &mut now, second);
    assert!((95..=106).contains(&sent), "{sent}");
    limiter.set_rate(Rate(10.0), 100, now);
    let sent = sent_within(&mut limiter, &mut now, second * 2);
    assert_eq!(sent, 0, "what it got before is worked off");
    let sent = sent_within(&mut limiter, &mut now, second);
    assert!((9..=11).contains(&sent), "{sent}");
}

/// A limit that changes with each response gives no burst each time.
#[test]
fn changes_each_time() {
    let mut now = Instant::now();
    let mut limiter = Limiter::new(Rate(20.0), 0, now);
    let mut sent = 0;
    for number in 0..400_u32 {
        let rate = if number.is_multiple_of(2) { 30.0 } else { 20.0 };
        limiter.set_rate(Rate(rate), 20, now);
        sent += sent_within(&mut limiter, &mut now, MS * 10);
    }
    assert!((72..=124).contains(&sent), "{sent} in 4 s at 20 to 30");
}

/// One call in five seconds finds out whether a limit of zero has ended.
#[test]
fn zero_is_probed() {
    let mut now = Instant::now();
    let mut limiter = Limiter::new(Rate(0.0), 0, now);
    let sent = sent_within(&mut limiter, &mut now, Duration::from_mins(1));
    assert!((11..=12).contains(&sent), "{sent}");
}

/// Nodes that are refused at once come back one after the other.
#[test]
fn turns_are_spaced() {
    let now = Instant::now();
    let mut limiter = Limiter::new(Rate(10.0), 0, now);
    let turns: Vec<_> = (0..20).map(|_| limiter.turn(now)).collect();
    assert!(turns.windows(2).all(|pair| pair[0] < pair[1]), "{turns:?}");
    assert!(turns[19] <= Duration::from_secs(2));
    let mut full = Limiter::new(Rate(0.3), 0, now);
    for _ in 0..50 {
        assert!(full.turn(now) <= Duration::from_secs(2));
    }
}

#[test]
fn last_second_counts() {
    let mut now = Instant::now();
    let mut recent = Recent::new(now);
    for _ in 0..30 {
        now += MS * 100;
        recent.record(now);
    }
    assert_eq!(recent.count(now), 10);
    assert_eq!(recent.count(now + Duration::from_secs(2)), 0);
}
