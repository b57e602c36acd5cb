//! What lies within the limits is let in, and nothing beyond what may run.

mod world;

use std::time::Duration;

use rand::Rng as _;
use world::{World, limits};

/// The nodes of each failure domain.
const NODES: [usize; 3] = [25, 22, 21];

fn anywhere(random: &mut rand::rngs::StdRng, nodes: usize) -> usize {
    random.random_range(0..nodes)
}

/// 76 workspaces that ask three quarters of what they may, at 68 nodes.
#[test]
fn calm_demand() {
    for seed in 0..3 {
        let mut world = World::new(limits(76, 330.0), &NODES, seed);
        world.play(Duration::from_secs(20), |_| 0.75, anywhere);
        let let_in = world.let_in();
        println!("seed {seed}: {let_in:.4} let in");
        world.check_bounds();
        assert!(let_in >= 0.99, "seed {seed}: {let_in}");
    }
}

/// Allocators are replaced one after the other under demand near the limits: each begins with the
/// part that its domain had, and the demand of before.
#[test]
fn allocators_replaced() {
    let mut world = World::new(limits(76, 330.0), &NODES, 5);
    world.play(Duration::from_secs(6), |_| 0.9, anywhere);
    world.let_in();
    for domain in [0, 1, 2, 0] {
        world.lose_allocator(domain);
        // The next renewal brings another one.
        world.play(Duration::from_millis(1500), |_| 0.9, anywhere);
        world.let_in();
        world.play(Duration::from_secs(3), |_| 0.9, anywhere);
        let let_in = world.let_in();
        println!("after domain {domain}: {let_in:.4} let in");
        assert!(let_in >= 0.95, "after domain {domain}: {let_in}");
    }
    world.check_bounds();
}

/// Demand moves from one domain to another, and the parts follow.
#[test]
fn demand_moves() {
    let mut world = World::new(limits(76, 330.0), &NODES, 6);
    world.play(Duration::from_secs(6), |_| 0.75, anywhere);
    world.let_in();
    let first = |random: &mut rand::rngs::StdRng, _: usize| random.random_range(0..NODES[0]);
    world.play(Duration::from_secs(8), |_| 0.75, first);
    let moving = world.let_in();
    world.play(Duration::from_secs(6), |_| 0.75, first);
    let settled = world.let_in();
    println!("while it moves {moving:.4}, then {settled:.4} let in");
    world.check_bounds();
    assert!(settled >= 0.95, "{settled}");
}

/// One workspace asks for five times what it may, all others for three quarters: it gets what it
/// may, and the others lose nothing.
#[test]
fn hot_workspace() {
    let mut world = World::new(limits(76, 330.0), &NODES, 7);
    let hot = "w3".parse().expect("a sound name");
    let share = |name: &sailtrack_units::WorkspaceName| if *name == hot { 5.0 } else { 0.75 };
    world.play(Duration::from_secs(10), share, anywhere);
    world.check_bounds();
    let ends = world.ends.remove(&hot).expect("it asked");
    let served = f64::from(ends.asked - ends.refused);
    let owed = world.limits[&hot].rate * 10.0;
    assert!(served >= 0.95 * owed, "{served} of {owed}");
    let others = world.let_in();
    assert!(others >= 0.99, "{others}");
}

/// In each domain an allocator is lost again and again while all ask for twice what they may.
#[test]
fn bound_under_loss() {
    let mut world = World::new(limits(30, 100.0), &[8, 8, 8], 8);
    for round in 0..12 {
        world.lose_allocator(round % 3);
        world.play(Duration::from_millis(1700), |_| 2.0, anywhere);
    }
    world.check_bounds();
}
