//! Load balancing over a few upstreams that are unevenly distributed over the failure domains.

mod support;

use support::{Kind, Policy, Scenario, Summary, Upstream, simulate};

/// The delay of an answer on a busy link. Reports arrive with answers, so they are rarely later.
const ANSWER_DELAY_MS: u64 = 20;
const SEEDS: [u64; 3] = [1, 2, 3];

/// Four upstreams, two of them in the first domain. Requests come evenly from all three domains, at
/// `utilization` times the capacity of the service.
fn scenario(utilization: f64, delay_ms: u64) -> Scenario {
    let speeds = [(0, 1.4), (0, 0.6), (1, 1.0), (2, 1.0)];
    let upstreams = speeds.map(|(domain, speed)| Upstream {
        domain,
        slots: 100,
        speed,
    });
    let rate = 400.0 / 0.1 * utilization / 3.0;
    Scenario {
        upstreams: upstreams.to_vec(),
        kinds: vec![Kind {
            name: "confirm",
            rates_per_s: [rate; 3],
            work_ms: 100.0,
            slow_share: 0.01,
            slow_factor: 3.0,
            timeout_ms: 800.0,
        }],
        senders: 60,
        noise: None,
        slowed: None,
        report_delay: delay_ms * 1000,
        duration: 14_000_000,
        measured_from: 3_000_000,
    }
}

fn mean(runs: &[Summary], value: impl Fn(&Summary) -> f64) -> f64 {
    runs.iter().map(value).sum::<f64>() / 3.0
}

fn runs(scenario: &Scenario, policy: Policy) -> Vec<Summary> {
    SEEDS
        .iter()
        .map(|seed| simulate(scenario, policy, *seed))
        .collect()
}

/// Domains with less capacity than demand send the excess elsewhere before their own queues grow.
#[test]
fn rest_goes_elsewhere() {
    // The demand of the domains with one upstream is 1.2 times its capacity.
    let scenario = scenario(0.9, 0);
    let (current, baseline) = (
        runs(&scenario, Policy::LeastCost),
        runs(&scenario, Policy::PowerOfTwo),
    );
    let mean_queue = |summary: &Summary| summary.mean_queue[2].max(summary.mean_queue[3]);
    println!(
        "queued {:.3}, power of two {:.3}",
        mean(&current, mean_queue),
        mean(&baseline, mean_queue)
    );
    let time = |runs: &[Summary]| mean(runs, |summary| summary.mean_ms("confirm"));
    println!(
        "mean {:.0} ms, power of two {:.0} ms",
        time(&current),
        time(&baseline)
    );
    assert!(mean(&current, mean_queue) < 0.05);
    assert!(mean(&current, mean_queue) < mean(&baseline, mean_queue));
}

/// With capacity for all requests, none leaves its domain.
#[test]
fn near_ones_first() {
    for summary in runs(&scenario(0.5, 0), Policy::LeastCost) {
        let mut sums = [0u32; 2];
        for tenth in &summary.domain_flows[30..] {
            for (from, row) in tenth.iter().enumerate() {
                for (to, count) in row.iter().enumerate() {
                    sums[usize::from(from != to)] += count;
                }
            }
        }
        let share = f64::from(sums[1]) / f64::from(sums[0] + sums[1]);
        assert!(share < 0.01, "a share of {share:.4} left its domain");
    }
}

/// Returns the share of requests that two domains send to each other at the same time.
fn swapped(summary: &Summary) -> f64 {
    let (mut swapped, mut all) = (0, 0);
    for tenth in &summary.domain_flows[30..] {
        all += tenth.iter().flatten().sum::<u32>();
        for (one, other) in [(0, 1), (0, 2), (1, 2)] {
            swapped += 2 * tenth[one][other].min(tenth[other][one]);
        }
    }
    f64::from(swapped) / f64::from(all)
}

/// Returns the greatest coefficient of variation, over all upstreams, of the requests that one gets
/// per fifth of a second.
fn variation(summary: &Summary) -> f64 {
    let variations = summary.received.iter().map(|received| {
        let fifths = received[30..120].chunks(2);
        let fifths: Vec<f64> = fifths
            .map(|pair| f64::from(pair.iter().sum::<u32>()))
            .collect();
        let count = f64::from(u32::try_from(fifths.len()).expect("few"));
        let mean = fifths.iter().sum::<f64>() / count;
        let square = fifths.iter().map(|one| (one - mean).powi(2)).sum::<f64>();
        (square / count).sqrt() / mean
    });
    variations.fold(0.0, f64::max)
}

/// Domains that are all nearly saturated neither swap load nor oscillate, whatever the number of
/// senders and the delay of reports.
#[test]
fn no_waves() {
    for (delay, senders) in [(0, 60), (0, 300), (20, 60), (20, 300), (100, 60), (200, 60)] {
        let scenario = Scenario {
            senders,
            ..scenario(0.95, delay)
        };
        let (current, baseline) = (
            runs(&scenario, Policy::LeastCost),
            runs(&scenario, Policy::PowerOfTwo),
        );
        for (name, runs) in [("least cost", &current), ("power of two", &baseline)] {
            println!(
                "reports {delay} ms late, {senders} senders, {name}: swapped {:.4}, variation {:.3}, in time {:.4}, {:.0} ms",
                mean(runs, swapped),
                mean(runs, variation),
                mean(runs, |summary| summary.in_time("confirm")),
                mean(runs, |summary| summary.mean_ms("confirm"))
            );
        }
        let in_time = mean(&current, |summary| summary.in_time("confirm"));
        assert!(mean(&current, swapped) < 0.75 * mean(&baseline, swapped));
        if delay <= ANSWER_DELAY_MS {
            assert!(mean(&current, swapped) < 0.1, "reports {delay} ms late");
            assert!(mean(&current, variation) < 0.5, "reports {delay} ms late");
            assert!(in_time > 0.999, "{in_time:.4}, reports {delay} ms late");
        } else {
            assert!(in_time > 0.97, "{in_time:.4}, reports {delay} ms late");
        }
    }
}
