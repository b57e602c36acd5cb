//! The retry budget under simulated time.

use std::time::Duration;

use bytes::Bytes;
use sailtrack_quarantine::{Caller, Hasher};
use sailtrack_units::{Class, Moment, Period, Rank, Ratio};

use crate::clock;
use crate::key::AttemptKey;
use crate::memory::{self, Buffer};
use crate::overdue;
use crate::request::{OverLimit, Request};
use crate::retry::Budget;
use crate::settings::RetryBounds;

const BOUNDS: RetryBounds = RetryBounds {
    ratio: Ratio(0.2),
    slack: 49.0,
    window: Period::from_millis(10_000),
};

fn request(rank: Rank, is_retry: bool) -> Request {
    Request {
        workspace: None,
        completed_calls: 0,
        class: Class::default(),
        attempt: AttemptKey::from("a"),
        identity: Hasher::new(&[b"/"], Caller::default()).finish(),
        known_crashes: 0,
        service: "ledger".parse().expect("a name"),
        kind: "read".parse().expect("a name"),
        idempotent: true,
        rank,
        is_nested: false,
        is_retry,
        over_limit: OverLimit::default(),
        overdue: overdue::Signal::default(),
        caller: memory::Caller::Anonymous,
        client: None,
        deadline: clock::now(),
        head: Bytes::new(),
        body: Buffer::default(),
    }
}

/// Acquires retries until none are left.
fn drain(budget: &Budget, rank: Rank, now: Moment) -> usize {
    let request = request(rank, false);
    (0..10_000)
        .take_while(|_| budget.try_acquire(&request, now, 15))
        .count()
}

fn record(budget: &Budget, requests: usize, is_retry: bool, now: Moment) {
    for _ in 0..requests {
        budget.record_request(&request(Rank::HIGHEST, is_retry), now);
    }
}

/// Records a nested call, so that the budget knows that nested calls can be recognized.
fn record_nested(budget: &Budget, now: Moment) {
    let call = Request {
        is_nested: true,
        ..request(Rank::HIGHEST, false)
    };
    budget.record_request(&call, now);
}

#[test]
fn within_the_ratio() {
    let budget = Budget::new(BOUNDS);
    let now = clock::now();
    record(&budget, 1000, false, now);
    record_nested(&budget, now);
    let granted = drain(&budget, Rank::HIGHEST, now);
    assert!((150..=200).contains(&granted), "{granted} of 200 allowed");
}

/// Nested calls cannot be recognized: four chained services that each use their share stay within
/// the ratio at the last one.
#[test]
fn untold_chain() {
    let budget = Budget::new(BOUNDS);
    let now = clock::now();
    record(&budget, 1000, false, now);
    let granted = drain(&budget, Rank::HIGHEST, now);
    assert!(granted * 4 <= 204, "{granted} at each of four services");
    assert!(granted > 0);
}

/// Nodes without requests stay within the common slack, even if one retry causes many requests.
///
/// Each node gets one retry or none; the mean over 4,000 nodes is within 5 standard deviations of
/// the allowed number.
#[test]
fn slack_is_shared() {
    let now = clock::now();
    let granted: usize = (0..4000)
        .map(|_| {
            let granted = drain(&Budget::new(BOUNDS), Rank::HIGHEST, now);
            assert!(granted <= 1);
            granted
        })
        .sum();
    assert!((900..=1200).contains(&granted), "{granted} of 4000 nodes");
    assert!(granted * 15 * 13 <= 4000 * 59, "{granted} of 4000 nodes");
}

#[test]
fn calls_of_repeats_count() {
    let budget = Budget::new(BOUNDS);
    let now = clock::now();
    record_nested(&budget, now);
    record(&budget, 800, false, now);
    record(&budget, 200, true, now);
    assert_eq!(drain(&budget, Rank::HIGHEST, now), 0);
}

#[test]
fn important_ones_first() {
    let budget = Budget::new(BOUNDS);
    let now = clock::now();
    record_nested(&budget, now);
    record(&budget, 1000, false, now);
    let normal = drain(&budget, Rank::from_index(130), now);
    let critical = drain(&budget, Rank::HIGHEST, now);
    assert!(normal > 0);
    assert!(critical > normal * 3, "{critical} after {normal}");
}

/// While retries are not scarce, requests of any rank get them.
#[test]
fn few_are_for_all() {
    let budget = Budget::new(BOUNDS);
    let start = clock::now();
    record_nested(&budget, start);
    let low = request(Rank::from_index(70), false);
    let mut granted = 0;
    for tenth in 0..200 {
        let now = start + Duration::from_millis(100 * tenth);
        record(&budget, 100, false, now);
        granted += u32::from(budget.try_acquire(&low, now, 15));
        granted += u32::from(budget.try_acquire(&low, now, 15));
    }
    // The first attempts come before enough requests have been counted.
    assert!(granted >= 380, "{granted} of 400, 2 % of the requests");
}

