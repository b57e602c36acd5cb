//! What the capacity of a deployment allows at best.

use std::collections::BTreeMap;

use crate::experiment::plan::{Demand, Plan};

/// Returns how many whole requests a second the slots allow at best, while the demand is
/// multiplied by `surge` and the services are slowed as `slowed` says.
///
/// The kinds are served in the order of their importance; each takes the slot
/// time that its section names, until some service has none left.
pub(crate) fn best_goodput(plan: &Plan, surge: f64, slowed: &BTreeMap<String, f64>) -> f64 {
    let mut left: BTreeMap<&str, f64> = BTreeMap::new();
    for (service, slots) in &plan.slots {
        left.insert(service, *slots);
    }
    let mut demands: Vec<&Demand> = plan.demands.iter().collect();
    demands.sort_by_key(|demand| std::cmp::Reverse(demand.importance));
    let mut goodput = 0.0;
    for demand in demands {
        let wanted = demand.rate.0 * surge;
        let costs = demand.costs.iter().map(|(service, cost)| {
            let factor = slowed.get(service).copied().unwrap_or(1.0);
            (service.as_str(), cost.as_secs_f64() * factor)
        });
        let costs: Vec<(&str, f64)> = costs.collect();
        let fits = costs.iter().map(|(service, cost)| {
            let free = left.get(service).copied().unwrap_or(f64::MAX);
            free / cost.max(1e-9)
        });
        let served = fits.fold(wanted, f64::min);
        for (service, cost) in costs {
            if let Some(free) = left.get_mut(service) {
                *free -= served * cost;
            }
        }
        goodput += served;
    }
    goodput
}
