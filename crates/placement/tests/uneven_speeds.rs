//! Load balancing over upstreams of one service that differ in speed.

mod support;

use support::{Kind, Policy, Scenario, Summary, Upstream, simulate};

const SEEDS: [u64; 3] = [1, 2, 3];
/// A third of the upstreams are fast.
const SPEEDS: [f64; 3] = [0.7, 0.7, 1.7];

fn browse(rate: f64) -> Kind {
    Kind {
        name: "browse",
        rates_per_s: [rate / 3.0; 3],
        work_ms: 140.0,
        slow_share: 0.03,
        slow_factor: 7.0,
        timeout_ms: 1000.0,
    }
}

fn lookup(rate: f64) -> Kind {
    Kind {
        name: "lookup",
        rates_per_s: [rate / 3.0; 3],
        work_ms: 15.0,
        slow_share: 0.0,
        slow_factor: 1.0,
        timeout_ms: 1000.0,
    }
}

fn scenario(count: usize, slots: u32, kinds: Vec<Kind>) -> Scenario {
    let upstreams = (0..count).map(|index| Upstream {
        domain: index % 3,
        slots,
        speed: SPEEDS[index / 3 % 3],
    });
    Scenario {
        upstreams: upstreams.collect(),
        kinds,
        senders: 30,
        noise: Some((0.15, 2.5, 600_000)),
        slowed: None,
        report_delay: 0,
        duration: 16_000_000,
        measured_from: 4_000_000,
    }
}

fn runs(scenario: &Scenario, policy: Policy) -> Vec<Summary> {
    SEEDS
        .iter()
        .map(|seed| simulate(scenario, policy, *seed))
        .collect()
}

fn mean(runs: &[Summary], value: impl Fn(&Summary) -> f64) -> f64 {
    runs.iter().map(value).sum::<f64>() / 3.0
}

/// One request in 33 meets its deadline only on a fast upstream, and the capacity is ten times what
/// is needed.
#[test]
fn long_work_goes_to_quick_ones() {
    let scenario = scenario(33, 58, vec![browse(1000.0)]);
    let (current, baseline) = (
        runs(&scenario, Policy::LeastCost),
        runs(&scenario, Policy::PowerOfTwo),
    );
    let in_time = |runs: &[Summary]| mean(runs, |summary| summary.in_time("browse"));
    let time = |runs: &[Summary]| mean(runs, |summary| summary.mean_ms("browse"));
    println!(
        "in time {:.4}, power of two {:.4}",
        in_time(&current),
        in_time(&baseline)
    );
    println!(
        "mean {:.0} ms, power of two {:.0} ms",
        time(&current),
        time(&baseline)
    );
    assert!(in_time(&current) > 0.985, "{:.4}", in_time(&current));
    assert!(in_time(&current) > in_time(&baseline) + 0.01);
    assert!(time(&current) < time(&baseline) * 0.85);
}

/// When two kinds share a service, the longer one gets more of the fast upstreams.
#[test]
fn longer_kinds_come_first() {
    let scenario = scenario(9, 20, vec![browse(600.0), lookup(1500.0)]);
    let (current, baseline) = (
        runs(&scenario, Policy::LeastCost),
        runs(&scenario, Policy::PowerOfTwo),
    );
    for kind in ["browse", "lookup"] {
        let in_time = |runs: &[Summary]| mean(runs, |summary| summary.in_time(kind));
        println!(
            "{kind} {:.4}, power of two {:.4}",
            in_time(&current),
            in_time(&baseline)
        );
    }
    let browse = |runs: &[Summary]| mean(runs, |summary| summary.in_time("browse"));
    let lookup = |runs: &[Summary]| mean(runs, |summary| summary.in_time("lookup"));
    assert!(browse(&current) > browse(&baseline));
    assert!(lookup(&current) > 0.999);
}

/// A saturated service fills all of its upstreams: none queues while another has free slots.
#[test]
fn full_service_fills_all() {
    // The capacity of 9 upstreams with 20 slots at these speeds is 1,328 requests per second.
    let kind = Kind {
        slow_share: 0.0,
        ..browse(1300.0)
    };
    let mut scenario = scenario(9, 20, vec![kind]);
    scenario.noise = None;
    let (current, baseline) = (
        runs(&scenario, Policy::LeastCost),
        runs(&scenario, Policy::PowerOfTwo),
    );
    let least = |summary: &Summary| summary.utilization.iter().copied().fold(1.0, f64::min);
    let in_time = |summary: &Summary| summary.in_time("browse");
    for (name, runs) in [("least cost", &current), ("power of two", &baseline)] {
        println!(
            "{name}: least utilized {:.3}, misplaced {:.3}, in time {:.4}, {:.0} ms",
            mean(runs, least),
            mean(runs, |summary| summary.misplaced),
            mean(runs, in_time),
            mean(runs, |summary| summary.mean_ms("browse"))
        );
    }
    assert!(mean(&current, least) > 0.9);
    assert!(mean(&current, |summary| summary.misplaced) < 0.04);
    assert!(mean(&current, in_time) >= mean(&baseline, in_time));
}

/// Every upstream gets some requests; otherwise its statistics would never show that it became fast.
#[test]
fn none_is_starved() {
    let scenario = scenario(33, 58, vec![browse(1000.0)]);
    for summary in runs(&scenario, Policy::LeastCost) {
        for index in 0..33 {
            let share = summary.share(index, 40, 140);
            assert!(share > 0.0002, "{index}: {share:.5}");
        }
    }
}

/// An upstream that is slowed for half a second loses its share at once and then regains it.
#[test]
fn slowed_for_a_moment() {
    let mut scenario = scenario(9, 58, vec![browse(600.0)]);
    scenario.noise = None;
    let slowed = 6;
    scenario.slowed = Some((slowed, 4.0, 8_000_000, 8_500_000));
    let current = runs(&scenario, Policy::LeastCost);
    let share = |from, to| mean(&current, |summary| summary.share(slowed, from, to));
    let (before, during, after) = (share(60, 80), share(81, 85), share(88, 100));
    println!("share {before:.3}, slowed {during:.3}, after {after:.3}");
    assert!(during < before * 0.35, "{during:.3} of {before:.3}");
    assert!(after > before * 0.75, "{after:.3} of {before:.3}");
}
