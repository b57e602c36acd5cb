//! What is written of requests when there are too many.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use crate::events::sampler::{AIM, MOST, Sampler};
use crate::key::AttemptKey;

/// The requests of a second with far too many.
const MANY: u32 = 2000;

fn key(number: u32, call: &str) -> AttemptKey {
    AttemptKey::from(format!("{number:08x}{call}").as_str())
}

/// Lets a second with many refused requests pass and returns those that were written.
fn pass_second(sampler: &mut Sampler, start: Instant, first: u32, call: &str) -> HashSet<u32> {
    let numbers = first..first + MANY;
    let kept = numbers.filter(|number| {
        let moment = start + Duration::from_micros(u64::from(number - first) * 400);
        sampler.judge(&key(*number, call), moment).is_kept
    });
    kept.collect()
}

#[test]
fn few_are_all_written() {
    let now = Instant::now();
    let mut sampler = Sampler::new("refusals", now);
    for number in 0..AIM {
        let verdict = sampler.judge(&key(number, ""), now);
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
        assert!(kept.len() <= MOST as usize, "{}", kept.len());
        assert!(kept.len() >= AIM as usize / 4, "{}", kept.len());
    }
}

/// Two nodes with the same flood write about the same requests.
#[test]
fn trails_stay_whole() {
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
fn loss_is_said() {
    let now = Instant::now();
    let mut sampler = Sampler::new("refusals", now);
    pass_second(&mut sampler, now, 0, "");
    let later = now + Duration::from_secs(1);
    let torn = sampler
        .judge(&key(0, ""), later)
        .summary
        .expect("it is said");
    assert_eq!((torn.left_out, torn.kept_percent), (MANY - MOST, 0));
    assert_eq!(torn.span, Duration::from_secs(1));
    pass_second(&mut sampler, later, MANY, "");
    let later = later + Duration::from_secs(1);
    let whole = sampler.judge(&key(0, ""), later).summary.expect("again");
    assert!((1..=5).contains(&whole.kept_percent), "{whole:?}");
    let calm = sampler.judge(&key(0, ""), later + Duration::from_secs(1));
    assert!(calm.summary.is_none_or(|summary| summary.left_out <= 1));
}
