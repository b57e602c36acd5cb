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
