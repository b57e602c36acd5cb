//! Graphs drawn at random, so that a policy is not fitted to one.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};
use sailtrack_units::Importance;

use crate::graph::{Call, Graph, Kind, Service, Trouble, Upstream};

/// The requests of clients in a second, all kinds together.
const RATE: f64 = 200.0;
/// The most calls of one request to one kind.
const MOST_CALLS: u32 = 8;
/// How many times its shortest time a request has until its objective, its timeout, and until its
/// caller gives up.
const OBJECTIVE_TIMES: f64 = 4.0;
const TIMEOUT_TIMES: f64 = 6.0;
const PATIENCE_TIMES: f64 = 12.0;
/// The fewest slots of an upstream.
const LEAST_SLOTS: f64 = 8.0;
/// The most upstreams of a graph.
const MOST_UPSTREAMS: usize = 60;
/// The slots of a service that is not the narrowest, for each one that its requests hold on average
/// if they never wait.
const SPARE: f64 = 2.0;
/// The most runs that one request causes; a drawn graph with more gets fewer calls.
const MOST_RUNS: f64 = 40.0;

/// Returns the graph of this seed: 1 to 6 services deep, 3 to 60 upstreams in 1 to 5 failure
/// domains, one to three kinds of clients' requests. Its narrowest service takes between a half
/// and all of the demand, and there are up to two troubles within `length` seconds.
#[must_use]
pub fn draw(seed: u64, length: f64) -> Graph {
    let mut random = StdRng::seed_from_u64(seed);
    let depth = random.random_range(1..=6);
    let domains = random.random_range(1..=5);
    let roots = random.random_range(1..=3u32);
    let mut kinds = Vec::new();
    for _ in 0..roots {
        let importance = [Importance::Normal, Importance::Critical][random.random_range(0..2)];
        let service = random.random_range(0..depth);
        kinds.push(kind(
            &mut random,
            service,
            importance,
            RATE / f64::from(roots),
        ));
    }
    for service in 0..depth {
        kinds.push(kind(&mut random, service, Importance::Normal, 0.0));
    }
    let roots = kinds.len() - depth;
    for kind in &mut kinds {
        let below = kind.service + 1;
        if below < depth {
            let times = random.random_range(1..=MOST_CALLS);
            let below = roots + below;
            kind.calls = vec![Call { kind: below, times }];
        }
    }
    thin_out(&mut kinds);
    let mut graph = Graph {
        services: vec![
            Service {
                upstreams: Vec::new()
            };
            depth
        ],
        kinds,
        domains,
        troubles: Vec::new(),
    };
    give_time(&mut graph);
    let load = random.random_range(1.0..2.0);
    furnish(&mut random, &mut graph, load);
    for _ in 0..random.random_range(0..=2) {
        let trouble = trouble(&mut random, &graph, length);
        graph.troubles.push(trouble);
    }
    graph
}

fn kind(random: &mut StdRng, service: usize, importance: Importance, rate: f64) -> Kind {
    let millis = if rate > 0.0 { 20..200 } else { 5..50 };
    Kind {
        service,
        importance,
        rate,
        work: Duration::from_millis(random.random_range(millis)),
        objective: Duration::from_millis(1500),
        timeout: Duration::from_secs(2),
        patience: Duration::from_secs(5),
        idempotent: importance == Importance::Normal,
        calls: Vec::new(),
    }
}

/// Gives requests several times as long as they take without waiting.
fn give_time(graph: &mut Graph) {
    let usual = vec![1.0; graph.services.len()];
    for place in 0..graph.kinds.len() {
        let shortest = graph.shortest_time(place, &usual);
        let kind = &mut graph.kinds[place];
        let at_least = |least: Duration, times: f64| {
            let wanted = Duration::from_secs_f64(shortest * times);
            wanted.max(least)
        };
        kind.objective = at_least(kind.objective, OBJECTIVE_TIMES);
        kind.timeout = at_least(kind.timeout, TIMEOUT_TIMES);
        kind.patience = at_least(kind.patience, PATIENCE_TIMES);
    }
}

/// Takes calls away until no request causes more runs than allowed.
fn thin_out(kinds: &mut [Kind]) {
    for place in (0..kinds.len()).rev() {
        while runs(kinds, place) > MOST_RUNS {
            let calls = &mut kinds[place].calls[0];
            if calls.times == 1 {
                break;
            }
            calls.times -= 1;
        }
    }
}

fn runs(kinds: &[Kind], place: usize) -> f64 {
    let calls = kinds[place].calls.iter();
    1.0 + calls
        .map(|call| f64::from(call.times) * runs(kinds, call.kind))
        .sum::<f64>()
}

/// Gives each service the upstreams that it needs; the narrowest one is loaded `load` times.
fn furnish(random: &mut StdRng, graph: &mut Graph, load: f64) {
    let demand = demand(graph);
    let narrow = random.random_range(0..demand.len());
    let most = (MOST_UPSTREAMS / demand.len()).clamp(1, 12);
    let domains = graph.domains;
    for (number, (service, demand)) in graph.services.iter_mut().zip(demand).enumerate() {
        let count = random.random_range(1..=most);
        let room = if number == narrow {
            demand / load
        } else {
            demand * SPARE
        };
        #[allow(clippy::cast_precision_loss)]
        let slots = (room / count as f64).ceil().max(LEAST_SLOTS);
        service.upstreams = (0..count)
            .map(|place| Upstream {
                domain: place % domains,
                #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
                slots: slots as u32,
                speed: [0.7, 1.0, 1.3][random.random_range(0..3)],
            })
            .collect();
    }
}

/// Returns how many slots of each service the requests of clients hold if they never wait.
fn demand(graph: &Graph) -> Vec<f64> {
    let usual = vec![1.0; graph.services.len()];
    let mut demand = vec![0.0; graph.services.len()];
    for (place, kind) in graph.kinds.iter().enumerate() {
        let held = graph.held_by_service(place, &usual);
        for (sum, part) in demand.iter_mut().zip(held) {
            *sum += part * kind.rate;
        }
    }
    demand
}

fn trouble(random: &mut StdRng, graph: &Graph, length: f64) -> Trouble {
    let begin = random.random_range(0.2..0.6) * length;
    let span = (begin, begin + random.random_range(0.1..0.3) * length);
    let service = random.random_range(0..graph.services.len());
    match random.random_range(0..3) {
        0 => Trouble::Burst {
            span,
            factor: random.random_range(1.3..2.0),
        },
        1 => Trouble::Gone {
            span,
            service,
            upstream: random.random_range(0..graph.services[service].upstreams.len()),
        },
        _ => Trouble::Slow {
            span,
            service,
            factor: random.random_range(1.5..4.0),
        },
    }
}
