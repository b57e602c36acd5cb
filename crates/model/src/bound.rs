//! What no policy could do better.

use std::cmp::Reverse;

use crate::graph::Graph;

/// Returns the greatest share of the requests that could be served over a run of so many seconds.
///
/// For each service the requests that matter most are served first, and among
/// those the ones that hold its slots for the shortest time, until no slot is
/// left; the least of these over all services is a bound, since each of them
/// alone has to hold. It knows nothing of fairness between kinds, which costs
/// some of it, and nothing of callers that come back once a trouble is over,
/// who may make a run better than this.
#[must_use]
pub fn bound(graph: &Graph, length: f64) -> f64 {
    let steps = 200;
    let step = length / f64::from(steps);
    let sums = (0..steps).map(|number| {
        let at = step * (f64::from(number) + 0.5);
        (asked(graph, at), served(graph, at))
    });
    let (asked, served) = sums.fold((0.0, 0.0), |sum, part| (sum.0 + part.0, sum.1 + part.1));
    served / f64::max(asked, f64::MIN_POSITIVE)
}

fn asked(graph: &Graph, at: f64) -> f64 {
    (0..graph.kinds.len())
        .map(|kind| graph.rate(kind, at))
        .sum()
}

fn served(graph: &Graph, at: f64) -> f64 {
    let services = 0..graph.services.len();
    let each = services.map(|service| served_by(graph, service, at));
    each.fold(asked(graph, at), f64::min)
}

/// Returns the requests in a second that could be served if only this service had bounds.
fn served_by(graph: &Graph, service: usize, at: f64) -> f64 {
    let mut capacity = capacity(graph, service, at);
    let mut costs: Vec<_> = (0..graph.kinds.len())
        .map(|kind| {
            let held = graph.held_by_service(kind, &graph.fastest());
            let importance = Reverse(graph.kinds[kind].importance);
            (importance, held[service], graph.rate(kind, at))
        })
        .collect();
    costs.sort_by(|one, other| one.0.cmp(&other.0).then(one.1.total_cmp(&other.1)));
    let mut served = 0.0;
    for (_, cost, rate) in costs {
        let fits = if cost > 0.0 { capacity / cost } else { rate };
        let taken = fits.min(rate);
        served += taken;
        capacity -= taken * cost;
    }
    served
}

/// Returns how many slots of the fastest kind a service has.
///
/// Where requests make calls, a slower upstream holds its slots as long while it waits for those.
fn capacity(graph: &Graph, service: usize, at: f64) -> f64 {
    let upstreams = graph.services[service].upstreams.iter().enumerate();
    let there = upstreams.filter(|(place, _)| !graph.is_gone(service, *place, at));
    let kinds = graph.kinds.iter();
    let calls_others = kinds
        .filter(|kind| kind.service == service)
        .any(|kind| !kind.calls.is_empty());
    if calls_others {
        return there.map(|(_, upstream)| f64::from(upstream.slots)).sum();
    }
    let fastest = graph.fastest()[service];
    let slots = there.map(|(_, upstream)| f64::from(upstream.slots) * upstream.speed / fastest);
    slots.sum::<f64>() / graph.slowness(service, at)
}
