//! Failure domains with as many callers each and few upstreams of the deepest service in one.

use std::time::Duration;

use sailtrack_model::{Call, Graph, Kind, Rules, Service, Tally, Upstream, play};
use sailtrack_units::Importance;

/// Each load is played with all of these.
const SEEDS: [u64; 5] = [1, 2, 3, 4, 5];
/// The seconds of a run.
const LENGTH: f64 = 20.0;
/// How many upstreams of the deepest service each failure domain has.
const DEEPEST: [usize; 5] = [3, 2, 2, 1, 2];
/// The domain with the fewest.
const LEAST: usize = 3;
/// The requests in a second that fill the slots of the deepest service.
const FULL: f64 = 1590.0;

/// Three services over five failure domains: lookups of the first one read from the second one,
/// which makes four reads of the third one. `load` is the share of its slots that they take.
fn graph(load: f64) -> Graph {
    Graph {
        services: vec![
            service([14; 5], 60),
            service([4; 5], 200),
            service(DEEPEST, 35),
        ],
        kinds: vec![
            kind(0, load * FULL, 220, Some((1, 1))),
            kind(1, 0.0, 15, Some((2, 4))),
            kind(2, 0.0, 55, None),
        ],
        domains: DEEPEST.len(),
        troubles: Vec::new(),
    }
}

fn service(counts: [usize; 5], slots: u32) -> Service {
    let domains = counts.into_iter().enumerate();
    let upstreams = domains.flat_map(|(domain, count)| {
        std::iter::repeat_n(
            Upstream {
                domain,
                slots,
                speed: 1.0,
            },
            count,
        )
    });
    Service {
        upstreams: upstreams.collect(),
    }
}

fn kind(service: usize, rate: f64, millis: u64, calls: Option<(usize, u32)>) -> Kind {
    Kind {
        service,
        importance: Importance::Normal,
        rate,
        work: Duration::from_millis(millis),
        objective: Duration::from_millis(1500),
        timeout: Duration::from_millis(1500),
        patience: Duration::from_secs(5),
        idempotent: true,
        calls: calls
            .map(|(kind, times)| Call { kind, times })
            .into_iter()
            .collect(),
    }
}

/// Returns the share that is served of the callers of the domain with the fewest upstreams, and of
/// those of the domain with the most.
fn shares(load: f64) -> (f64, f64, f64) {
    let plays: Vec<Tally> = SEEDS
        .iter()
        .map(|seed| play(&graph(load), Rules::default(), *seed, LENGTH))
        .collect();
    let mean = |share: &dyn Fn(&Tally) -> f64| plays.iter().map(share).sum::<f64>() / 5.0;
    (
        mean(&|tally| tally.domains[LEAST].served()),
        mean(&|tally| tally.domains[0].served()),
        mean(&Tally::served),
    )
}

/// The deepest service has room for all, and so all are served.
#[test]
fn room_is_shared() {
    for load in [0.8, 0.95] {
        let (least, _, all) = shares(load);
        assert!(least > 0.99, "load {load}: {least:.3}");
        assert!(all > 0.99, "load {load}: {all:.3}");
    }
}

/// Callers beside few upstreams do not bear all of what the service lacks.
///
/// Served where there are fewest 0.700 and now 0.848, of all 0.937 and now 0.951.
#[test]
fn lack_is_shared() {
    let (least, most, all) = shares(1.05);
    println!("{least:.3} where there are fewest, {most:.3} where most, {all:.3} of all");
    assert!(least > 0.8, "{least:.3}");
    assert!(all > 0.94, "{all:.3}");
}

/// Served where there are fewest 0.479 and now 0.666, of all 0.776 and now 0.779.
#[test]
fn overload_is_shared() {
    let (least, most, all) = shares(1.3);
    println!("{least:.3} where there are fewest, {most:.3} where most, {all:.3} of all");
    assert!(least > 0.6, "{least:.3}");
    assert!(all > 0.76, "{all:.3}");
}
