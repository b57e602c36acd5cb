//! How long the decisions about tokens take, with few and with many workspaces and nodes.

use std::collections::HashMap;
use std::hint::black_box;
use std::time::{Duration, Instant};

use sailtrack_quota::{Allocator, Cache, Grant, Holder, Limit, Tolerance, Want};
use sailtrack_units::{Moment, WorkspaceName};

const ROUNDS: u32 = 1_000_000;
const TOLERANCE: Tolerance = Tolerance {
    window: Duration::from_secs(5),
    overage: 0.1,
    slack: 20.0,
};
const LIMIT: Limit = Limit {
    rate: 1e9,
    burst: 1e9,
};

fn names(count: usize) -> Vec<WorkspaceName> {
    let names = (0..count).map(|number| format!("w{number}").parse());
    names.map(|name| name.expect("a sound name")).collect()
}

/// Returns the time of one token taken by a request.
fn take(workspaces: usize) -> Duration {
    let names = names(workspaces);
    let now = Moment::since_boot(Duration::from_secs(10));
    let mut cache = Cache::default();
    for name in &names {
        cache.acquire(name, now);
        let grant = Grant {
            tokens: ROUNDS,
            recalled: 0,
            wait: Duration::ZERO,
        };
        cache.receive(name, grant, now);
    }
    let began = Instant::now();
    for round in 0..ROUNDS as usize {
        black_box(cache.acquire(&names[round % names.len()], now));
    }
    began.elapsed() / ROUNDS
}

/// Returns the time of one question about one workspace.
fn ask(workspaces: usize, nodes: usize) -> Duration {
    let names = names(workspaces);
    let now = Moment::since_boot(Duration::from_secs(10));
    let mut allocator = Allocator::new(TOLERANCE, now);
    let limits: HashMap<_, _> = names.iter().map(|name| (name.clone(), LIMIT)).collect();
    allocator.set_limits(&limits, now);
    for name in &names {
        allocator.set_share(name, 1.0, now);
    }
    let holders = (0..nodes).map(|number| Holder {
        node: format!("n{number}").parse().expect("a sound name"),
        incarnation: 1,
    });
    let holders: Vec<_> = holders.collect();
    let want = Want {
        needed: 1,
        ..Want::default()
    };
    let began = Instant::now();
    let rounds = ROUNDS / 10;
    for round in 0..rounds as usize {
        let holder = &holders[round % nodes];
        let question = u64::try_from(round + 1).expect("it fits");
        let now = now + Duration::from_micros(10) * u32::try_from(round).expect("it fits");
        black_box(allocator.allocate((holder, question), &names[round % names.len()], want, now));
    }
    began.elapsed() / rounds
}

fn main() {
    for workspaces in [10, 76, 3000] {
        println!("take, {workspaces} workspaces: {:?}", take(workspaces));
    }
    for (workspaces, nodes) in [(76, 23), (3000, 56), (1, 56), (1, 560)] {
        let time = ask(workspaces, nodes);
        println!("ask, {workspaces} workspaces, {nodes} nodes: {time:?}");
    }
}
