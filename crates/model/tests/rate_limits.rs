//! How much of an upstream's rate limit many nodes use together, and how far they exceed it.

use std::time::Duration;

use sailtrack_model::{Keeping, Limited, Usage, play_limited};
use sailtrack_units::Rate;

const NODES: [usize; 5] = [4, 14, 57, 194, 560];
const LIMITS: [f64; 4] = [2.6, 34.5, 300.0, 10_000.0];
/// All nodes together ask for this multiple of the limit.
const EXCESS: f64 = 4.0;
/// What the users allow in four seconds, as a share of the limit, and in addition to it in requests.
const ALLOWED: f64 = 1.5;
const SLACK: f64 = 5.0;

fn limited(nodes: usize, limit: f64) -> Limited {
    let nodes_count = f64::from(u32::try_from(nodes).expect("few nodes"));
    Limited {
        nodes,
        demand: limit * EXCESS / nodes_count,
        skew: 0.0,
        limit: Rate(limit),
        restart: None,
        is_told: false,
        response_time: Duration::from_millis(300),
        length: Duration::from_secs(20),
    }
}

fn play(limited: Limited, keeping: Keeping) -> Usage {
    let usage = play_limited(limited, keeping, 1);
    println!(
        "{} nodes, limit {}, {keeping:?}: used {:.3}, worst {:.3}, refused {:.2}",
        limited.nodes, limited.limit, usage.used, usage.worst, usage.refused
    );
    usage
}

/// Returns what a burst of two requests, or of one and 50 ms' worth, adds to a span of four seconds.
fn planned(limit: f64) -> f64 {
    1.0 + (1.0 + (limit * 0.05).max(1.0)) / (limit * 4.0)
}

#[test]
fn used_at_all_sizes() {
    for nodes in NODES {
        for limit in LIMITS {
            let usage = play(limited(nodes, limit), Keeping::Turns);
            assert!(usage.used >= 0.9, "{usage:?}");
            assert!(usage.worst <= planned(limit), "{usage:?}");
        }
    }
}

/// With equal shares, what the other nodes don't ask for is lost, or the limit is exceeded.
#[test]
fn uneven_demand() {
    for nodes in NODES {
        let uneven = Limited {
            demand: 0.1,
            skew: 1000.0,
            ..limited(nodes, 34.5)
        };
        assert!(play(uneven, Keeping::Turns).used >= 0.9);
        let shares = play(uneven, Keeping::Shares);
        // A share of so many nodes is below the rate at which a limit is probed.
        assert!(shares.used < 0.9 || shares.worst > planned(34.5));
    }
}

/// Nodes that remember their turns are refused about twice for each request that is sent, and each
/// once in two seconds, however much they ask.
#[test]
fn few_refusals() {
    for nodes in NODES {
        let pressed = Limited {
            demand: 20.0,
            ..limited(nodes, 34.5)
        };
        let turns = play(pressed, Keeping::Turns);
        let gate = play(pressed, Keeping::Gate);
        let each = f64::from(u32::try_from(nodes).expect("few nodes")) / 2.0 / 34.5;
        assert!(turns.refused <= 2.5 + each, "{turns:?}");
        assert!(turns.refused < gate.refused);
    }
}

/// The gate is started again: nodes that tell it the limit spare the upstream a burst.
#[test]
fn told_after_restart() {
    for nodes in NODES {
        let restarted = Limited {
            restart: Some(Duration::from_secs(10)),
            response_time: Duration::from_secs(2),
            demand: limited(nodes, 34.5).demand * 3.0,
            ..limited(nodes, 34.5)
        };
        let told = Limited {
            is_told: true,
            ..restarted
        };
        let usage = play(told, Keeping::Turns);
        assert!(usage.worst <= planned(34.5), "{usage:?}");
        assert!(play(restarted, Keeping::Turns).worst > ALLOWED + SLACK / (34.5 * 4.0));
    }
}
