//! Few upstreams that stand unevenly in the failure domains.

mod support;

use support::{Kind, Load, Rule, Tally, Upstream, play};

/// News come with answers, so they are hardly later than these are on a busy link.
const ANSWERED_MS: u64 = 20;
const SEEDS: [u64; 3] = [1, 2, 3];

/// Four upstreams, two of them in the first domain; requests come evenly from all three, in `load`
/// times the number that the service takes.
fn graph(load: f64, late_ms: u64) -> Load {
    let speeds = [(0, 1.4), (0, 0.6), (1, 1.0), (2, 1.0)];
    let upstreams = speeds.map(|(domain, speed)| Upstream {
        domain,
        slots: 100,
        speed,
    });
    let rate = 400.0 / 0.1 * load / 3.0;
    Load {
        upstreams: upstreams.to_vec(),
        kinds: vec![Kind {
            name: "confirm",
            rates: [rate; 3],
            work_ms: 100.0,
            tail: 0.01,
            tail_x: 3.0,
            timeout_ms: 800.0,
        }],
        senders: 60,
        noise: None,
        slowed: None,
        late: late_ms * 1000,
        length: 14_000_000,
        counted_from: 3_000_000,
    }
}

fn mean(plays: &[Tally], value: impl Fn(&Tally) -> f64) -> f64 {
    plays.iter().map(value).sum::<f64>() / 3.0
}

fn plays(load: &Load, rule: Rule) -> Vec<Tally> {
    SEEDS.iter().map(|seed| play(load, rule, *seed)).collect()
}

/// Domains with less room than demand send the rest elsewhere before their own queue grows.
#[test]
fn rest_goes_elsewhere() {
    // The domains with one upstream ask 1.2 times what that takes.
    let load = graph(0.9, 0);
    let (now, before) = (plays(&load, Rule::Finish), plays(&load, Rule::TwoDrawn));
    let waited = |tally: &Tally| tally.waited[2].max(tally.waited[3]);
    println!(
        "waiting {:.3}, before {:.3}",
        mean(&now, waited),
        mean(&before, waited)
    );
    let time = |plays: &[Tally]| mean(plays, |tally| tally.mean_ms("confirm"));
    println!("mean {:.0} ms, before {:.0} ms", time(&now), time(&before));
    assert!(mean(&now, waited) < 0.05);
    assert!(mean(&now, waited) < mean(&before, waited));
}

/// With room for all nothing leaves its domain.
#[test]
fn near_ones_first() {
    for tally in plays(&graph(0.5, 0), Rule::Finish) {
        let mut sums = [0u32; 2];
        for tenth in &tally.swapped[30..] {
            for (from, row) in tenth.iter().enumerate() {
                for (to, count) in row.iter().enumerate() {
                    sums[usize::from(from != to)] += count;
                }
            }
        }
        let share = f64::from(sums[1]) / f64::from(sums[0] + sums[1]);
        assert!(share < 0.01, "{share:.4} leave their domain");
    }
}

/// Returns the share of requests that two domains send each other at the same time.
fn swapped(tally: &Tally) -> f64 {
    let (mut swapped, mut all) = (0, 0);
    for tenth in &tally.swapped[30..] {
        all += tenth.iter().flatten().sum::<u32>();
        for (one, other) in [(0, 1), (0, 2), (1, 2)] {
            swapped += 2 * tenth[one][other].min(tenth[other][one]);
        }
    }
    f64::from(swapped) / f64::from(all)
}

/// Returns by how much what an upstream gets in a fifth of a second differs from its mean.
fn swing(tally: &Tally) -> f64 {
    let swings = tally.got.iter().map(|got| {
        let fifths = got[30..120].chunks(2);
        let fifths: Vec<f64> = fifths
            .map(|pair| f64::from(pair.iter().sum::<u32>()))
            .collect();
        let count = f64::from(u32::try_from(fifths.len()).expect("few"));
        let mean = fifths.iter().sum::<f64>() / count;
        let square = fifths.iter().map(|one| (one - mean).powi(2)).sum::<f64>();
        (square / count).sqrt() / mean
    });
    swings.fold(0.0, f64::max)
}

/// Domains that are all nearly full do not send each other the same load, nor in waves, however many
/// send and however late the news.
#[test]
fn no_waves() {
    for (late, senders) in [(0, 60), (0, 300), (20, 60), (20, 300), (100, 60), (200, 60)] {
        let load = Load {
            senders,
            ..graph(0.95, late)
        };
        let (now, before) = (plays(&load, Rule::Finish), plays(&load, Rule::TwoDrawn));
        for (name, plays) in [("now", &now), ("before", &before)] {
            println!(
                "{late} ms late, {senders}, {name}: swapped {:.4}, swing {:.3}, in time {:.4}, {:.0} ms",
                mean(plays, swapped),
                mean(plays, swing),
                mean(plays, |tally| tally.in_time("confirm")),
                mean(plays, |tally| tally.mean_ms("confirm"))
            );
        }
        let in_time = mean(&now, |tally| tally.in_time("confirm"));
        assert!(mean(&now, swapped) < 0.75 * mean(&before, swapped));
        if late <= ANSWERED_MS {
            assert!(mean(&now, swapped) < 0.1, "{late} ms late");
            assert!(mean(&now, swing) < 0.5, "{late} ms late");
            assert!(in_time > 0.999, "{in_time:.4}, {late} ms late");
        } else {
            assert!(in_time > 0.97, "{in_time:.4}, {late} ms late");
        }
    }
}
