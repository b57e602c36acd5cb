//! Requests within the limits are admitted, and the permitted excess is never exceeded.

mod world;

use std::time::Duration;

use rand::Rng as _;
use world::{World, limits};

/// The number of nodes in each failure domain.
const NODES: [usize; 3] = [25, 22, 21];

fn any_node(random: &mut rand::rngs::StdRng, nodes: usize) -> usize {
    random.random_range(0..nodes)
}

/// 76 workspaces at three quarters of their limits, on 68 nodes.
#[test]
fn calm_demand() {
    for seed in 0..3 {
        let mut world = World::new(limits(76, 330.0), &NODES, seed);
        world.run(Duration::from_secs(20), |_| 0.75, any_node);
        let admitted = world.admitted();
        println!("seed {seed}: {admitted:.4} admitted");
        world.check_bounds();
        assert!(admitted >= 0.99, "seed {seed}: {admitted}");
    }
}

/// Allocators are replaced one after the other under demand near the limits. Each starts with the
/// share of its domain and the demand that its predecessor measured.
#[test]
fn allocators_replaced() {
    let mut world = World::new(limits(76, 330.0), &NODES, 5);
    world.run(Duration::from_secs(6), |_| 0.9, any_node);
    world.admitted();
    for domain in [0, 1, 2, 0] {
        world.lose_allocator(domain);
        // A new allocator takes over at the next renewal.
        world.run(Duration::from_millis(1500), |_| 0.9, any_node);
        world.admitted();
        world.run(Duration::from_secs(3), |_| 0.9, any_node);
        let admitted = world.admitted();
        println!("after domain {domain}: {admitted:.4} admitted");
        assert!(admitted >= 0.95, "after domain {domain}: {admitted}");
    }
    world.check_bounds();
}

/// Demand moves from all domains to one, and the shares follow.
#[test]
fn demand_moves() {
    let mut world = World::new(limits(76, 330.0), &NODES, 6);
    world.run(Duration::from_secs(6), |_| 0.75, any_node);
    world.admitted();
    let first_domain = |random: &mut rand::rngs::StdRng, _: usize| random.random_range(0..NODES[0]);
    world.run(Duration::from_secs(8), |_| 0.75, first_domain);
    let moving = world.admitted();
    world.run(Duration::from_secs(6), |_| 0.75, first_domain);
    let settled = world.admitted();
    println!("while it moves {moving:.4}, then {settled:.4} admitted");
    world.check_bounds();
    assert!(settled >= 0.95, "{settled}");
}

/// One workspace sends five times its limit, all others three quarters: it gets its limit, and the
/// others are not affected.
#[test]
fn hot_workspace() {
    let mut world = World::new(limits(76, 330.0), &NODES, 7);
    let hot = "w3".parse().expect("valid name");
    let load_factor = |name: &sailtrack_units::WorkspaceName| if *name == hot { 5.0 } else { 0.75 };
    world.run(Duration::from_secs(10), load_factor, any_node);
    world.check_bounds();
    let outcome = world.outcomes.remove(&hot).expect("has sent requests");
    let served = f64::from(outcome.sent - outcome.rejected);
    let allowed = world.limits[&hot].rate * 10.0;
    assert!(served >= 0.95 * allowed, "{served} of {allowed}");
    let others = world.admitted();
    assert!(others >= 0.99, "{others}");
}

/// The allocators of all domains are lost repeatedly while all workspaces send twice their limits.
#[test]
fn bound_under_loss() {
    let mut world = World::new(limits(30, 100.0), &[8, 8, 8], 8);
    for round in 0..12 {
        world.lose_allocator(round % 3);
        world.run(Duration::from_millis(1700), |_| 2.0, any_node);
    }
    world.check_bounds();
}
