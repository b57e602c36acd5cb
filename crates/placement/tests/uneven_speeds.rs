//! Upstreams of one service that differ in speed.

mod support;

use support::{Kind, Load, Rule, Tally, Upstream, play};

const SEEDS: [u64; 3] = [1, 2, 3];
/// A third of the upstreams is quick.
const SPEEDS: [f64; 3] = [0.7, 0.7, 1.7];

fn browse(rate: f64) -> Kind {
    Kind {
        name: "browse",
        rates: [rate / 3.0; 3],
        work_ms: 140.0,
        tail: 0.03,
        tail_x: 7.0,
        timeout_ms: 1000.0,
    }
}

fn lookup(rate: f64) -> Kind {
    Kind {
        name: "lookup",
        rates: [rate / 3.0; 3],
        work_ms: 15.0,
        tail: 0.0,
        tail_x: 1.0,
        timeout_ms: 1000.0,
    }
}

fn load(count: usize, slots: u32, kinds: Vec<Kind>) -> Load {
    let upstreams = (0..count).map(|place| Upstream {
        domain: place % 3,
        slots,
        speed: SPEEDS[place / 3 % 3],
    });
    Load {
        upstreams: upstreams.collect(),
        kinds,
        senders: 30,
        noise: Some((0.15, 2.5, 600_000)),
        slowed: None,
        late: 0,
        length: 16_000_000,
        counted_from: 4_000_000,
    }
}

fn plays(load: &Load, rule: Rule) -> Vec<Tally> {
    SEEDS.iter().map(|seed| play(load, rule, *seed)).collect()
}

fn mean(plays: &[Tally], value: impl Fn(&Tally) -> f64) -> f64 {
    plays.iter().map(value).sum::<f64>() / 3.0
}

/// One request in 33 ends in time on a quick upstream only, and there is ten times the room.
#[test]
fn long_work_goes_to_quick_ones() {
    let load = load(33, 58, vec![browse(1000.0)]);
    let (now, before) = (plays(&load, Rule::Finish), plays(&load, Rule::TwoDrawn));
    let in_time = |plays: &[Tally]| mean(plays, |tally| tally.in_time("browse"));
    let time = |plays: &[Tally]| mean(plays, |tally| tally.mean_ms("browse"));
    println!(
        "in time {:.4}, of two drawn {:.4}",
        in_time(&now),
        in_time(&before)
    );
    println!(
        "mean {:.0} ms, of two drawn {:.0} ms",
        time(&now),
        time(&before)
    );
    assert!(in_time(&now) > 0.985, "{:.4}", in_time(&now));
    assert!(in_time(&now) > in_time(&before) + 0.01);
    assert!(time(&now) < time(&before) * 0.85);
}

/// Where two kinds share a service the long one gets more of the quick upstreams.
#[test]
fn longer_kinds_come_first() {
    let load = load(9, 20, vec![browse(600.0), lookup(1500.0)]);
    let (now, before) = (plays(&load, Rule::Finish), plays(&load, Rule::TwoDrawn));
    for kind in ["browse", "lookup"] {
        let in_time = |plays: &[Tally]| mean(plays, |tally| tally.in_time(kind));
        println!(
            "{kind} {:.4}, of two drawn {:.4}",
            in_time(&now),
            in_time(&before)
        );
    }
    let browse = |plays: &[Tally]| mean(plays, |tally| tally.in_time("browse"));
    let lookup = |plays: &[Tally]| mean(plays, |tally| tally.in_time("lookup"));
    assert!(browse(&now) > browse(&before));
    assert!(lookup(&now) > 0.999);
}

/// A full service fills all of its upstreams: none queues while another has free slots.
#[test]
fn full_service_fills_all() {
    // What 9 upstreams of 20 slots take at these speeds is 1,328 a second.
    let kind = Kind {
        tail: 0.0,
        ..browse(1300.0)
    };
    let mut load = load(9, 20, vec![kind]);
    load.noise = None;
    let (now, before) = (plays(&load, Rule::Finish), plays(&load, Rule::TwoDrawn));
    let least = |tally: &Tally| tally.used.iter().copied().fold(1.0, f64::min);
    let in_time = |tally: &Tally| tally.in_time("browse");
    for (name, plays) in [("now", &now), ("of two drawn", &before)] {
        println!(
            "{name}: least used {:.3}, misplaced {:.3}, in time {:.4}, {:.0} ms",
            mean(plays, least),
            mean(plays, |tally| tally.misplaced),
            mean(plays, in_time),
            mean(plays, |tally| tally.mean_ms("browse"))
        );
    }
    assert!(mean(&now, least) > 0.9);
    assert!(mean(&now, |tally| tally.misplaced) < 0.04);
    assert!(mean(&now, in_time) >= mean(&before, in_time));
}

/// Every upstream gets some requests, or nobody would learn that it became quick.
#[test]
fn none_is_starved() {
    let load = load(33, 58, vec![browse(1000.0)]);
    for tally in plays(&load, Rule::Finish) {
        for place in 0..33 {
            let share = tally.share(place, 40, 140);
            assert!(share > 0.0002, "{place}: {share:.5}");
        }
    }
}

/// An upstream that is slowed for half a second loses its share at once and gets it back.
#[test]
fn slowed_for_a_moment() {
    let mut load = load(9, 58, vec![browse(600.0)]);
    load.noise = None;
    let slowed = 6;
    load.slowed = Some((slowed, 4.0, 8_000_000, 8_500_000));
    let now = plays(&load, Rule::Finish);
    let share = |from, to| mean(&now, |tally| tally.share(slowed, from, to));
    let (before, during, after) = (share(60, 80), share(81, 85), share(88, 100));
    println!("share {before:.3}, slowed {during:.3}, after {after:.3}");
    assert!(during < before * 0.35, "{during:.3} of {before:.3}");
    assert!(after > before * 0.75, "{after:.3} of {before:.3}");
}
