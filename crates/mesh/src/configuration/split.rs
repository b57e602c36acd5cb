//! Divides the requests of a route among its services by weight.

#[cfg(test)]
mod tests;

use std::cell::RefCell;
use std::collections::HashMap;

use rand::Rng as _;
use sailtrack_kernel::Service;
use sailtrack_units::{KindName, ServiceName};

use crate::configuration::route::{Route, Share};

/// How far each service of a route is behind its share.
#[derive(Debug, Default)]
struct Debts {
    split: Vec<Share>,
    owed: Vec<f64>,
}

/// Divides requests by smooth weighted round robin.
///
/// A draw for each request would leave shares of small numbers far off: with
/// 200 requests and a weight of one tenth the standard deviation is 2 in 100,
/// with turns it is one request a node.
#[derive(Debug, Default)]
pub(crate) struct Splitter {
    routes: RefCell<HashMap<KindName, Debts>>,
}

impl Service for Splitter {
    const NAME: &'static str = "splitter";
}

impl Splitter {
    /// Returns the service whose turn it is.
    pub(crate) fn next(&self, route: &Route) -> Option<ServiceName> {
        if let [only] = route.split.as_slice() {
            return Some(only.service.clone());
        }
        let mut routes = self.routes.borrow_mut();
        let debts = routes.entry(route.name.clone()).or_default();
        if debts.split != route.split {
            debts.restart(&route.split);
        }
        debts.next()
    }
}

impl Debts {
    /// Begins at a random place, so that nodes which start together do not turn together.
    fn restart(&mut self, split: &[Share]) {
        let total = f64::from(split.iter().map(|share| share.weight).sum::<u32>());
        let mut random = rand::rng();
        self.owed = split
            .iter()
            .map(|_| random.random::<f64>() * total)
            .collect();
        self.split = split.to_vec();
    }

    fn next(&mut self) -> Option<ServiceName> {
        let total: u32 = self.split.iter().map(|share| share.weight).sum();
        for (owed, share) in self.owed.iter_mut().zip(&self.split) {
            *owed += f64::from(share.weight);
        }
        let weighted = self.split.iter().enumerate();
        let (chosen, share) = weighted
            .filter(|(_, share)| share.weight > 0)
            .max_by(|(one, _), (other, _)| self.owed[*one].total_cmp(&self.owed[*other]))?;
        self.owed[chosen] -= f64::from(total);
        Some(share.service.clone())
    }
}
