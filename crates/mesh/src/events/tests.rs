//! Tests of event sampling when there are more events than the target rate.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use crate::events::sampler::{MAX_RATE, Sampler, TARGET_RATE};
use crate::key::AttemptKey;

/// Requests per second, far above the target rate.
const MANY: u32 = 2000;

fn key(number: u32, call: &str) -> AttemptKey {
    AttemptKey::from(format!("{number:08x}{call}").as_str())
}

/// Simulates a second with many refused requests and returns those whose events were written.
fn pass_second(sampler: &mut Sampler, start: Instant, first: u32, call: &str) -> HashSet<u32> {
    let numbers = first..first + MANY;
    let kept = numbers.filter(|number| {
        let moment = start + Duration::from_micros(u64::from(number - first) * 400);
        sampler.sample(&key(*number, call), moment).is_kept
    });
    kept.collect()
}

#[test]
fn few_are_all_written() {
    let now = Instant::now();
    let mut sampler = Sampler::new("refusals", now);
    for number in 0..TARGET_RATE {
        let verdict = sampler.sample(&key(number, ""), now);
        assert!(verdict.is_kept && verdict.summary.is_none());
    }
}

#[test]
fn floods_are_bounded() {
    let now = Instant::now();
    let mut sampler = Sampler::new("refusals", now);
    for second in 0..5u32 {
        let start = now + Duration::from_secs(u64::from(second));
        let kept = pass_second(&mut sampler, start, second * MANY, "");
        assert!(kept.len() <= MAX_RATE as usize, "{}", kept.len());
        assert!(kept.len() >= TARGET_RATE as usize / 4, "{}", kept.len());
    }
}

/// Two nodes that handle the same requests sample the same ones.
#[test]
fn nodes_sample_alike() {
    let now = Instant::now();
    let mut entry = Sampler::new("refusals", now);
    let mut gate = Sampler::new("refusals", now);
    for second in 0..4u32 {
        let start = now + Duration::from_secs(u64::from(second));
        let at_entry = pass_second(&mut entry, start, second * MANY, "");
        let at_gate = pass_second(&mut gate, start, second * MANY, ".1f.2a");
        if second > 0 {
            assert_eq!(at_entry, at_gate);
        }
    }
}

#[test]
fn losses_are_reported() {
    let now = Instant::now();
    let mut sampler = Sampler::new("refusals", now);
    pass_second(&mut sampler, now, 0, "");
    let later = now + Duration::from_secs(1);
    let limited = sampler
        .sample(&key(0, ""), later)
        .summary
        .expect("a summary");
    assert_eq!(
        (limited.left_out, limited.kept_percent),
        (MANY - MAX_RATE, 0)
    );
    assert_eq!(limited.span, Duration::from_secs(1));
    pass_second(&mut sampler, later, MANY, "");
    let later = later + Duration::from_secs(1);
    let adapted = sampler
        .sample(&key(0, ""), later)
        .summary
        .expect("a second summary");
    assert!((1..=5).contains(&adapted.kept_percent), "{adapted:?}");
    let calm = sampler.sample(&key(0, ""), later + Duration::from_secs(1));
    assert!(calm.summary.is_none_or(|summary| summary.left_out <= 1));
}