/// Retries of normal requests at three services add up as calls at the service below them.
#[test]
fn levels_add_up() {
    for requested_each in [1, 4, 7, 10, 20] {
        let budget = Budget::new(BOUNDS);
        let start = clock::now();
        record_nested(&budget, start);
        let normal = request(Rank::from_index(127), false);
        let mut granted = 0;
        for tenth in 0..300 {
            let now = start + Duration::from_millis(100 * tenth);
            record(&budget, 100, false, now);
            for _ in 0..requested_each {
                let is_granted = budget.try_acquire(&normal, now, 15);
                granted += u32::from(is_granted && tenth >= 100);
            }
        }
        // 20,000 requests are counted meanwhile.
        assert!(
            granted * 3 <= 4000,
            "{granted} with {requested_each} requested per 100"
        );
    }
}

/// When the demand far exceeds the budget, more important requests still get their retries.
#[test]
fn flood_leaves_room() {
    let budget = Budget::new(BOUNDS);
    let start = clock::now();
    record_nested(&budget, start);
    let (low, critical) = (
        request(Rank::from_index(70), false),
        request(Rank::HIGHEST, false),
    );
    let (mut granted, mut requested) = (0, 0);
    for tenth in 0..200 {
        let now = start + Duration::from_millis(100 * tenth);
        record(&budget, 100, false, now);
        for _ in 0..50 {
            budget.try_acquire(&low, now, 15);
        }
        for _ in 0..10 {
            requested += 1;
            granted += u32::from(budget.try_acquire(&critical, now, 15));
        }
    }
    assert!(granted * 10 >= requested * 9, "{granted} of {requested}");
}

#[test]
fn windows_pass() {
    let budget = Budget::new(BOUNDS);
    let now = clock::now();
    record_nested(&budget, now);
    record(&budget, 1000, false, now);
    let first = drain(&budget, Rank::HIGHEST, now);
    let later = now + Duration::from_secs(11);
    let second = drain(&budget, Rank::HIGHEST, later);
    assert!(
        second.abs_diff(first) <= 1,
        "{second}, the previous window counts: {first}"
    );
    let much_later = now + Duration::from_secs(40);
    assert!(drain(&budget, Rank::HIGHEST, much_later) < 2);
}

/// Counts age while the instance is suspended, as they do for the upstreams.
#[test]
fn window_goes_on_suspended() {
    let budget = Budget::new(BOUNDS);
    let before = clock::now();
    record(&budget, 1000, false, before);
    assert!(drain(&budget, Rank::HIGHEST, clock::now()) > 0);
    clock::suspend(BOUNDS.window.0 * 3);
    let after = drain(&budget, Rank::HIGHEST, clock::now());
    assert!(after <= 1, "{after} retries without requests");
}

/// Simulates requests that each make four sequential calls to a service that rejects the given
/// percentage of calls; returns the percentage of requests whose four calls all succeed.
fn completed_percent(rejected_percent: u32, counts_completed: bool) -> u32 {
    const MOST_TRIES: u32 = 5;
    let budget = Budget::new(BOUNDS);
    let start = clock::now();
    record_nested(&budget, start);
    // Both variants draw the same sequence.
    let mut state = 0x2545_f491_4f6c_dd1d_u64;
    let mut draw = move || {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        u32::try_from(state % 100).expect("below 100")
    };
    let (mut through, mut begun) = (0, 0);
    for hundredth in 0..3000 {
        let now = start + Duration::from_millis(10 * hundredth);
        let rank = Rank::from_index(u8::try_from(128 + draw() % 64).expect("a rank"));
        let mut answered = 0;
        while answered < 4 {
            let call = Request {
                completed_calls: if counts_completed { answered } else { 0 },
                is_nested: true,
                ..request(rank, false)
            };
            budget.record_request(&call, now);
            let is_in = (0..MOST_TRIES).any(|number| {
                let may_try = number == 0 || budget.try_acquire(&call, now, 15);
                may_try && draw() >= rejected_percent
            });
            if !is_in {
                break;
            }
            answered += 1;
        }
        if hundredth >= 1000 {
            begun += 1;
            through += u32::from(answered == 4);
        }
    }
    through * 100 / begun
}

/// While a service rejects 40 % of calls, retries go to calls that complete a request.
#[test]
fn nearly_through_first() {
    let (with, without) = (completed_percent(40, true), completed_percent(40, false));
    println!("{with} of 100 requests complete, {without} without counting completed calls");
    assert!(with > without, "{with} and {without}");
}
